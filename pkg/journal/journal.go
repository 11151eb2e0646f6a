// Package journal stores a replica's hard state, log and snapshot in a data directory,
// so that the data of every successful Append and SaveSnapshot survives a crash.
//
// The journal is a file of frames. Each frame holds one batch and is synced before the
// next is written. A bad frame with no valid frame after it is therefore the torn tail
// of a crash and is truncated. A bad frame followed by a valid one is damage: Open
// returns a DamageError and changes nothing. After a failed write or sync the content
// of the disk is unknown, so every later call fails until Reopen has read the journal
// again.
package journal

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Names of the files in the data directory.
const (
	journalName  = "journal"
	snapshotName = "snapshot"
	identityName = "identity"
	lockName     = "lock"
	tempSuffix   = ".tmp"

	identityBytes = 6
)

// ErrBroken is returned by every call after a failed write or sync, until Reopen
// succeeds.
var ErrBroken = errors.New("the journal is broken by an earlier failure of the disk")

// Recovered is the state that Open found.
type Recovered struct {
	// ID identifies this disk. It is generated when the directory is first opened.
	ID string
	// Fresh is true if the directory held no state.
	Fresh     bool
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// TruncatedBytes is the length of the torn tail that was removed.
	TruncatedBytes int64
}

// Journal is an open data directory. It is not safe for concurrent use.
type Journal struct {
	dir      string
	files    Files
	file     File
	sequence uint64
	size     int64
	broken   bool
	unlock   func() error
}

// Open opens the data directory, which must exist, and recovers its content. A new
// identity starts with prefix.
func Open(dir, prefix string, files Files) (*Journal, *Recovered, error) {
	unlock, err := files.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("locking the data folder: %w", err)
	}
	j := &Journal{dir: dir, files: files, unlock: unlock}
	recovered, err := j.recover(prefix)
	if err != nil {
		return nil, nil, errors.Join(err, unlock())
	}
	return j, recovered, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

func (j *Journal) recover(prefix string) (*Recovered, error) {
	out := &Recovered{}
	var err error
	if out.Snapshot, err = j.readSnapshot(); err != nil {
		return nil, err
	}
	if err := j.readJournal(out); err != nil {
		return nil, err
	}
	dropSnapshotted(out)
	out.Fresh = out.HardState == nil && out.Snapshot == nil && len(out.Entries) == 0
	if out.ID, err = j.loadOrCreateID(prefix, out.Fresh); err != nil {
		return nil, err
	}
	if j.file, err = j.files.Open(j.path(journalName)); err != nil {
		return nil, fmt.Errorf("opening the journal: %w", err)
	}
	if err := j.files.SyncDir(j.dir); err != nil {
		return nil, fmt.Errorf("syncing the data folder: %w", err)
	}
	if out.TruncatedBytes == 0 {
		return out, nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return nil, fmt.Errorf("cutting the torn tail: %w", err)
	}
	if err := j.file.Sync(); err != nil {
		return nil, fmt.Errorf("syncing the cut journal: %w", err)
	}
	return out, nil
}

func (j *Journal) readSnapshot() (*wire.Snapshot, error) {
	path := j.path(snapshotName)
	data, err := j.files.ReadFile(path)
	if isMissing(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the snapshot: %w", err)
	}
	_, payload, _, reason := parseFrame(data)
	if reason != "" {
		return nil, &DamageError{File: path, Reason: reason}
	}
	s := &wire.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, &DamageError{File: path, Offset: frameHeaderBytes, Reason: err.Error()}
	}
	return s, nil
}

func (j *Journal) readJournal(out *Recovered) error {
	path := j.path(journalName)
	data, err := j.files.ReadFile(path)
	if isMissing(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("reading the journal: %w", err)
	}
	offset := 0
	for offset < len(data) {
		sequence, payload, size, reason := parseFrame(data[offset:])
		if reason != "" {
			if containsFrame(data[offset:]) {
				return &DamageError{File: path, Offset: int64(offset), Reason: reason}
			}
			out.TruncatedBytes = int64(len(data) - offset)
			break
		}
		if j.sequence != 0 && sequence != j.sequence+1 {
			reason := fmt.Sprintf("frame %d follows frame %d", sequence, j.sequence)
			return &DamageError{File: path, Offset: int64(offset), Reason: reason}
		}
		if err := applyBatch(out, payload); err != nil {
			return &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		j.sequence = sequence
		offset += size
	}
	j.size = int64(offset)
	return nil
}

func applyBatch(out *Recovered, payload []byte) error {
	b := &wire.JournalBatch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return err
	}
	if b.HardState != nil {
		out.HardState = b.HardState
	}
	for _, e := range b.Entries {
		if len(out.Entries) == 0 {
			out.Entries = append(out.Entries, e)
			continue
		}
		first := out.Entries[0].Index
		if e.Index < first || e.Index > first+uint64(len(out.Entries)) {
			return fmt.Errorf("entry %d does not follow entry %d", e.Index, first+uint64(len(out.Entries))-1)
		}
		out.Entries = append(out.Entries[:e.Index-first], e)
	}
	return nil
}

