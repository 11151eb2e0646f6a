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

// Guards against a replica that exits on a full disk: any disk error used to end it, so replicas
// with disks full for 4 s exited at each write and restarted, eight times. The fault matrix does
// not detect this, because a replica that restarts also keeps all that it acknowledged.
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
	var reported []bool
	sent := 0
	r.send = func(*wire.ConsensusMessage) { sent++ }
	r.publish = func(steering.State, []*wire.Command) {}
	r.onNotice = func(consensus.Notice) {}
	r.onApplied = func(*wire.Command, steering.Result) {}
	r.onSynced = func(time.Duration) {}
	r.onDiskChange = func(full *FullDiskError) { reported = append(reported, full != nil) }
	applyOutput := func(out consensus.Output) {
		t.Helper()
		if err := r.handleOutput(out); err != nil {
			t.Fatalf("the replica stopped: %v", err)
		}
	}
	advance := func(length time.Duration) {
		t.Helper()
		for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
			out, err := r.tick()
			if err != nil {
				t.Fatalf("the replica stopped: %v", err)
			}
			applyOutput(out)
		}
	}
	propose := func(zone string) outcome {
		t.Helper()
		reply := make(chan outcome, 1)
		applyOutput(r.handle(proposal{&wire.Command{Evacuation: &wire.EvacuationCommand{Zone: zone}}, reply}))
		select {
		case o := <-reply:
			return o
		default:
			t.Fatalf("the command for %s was not answered", zone)
			return outcome{}
		}
	}
	applyOutput(r.handle(bootstrap{&wire.Membership{Voters: []*wire.Replica{{Id: r.id, Address: "a"}}}}))
	advance(3 * time.Second)
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
		t.Errorf("command whose write failed: %v", o.err)
	}
	before := sent
	advance(4 * time.Second)
	var notLeader *consensus.NotLeaderError
	if o := propose("z3"); !errors.As(o.err, &notLeader) || sent != before {
		t.Errorf("while the disk is full: %v, %d messages", o.err, sent-before)
	}
	if zones := r.state.Catalog().Evacuated(); len(zones) != 1 || zones[0] != "z1" {
		t.Errorf("evacuated zones %v, want z1 only", zones)
	}
	disk.tearWrites = false
	disk.beforeOperation = func(string, string) error { return nil }
	advance(4 * time.Second)
	if o := propose("z4"); o.err != nil {
		t.Errorf("after the disk has space again: %v", o.err)
	}
	if len(reported) != 2 || !reported[0] || reported[1] {
		t.Errorf("onDiskChange received %v, want full and then not full", reported)
	}
}
