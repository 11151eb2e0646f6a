package control

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// diskProbeInterval is how often a replica with a full disk checks for free space. Other replicas
// elect a leader after 0.8 s without a message from it.
const diskProbeInterval = 100 * time.Millisecond

// FullDiskError reports that a replica can store nothing because its disk is full.
type FullDiskError struct{ Cause error }

// Error implements error.
func (e *FullDiskError) Error() string {
	return fmt.Sprintf("this replica can store nothing, its disk is full: %v", e.Cause)
}

// Unwrap returns the error of the disk.
func (e *FullDiskError) Unwrap() error { return e.Cause }

// DiskError reports that a replica failed to store data that must be durable.
type DiskError struct{ Cause error }

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("replica stops, its disk failed: %v", e.Cause) }

// Unwrap returns the error of the disk.
func (e *DiskError) Unwrap() error { return e.Cause }

// isFull reports whether a write failed for lack of space, which is temporary. Any other disk
// error ends the replica, because the state on the disk is unknown.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// pause stops the replica from taking part in consensus while its disk is full. Output of the
// state machine that was not stored must not be acted on: nothing is sent, so that the others
// elect a leader, and no unstored vote counts. The applied state is kept and still served.
func (r *replica) pause(cause error) {
	var diskErr *DiskError
	if errors.As(cause, &diskErr) {
		cause = diskErr.Cause
	}
	r.diskFull = &FullDiskError{cause}
	r.nextDiskProbe = r.now().Add(diskProbeInterval)
	for token, reply := range r.proposing {
		delete(r.proposing, token)
		reply(outcome{err: &LeadershipLostError{}}) // the entry may have been stored after all
	}
	r.failWaiting()
	for token, reply := range r.reads {
		delete(r.reads, token)
		reply <- readOutcome{r.state, &consensus.NotLeaderError{}}
	}
	r.onDiskChange(r.diskFull)
}

// reject answers a message while the disk is full. The errors name no leader, since another
// replica may lead without this one knowing.
func (r *replica) reject(m message) {
	switch m := m.(type) {
	case proposal:
		m.reply <- outcome{err: &consensus.NotLeaderError{}}
	case updateBatch:
		for i := range m.updates {
			m.reply <- updateOutcome{i, &consensus.NotLeaderError{}}
		}
	case membershipChange:
		m.reply <- outcome{err: &consensus.NotLeaderError{}}
	case readRequest:
		m.reply <- readOutcome{r.state, &consensus.NotLeaderError{}}
	case viewRequest:
		m.reply <- view{consensus.Status{ID: r.id, CutOff: true}, r.state, r.machine.Membership()}
	}
}

// tick advances the state machine's time, or checks for free space if the disk is full.
func (r *replica) tick() (consensus.Output, error) {
	if r.diskFull == nil {
		return r.machine.Handle(r.now(), consensus.Tick{}), nil
	}
	if r.now().Before(r.nextDiskProbe) {
		return consensus.Output{}, nil
	}
	r.nextDiskProbe = r.now().Add(diskProbeInterval)
	err := r.resume()
	if isFull(err) {
		return consensus.Output{}, nil
	}
	return consensus.Output{}, err
}

// resume continues from the contents of the disk, like a replica that starts, except that applied
// entries stay applied.
func (r *replica) resume() error {
	found, err := r.journal.Reopen()
	if err != nil {
		return fmt.Errorf("reopening the journal: %w", err)
	}
	if err := r.journal.Append(found.HardState, nil); err != nil {
		return fmt.Errorf("checking the disk for free space: %w", err)
	}
	stored := consensus.Stored{HardState: found.HardState, Snapshot: found.Snapshot, Entries: found.Entries}
	machine, err := consensus.New(r.now(), r.config, stored)
	if err != nil {
		return err
	}
	if s := found.Snapshot; s != nil && s.Index > r.applied {
		if err := r.restoreSnapshot(s); err != nil {
			return err
		}
		r.publish(r.state, nil)
	}
	r.machine = machine
	r.hardState = found.HardState
	r.snapshot = found.Snapshot.GetIndex()
	r.diskFull = nil
	r.onDiskChange(nil)
	return nil
}

// recordDisk records an event when the disk becomes full or has space again.
func (d *Daemon) recordDisk(full *FullDiskError) {
	if full != nil {
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "diskFull", Box: d.replica.id, Detail: "takes no part until there is room: " + full.Cause.Error()})
		return
	}
	d.process.RecordStateChange(&wire.TimelineEvent{Kind: "diskRoom", Box: d.replica.id, Detail: "the disk has room again; goes on from what it holds"})
}
