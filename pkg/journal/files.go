package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
)

// File is an open file as the journal uses it. Its functions are fields, so that tests
// can inject disk failures.
type File struct {
	Write    func(data []byte) (int, error)
	Sync     func() error
	Truncate func(size int64) error
	Close    func() error
}

// Files is the file system as the journal uses it.
type Files struct {
	// Open opens a file for appending and creates it if it does not exist.
	Open     func(path string) (File, error)
	ReadFile func(path string) ([]byte, error)
	Rename   func(from, to string) error
	Remove   func(path string) error
	SyncDir  func(path string) error
	// Lock locks a file for this process until unlock is called.
	Lock func(path string) (unlock func() error, err error)
}

const (
	filePermissions = 0o600
	dirPermissions  = 0o700
)

// OSFiles returns the files of the operating system.
func OSFiles() Files {
	return Files{
		Open:     openFile,
		ReadFile: os.ReadFile,
		Rename:   os.Rename,
		Remove:   os.Remove,
		SyncDir:  syncDir,
		Lock:     lockFile,
	}
}

func openFile(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, filePermissions)
	if err != nil {
		return File{}, err
	}
	return File{Write: f.Write, Sync: f.Sync, Truncate: f.Truncate, Close: f.Close}, nil
}

func syncDir(path string) error {
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

// MakeDir creates a data directory if it does not exist.
func MakeDir(path string) error {
	return os.MkdirAll(path, dirPermissions)
}

func isMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
