package control

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"ledgesill.dev/ledgesill/pkg/journal"
)

// fakeFile is a file whose unsynced bytes may be torn by a crash.
type fakeFile struct {
	data   []byte
	synced int
	// lost is set after a failed sync: as on a real machine, bytes that were unsynced then are
	// lost even if a later sync succeeds.
	lost     bool
	lostFrom int
}

// fakeDisk is a directory on a disk that keeps only what was synced: contents by File.Sync, names
// by SyncDir.
type fakeDisk struct {
	random  *rand.Rand
	names   map[string]*fakeFile
	durable map[string]*fakeFile
	// tearWrites makes a failing write leave half of its bytes.
	tearWrites bool
	// beforeOperation is called before every operation. If it returns an error, the operation
	// fails.
	beforeOperation func(operation, name string) error
}

var errDisk = errors.New("the disk failed")

func newFakeDisk(seed uint64) *fakeDisk {
	return &fakeDisk{
		random:          rand.New(rand.NewPCG(seed, 9)),
		names:           make(map[string]*fakeFile),
		durable:         make(map[string]*fakeFile),
		beforeOperation: func(string, string) error { return nil },
	}
}

func (d *fakeDisk) files() journal.Files {
	return journal.Files{
		Open:     d.open,
		ReadFile: d.readFile,
		Rename: func(from, to string) error {
			from, to = filepath.Base(from), filepath.Base(to)
			if err := d.beforeOperation("rename", to); err != nil {
				return err
			}
			d.names[to] = d.names[from]
			delete(d.names, from)
			return nil
		},
		Remove: func(path string) error {
			name := filepath.Base(path)
			if d.names[name] == nil {
				return fs.ErrNotExist
			}
			delete(d.names, name)
			return nil
		},
		SyncDir: func(string) error {
			if err := d.beforeOperation("syncFolder", ""); err != nil {
				return err
			}
			d.durable = make(map[string]*fakeFile, len(d.names))
			for name, f := range d.names {
				d.durable[name] = f
			}
			return nil
		},
		Lock: func(string) (func() error, error) { return func() error { return nil }, nil },
	}
}

func (d *fakeDisk) readFile(path string) ([]byte, error) {
	f := d.names[filepath.Base(path)]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *fakeDisk) open(path string) (journal.File, error) {
	name := filepath.Base(path)
	f := d.names[name]
	if f == nil {
		f = &fakeFile{}
		d.names[name] = f
	}
	return journal.File{
		Write: func(b []byte) (int, error) {
			if err := d.beforeOperation("write", name); err != nil {
				if d.tearWrites {
					f.data = append(f.data, b[:len(b)/2]...)
				}
				return 0, err
			}
			f.data = append(f.data, b...)
			return len(b), nil
		},
		Sync: func() error {
			if err := d.beforeOperation("sync", name); err != nil {
				if !f.lost {
					f.lost, f.lostFrom = true, f.synced
				}
				return err
			}
			f.synced = len(f.data)
			return nil
		},
		Truncate: func(size int64) error {
			f.data = f.data[:size]
			f.synced = min(f.synced, len(f.data))
			return nil
		},
		Close: func() error { return nil },
	}, nil
}

// crash keeps synced bytes. With torn, a random part of the unsynced bytes is kept as well,
// possibly with the last byte damaged.
func (d *fakeDisk) crash(torn bool) {
	d.names = make(map[string]*fakeFile, len(d.durable))
	for name, f := range d.durable {
		kept := f.synced
		if f.lost {
			kept = f.lostFrom
		}
		if rest := len(f.data) - f.synced; torn && rest > 0 {
			kept += d.random.IntN(rest + 1)
		}
		data := slices.Clone(f.data[:kept])
		if torn && kept > f.synced && d.random.IntN(2) == 0 {
			data[kept-1] ^= 0x55
		}
		d.names[name] = &fakeFile{data: data, synced: len(data)}
	}
	d.durable = make(map[string]*fakeFile, len(d.names))
	for name, f := range d.names {
		d.durable[name] = f
	}
}
