package control

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// diskProbeInterval is how often a replica whose disk is full looks for room. Others
// elect a leader after 0.8 s without its update.
const diskProbeInterval = 100 * time.Millisecond

// FullDiskError says that a replica can store nothing because its disk is full.
type FullDiskError struct{ Cause error }

// Error implements error.
func (e *FullDiskError) Error() string {
	return fmt.Sprintf("this replica can store nothing, its disk is full: %v", e.Cause)
}

// Unwrap returns what the disk said.
func (e *FullDiskError) Unwrap() error { return e.Cause }

// DiskError says that a replica could not store what must be durable.
type DiskError struct{ Cause error }

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("replica stops, its disk failed: %v", e.Cause) }

// Unwrap returns what the disk said.
func (e *DiskError) Unwrap() error { return e.Cause }

// isFull reports whether a disk refused a write for want of room, which passes. A
// disk that fails otherwise ends the replica: what it holds is not known.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// pause has the replica take no part while its disk is full. What the machine has
// decided and not stored must not be acted on: nothing is sent, so that others elect
// a leader, and no vote counts that was not stored. What was applied is kept and goes
// on being shown.
func (r *replica) pause(cause error) {
	var failed *DiskError
	if errors.As(cause, &failed) {
		cause = failed.Cause
	}
	r.diskFull = &FullDiskError{cause}
	r.nextDiskProbe = r.now().Add(diskProbeInterval)
	for token, reply := range r.proposing {
		delete(r.proposing, token)
		reply(outcome{err: &LeadershipLostError{}}) // what was being stored may be there after all
	}
	r.failWaiting()
	for token, reply := range r.reads {
		delete(r.reads, token)
		reply <- readOutcome{r.state, &consensus.NotLeaderError{}}
	}
	r.onDiskChange(r.diskFull)
}

// reject takes a message while the disk is full. Another replica may lead, which
// this one would not know of.
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

// tick tells the machine of the time, or looks for room on the disk.
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

// resume goes on from what the disk holds, like a replica that starts, but for what
// was applied already.
func (r *replica) resume() error {
	found, err := r.journal.Reopen()
	if err != nil {
		return fmt.Errorf("opening the journal again: %w", err)
	}
	if err := r.journal.Append(found.HardState, nil); err != nil {
		return fmt.Errorf("looking for room on the disk: %w", err)
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

// recordDisk tells that the disk is full or has room again.
func (d *Daemon) recordDisk(full *FullDiskError) {
	if full != nil {
		d.process.StateChange(&wire.TimelineEvent{Kind: "diskFull", Box: d.replica.id, Detail: "takes no part until there is room: " + full.Cause.Error()})
		return
	}
	d.process.StateChange(&wire.TimelineEvent{Kind: "diskRoom", Box: d.replica.id, Detail: "the disk has room again; goes on from what it holds"})
}
