package control

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Replicas whose disks were full for 4 s ended at each write and started again, eight
// times. Cause: any error of the disk ended a replica. The fault matrix alone does not
// show it: a replica that ends and starts again keeps all that it acknowledged too.
func TestReplicaWaitsForDiskSpace(t *testing.T) {
	disk := newFakeDisk(1)
	j, found, err := journal.Open("folder", "a", disk.files())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	r, err := openReplica(func() time.Time { return now }, consensus.Config{}, j, found, snapshotEvery)
	if err != nil {
		t.Fatal(err)
	}
	var told []bool
	sent := 0
	r.send = func(*wire.ConsensusMessage) { sent++ }
	r.publish = func(steering.State, []*wire.Command) {}
	r.onNotice = func(consensus.Notice) {}
	r.onApplied = func(*wire.Command, steering.Result) {}
	r.onSynced = func(time.Duration) {}
	r.onDiskChange = func(full *FullDiskError) { told = append(told, full != nil) }
	carryOut := func(out consensus.Output) {
		t.Helper()
		if err := r.handleOutput(out); err != nil {
			t.Fatalf("the replica ends: %v", err)
		}
	}
	pass := func(length time.Duration) {
		t.Helper()
		for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
			out, err := r.tick()
			if err != nil {
				t.Fatalf("the replica ends: %v", err)
			}
			carryOut(out)
		}
	}
	propose := func(zone string) outcome {
		t.Helper()
		reply := make(chan outcome, 1)
		carryOut(r.handle(proposal{&wire.Command{Evacuation: &wire.EvacuationCommand{Zone: zone}}, reply}))
		select {
		case o := <-reply:
			return o
		default:
			t.Fatalf("the order for %s is not answered", zone)
			return outcome{}
		}
	}
	carryOut(r.handle(bootstrap{&wire.Membership{Voters: []*wire.Replica{{Id: r.id, Address: "a"}}}}))
	pass(3 * time.Second)
	if o := propose("z1"); o.err != nil {
		t.Fatal(o.err)
	}
	disk.tearWrites = true
	disk.beforeOperation = func(operation, name string) error {
		if operation == "write" {
			return fmt.Errorf("write %s: %w", name, syscall.ENOSPC)
		}
		return nil
	}
	var lost *LeadershipLostError
	if o := propose("z2"); !errors.As(o.err, &lost) {
		t.Errorf("what was being stored: %v", o.err)
	}
	before := sent
	pass(4 * time.Second)
	var notLeader *consensus.NotLeaderError
	if o := propose("z3"); !errors.As(o.err, &notLeader) || sent != before {
		t.Errorf("while the disk is full: %v, %d messages", o.err, sent-before)
	}
	if zones := r.state.Catalog().Evacuated(); len(zones) != 1 || zones[0] != "z1" {
		t.Errorf("it shows %v", zones)
	}
	disk.tearWrites = false
	disk.beforeOperation = func(string, string) error { return nil }
	pass(4 * time.Second)
	if o := propose("z4"); o.err != nil {
		t.Errorf("once there is room: %v", o.err)
	}
	if len(told) != 2 || !told[0] || told[1] {
		t.Errorf("told %v", told)
	}
}
