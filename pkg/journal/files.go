package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
)

// File is an open file as the journal uses it. Each function field is a seam
// at which a test can make the disk fail.
type File struct {
	Write    func(data []byte) (int, error)
	Sync     func() error
	Truncate func(size int64) error
	Close    func() error
}

// Files is the disk as the journal uses it.
type Files struct {
	// Open opens a file for appending and creates it if it is missing.
	Open     func(path string) (File, error)
	ReadFile func(path string) ([]byte, error)
	Rename   func(from, to string) error
	Remove   func(path string) error
	SyncDir  func(path string) error
	// Lock takes the folder for this process until the returned function runs.
	Lock func(path string) (unlock func() error, err error)
}

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// OSFiles returns the operating system's files.
func OSFiles() Files {
	return Files{
		Open:     openOS,
		ReadFile: os.ReadFile,
		Rename:   os.Rename,
		Remove:   os.Remove,
		SyncDir:  syncFolder,
		Lock:     lockFile,
	}
}

func openOS(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, filePermissions)
	if err != nil {
		return File{}, err
	}
	return File{Write: f.Write, Sync: f.Sync, Truncate: f.Truncate, Close: f.Close}, nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func lockFile(path string) (func() error, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePermissions)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("another process holds %s: %w", path, err), f.Close())
	}
	return f.Close, nil
}

// MakeDir creates a data folder if it is missing.
func MakeDir(path string) error {
	return os.MkdirAll(path, folderPermissions)
}

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