// dropSnapshotted drops the entries that the snapshot covers. A crash between the two
// renames of saveSnapshot leaves the old journal beside the new snapshot; its later
// entries are kept only if its entry at the snapshot's index has the snapshot's term.
func dropSnapshotted(out *Recovered) {
	s := out.Snapshot
	if s == nil || len(out.Entries) == 0 || out.Entries[0].Index == s.Index+1 {
		return
	}
	first := out.Entries[0].Index
	last := first + uint64(len(out.Entries)) - 1
	if s.Index < first || s.Index > last || out.Entries[s.Index-first].Term != s.Term {
		out.Entries = nil
		return
	}
	out.Entries = out.Entries[s.Index-first+1:]
}

func (j *Journal) loadOrCreateID(prefix string, fresh bool) (string, error) {
	data, err := j.files.ReadFile(j.path(identityName))
	if err == nil && len(data) > 0 {
		return string(data), nil
	}
	if err != nil && !isMissing(err) {
		return "", fmt.Errorf("reading the identity: %w", err)
	}
	if !fresh {
		return "", &DamageError{File: j.path(identityName), Reason: "the identity is missing beside a journal"}
	}
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fmt.Errorf("making an identity: %w", err)
	}
	id := prefix + "-" + hex.EncodeToString(random)
	return id, j.replaceFileAtomically(identityName, []byte(id))
}

// replaceFileAtomically writes a temporary file, syncs it, renames it over the old file
// and syncs the directory, so that a crash leaves either the old or the new file.
func (j *Journal) replaceFileAtomically(name string, data []byte) error {
	path := j.path(name)
	if err := j.files.Remove(path + tempSuffix); err != nil && !isMissing(err) {
		return fmt.Errorf("removing an unfinished %s: %w", name, err)
	}
	f, err := j.files.Open(path + tempSuffix)
	if err != nil {
		return fmt.Errorf("creating %s: %w", name, err)
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(fmt.Errorf("writing %s: %w", name, err), f.Close())
	}
	if err := f.Sync(); err != nil {
		return errors.Join(fmt.Errorf("syncing %s: %w", name, err), f.Close())
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("closing %s: %w", name, err)
	}
	if err := j.files.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("renaming %s: %w", name, err)
	}
	if err := j.files.SyncDir(j.dir); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	return nil
}

// Append writes and syncs one batch. If it returns nil, the batch survives a crash; if
// it returns an error, nothing in the batch may be acknowledged.
func (j *Journal) Append(hs *wire.HardState, entries []*wire.Entry) error {
	if j.broken {
		return ErrBroken
	}
	payload, err := proto.Marshal(&wire.JournalBatch{HardState: hs, Entries: entries})
	if err != nil {
		return fmt.Errorf("encoding a batch: %w", err)
	}
	frame := appendFrame(nil, j.sequence+1, payload)
	if _, err := j.file.Write(frame); err != nil {
		j.broken = true
		return fmt.Errorf("writing the journal: %w", err)
	}
	if err := j.file.Sync(); err != nil {
		j.broken = true
		return fmt.Errorf("syncing the journal: %w", err)
	}
	j.sequence++
	j.size += int64(len(frame))
	return nil
}

// SaveSnapshot stores a snapshot and then starts a new journal with the hard state and
// the entries after the snapshot.
func (j *Journal) SaveSnapshot(s *wire.Snapshot, hs *wire.HardState, after []*wire.Entry) error {
	if j.broken {
		return ErrBroken
	}
	if err := j.saveSnapshot(s, hs, after); err != nil {
		j.broken = true
		return err
	}
	return nil
}

func (j *Journal) saveSnapshot(s *wire.Snapshot, hs *wire.HardState, after []*wire.Entry) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return fmt.Errorf("encoding the snapshot: %w", err)
	}
	if err := j.replaceFileAtomically(snapshotName, appendFrame(nil, s.Index, payload)); err != nil {
		return err
	}
	batch, err := proto.Marshal(&wire.JournalBatch{HardState: hs, Entries: after})
	if err != nil {
		return fmt.Errorf("encoding a batch: %w", err)
	}
	frame := appendFrame(nil, 1, batch)
	if err := j.replaceFileAtomically(journalName, frame); err != nil {
		return err
	}
	old := j.file
	if j.file, err = j.files.Open(j.path(journalName)); err != nil {
		return errors.Join(fmt.Errorf("opening the new journal: %w", err), old.Close())
	}
	j.sequence = 1
	j.size = int64(len(frame))
	return old.Close()
}

// Reopen recovers, like Open, after a temporary failure of the disk. Of the failed
// writes it keeps those that are complete on disk, and syncs them. The lock on the
// directory is held throughout.
func (j *Journal) Reopen() (*Recovered, error) {
	if err := j.file.Close(); err != nil {
		return nil, fmt.Errorf("closing the journal: %w", err)
	}
	j.broken = true
	j.sequence, j.size = 0, 0
	found, err := j.recover("")
	if err != nil {
		return nil, err
	}
	if err := j.file.Sync(); err != nil {
		return nil, fmt.Errorf("syncing the journal: %w", err)
	}
	j.broken = false
	return found, nil
}

// Size returns the length of the journal file in bytes.
func (j *Journal) Size() int64 { return j.size }

// Close closes the files and releases the lock on the directory.
func (j *Journal) Close() error {
	return errors.Join(j.file.Close(), j.unlock())
}
