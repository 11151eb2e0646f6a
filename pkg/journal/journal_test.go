package journal

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func entry(index, term uint64, data string) *wire.Entry {
	return &wire.Entry{Index: index, Term: term, Data: []byte(data)}
}

func mustOpen(t *testing.T, dir string) (*Journal, *Recovered) {
	t.Helper()
	j, found, err := Open(dir, "c", OSFiles())
	if err != nil {
		t.Fatal(err)
	}
	return j, found
}

// newTestJournal returns a directory with a journal of three batches and the length of
// the journal after each of them.
func newTestJournal(t *testing.T) (dir string, sizes []int64) {
	t.Helper()
	dir = t.TempDir()
	j, _ := mustOpen(t, dir)
	for i := range uint64(3) {
		if err := j.Append(&wire.HardState{Term: i + 1}, []*wire.Entry{entry(i+1, i+1, "data")}); err != nil {
			t.Fatal(err)
		}
		sizes = append(sizes, j.Size())
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, sizes
}

func TestIdentityIsStable(t *testing.T) {
	dir, _ := newTestJournal(t)
	j, first := mustOpen(t, dir)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, second := mustOpen(t, dir)
	defer j.Close()
	if first.ID != second.ID || second.Fresh {
		t.Errorf("identity %s became %s, fresh %t", first.ID, second.ID, second.Fresh)
	}
}

func TestOpenOfLockedDirectoryFails(t *testing.T) {
	dir, _ := newTestJournal(t)
	j, _ := mustOpen(t, dir)
	defer j.Close()
	if _, _, err := Open(dir, "c", OSFiles()); err == nil {
		t.Error("a locked directory was opened a second time")
	}
}

func TestTornTailIsTruncated(t *testing.T) {
	dir, sizes := newTestJournal(t)
	path := filepath.Join(dir, journalName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for cut := sizes[1] + 1; cut < sizes[2]; cut++ {
		if err := os.WriteFile(path, whole[:cut], filePermissions); err != nil {
			t.Fatal(err)
		}
		j, found := mustOpen(t, dir)
		if len(found.Entries) != 2 || found.TruncatedBytes != cut-sizes[1] || found.HardState.Term != 2 {
			t.Fatalf("file cut at byte %d: got %d entries, truncated %d bytes", cut, len(found.Entries), found.TruncatedBytes)
		}
		if err := j.Append(nil, []*wire.Entry{entry(3, 9, "new")}); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, found = mustOpen(t, dir)
		if len(found.Entries) != 3 || found.Entries[2].Term != 9 {
			t.Fatalf("file cut at byte %d: the entry appended after recovery is missing", cut)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// TestOpenRefusesDamagedJournal damages each byte of a journal before its last batch. Open
// must return a DamageError and leave the file as it is.
func TestOpenRefusesDamagedJournal(t *testing.T) {
	dir, sizes := newTestJournal(t)
	path := filepath.Join(dir, journalName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range sizes[1] {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x10
		if err := os.WriteFile(path, damaged, filePermissions); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(dir, "c", OSFiles())
		var damage *DamageError
		if !errors.As(err, &damage) {
			t.Fatalf("byte %d damaged: got %v, want a DamageError", at, err)
		}
		after, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(damaged, after); diff != "" {
			t.Fatal("Open changed a damaged journal")
		}
	}
}

func TestEntriesAfterSnapshotAreRecovered(t *testing.T) {
	dir, _ := newTestJournal(t)
	j, _ := mustOpen(t, dir)
	s := &wire.Snapshot{Index: 2, Term: 2, Data: []byte("state")}
	if err := j.SaveSnapshot(s, &wire.HardState{Term: 3, Vote: "x"}, []*wire.Entry{entry(3, 3, "data")}); err != nil {
		t.Fatal(err)
	}
	if err := j.Append(nil, []*wire.Entry{entry(4, 3, "more")}); err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, found := mustOpen(t, dir)
	defer j.Close()
	want := &Recovered{
		ID: found.ID, HardState: &wire.HardState{Term: 3, Vote: "x"}, Snapshot: s,
		Entries: []*wire.Entry{entry(3, 3, "data"), entry(4, 3, "more")},
	}
	if diff := cmp.Diff(want, found, protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

func TestInstalledSnapshotDropsConflictingEntries(t *testing.T) {
	found := &Recovered{
		Snapshot: &wire.Snapshot{Index: 2, Term: 5},
		Entries:  []*wire.Entry{entry(1, 1, ""), entry(2, 1, ""), entry(3, 1, "")},
	}
	dropSnapshotted(found)
	if len(found.Entries) != 0 {
		t.Errorf("conflicting entries were kept: %v", found.Entries)
	}
}

func TestAppendFailsAfterFailedSync(t *testing.T) {
	dir := t.TempDir()
	files := OSFiles()
	failing := false
	open := files.Open
	files.Open = func(path string) (File, error) {
		f, err := open(path)
		sync := f.Sync
		f.Sync = func() error {
			if failing {
				return errors.New("sync failed")
			}
			return sync()
		}
		return f, err
	}
	j, _, err := Open(dir, "c", files)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	failing = true
	if err := j.Append(nil, []*wire.Entry{entry(1, 1, "")}); err == nil {
		t.Fatal("Append returned nil after a failed sync")
	}
	failing = false
	if err := j.Append(nil, []*wire.Entry{entry(1, 1, "")}); !errors.Is(err, ErrBroken) {
		t.Errorf("after a failed sync: got %v, want ErrBroken", err)
	}
}

// TestDirectoryIsSyncedAfterCreatingTheJournal checks that the directory entry of a new
// journal is durable before anything is acknowledged.
func TestDirectoryIsSyncedAfterCreatingTheJournal(t *testing.T) {
	files := OSFiles()
	made, synced := false, false
	open, sync := files.Open, files.SyncDir
	files.Open = func(path string) (File, error) {
		if filepath.Base(path) == journalName {
			made, synced = true, false
		}
		return open(path)
	}
	files.SyncDir = func(path string) error {
		synced = true
		return sync(path)
	}
	j, _, err := Open(t.TempDir(), "c", files)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if !made || !synced {
		t.Error("the directory was not synced after the journal was created")
	}
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add(appendFrame(nil, 1, nil))
	f.Add(append(appendFrame(nil, 1, []byte{0x0a, 2, 8, 1}), 1, 2, 3))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		for name, content := range map[string][]byte{journalName: data, identityName: []byte("c-1")} {
			if err := os.WriteFile(filepath.Join(dir, name), content, filePermissions); err != nil {
				t.Fatal(err)
			}
		}
		j, found, err := Open(dir, "c", OSFiles())
		if err != nil {
			var damage *DamageError
			if !errors.As(err, &damage) {
				t.Fatalf("got %v, want a DamageError", err)
			}
			return
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		j, again := mustOpen(t, dir)
		defer j.Close()
		again.TruncatedBytes = found.TruncatedBytes
		if diff := cmp.Diff(found, again, protocmp.Transform()); diff != "" {
			t.Errorf("the second Open recovered something else: %s", diff)
		}
	})
}
