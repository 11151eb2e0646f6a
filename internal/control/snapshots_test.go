package control

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against snapshots whose bytes grow with targets times changes: 10,002 targets that register
// wrote 39 snapshots of up to 1.2 MB, each of which stopped the replica's loop.
func TestSnapshotBytesFollowTheChanges(t *testing.T) {
	for _, targets := range []int{1000, 4000} {
		disk := newFakeDisk(1)
		j, found, err := journal.Open("folder", "c", disk.files())
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(0, 0)
		r, err := openReplica(func() time.Time { return now }, consensus.Config{ElectionTimeout: time.Second}, j, found, snapshotEvery)
		if err != nil {
			t.Fatal(err)
		}
		r.send, r.publish, r.onSynced = func(*wire.ConsensusMessage) {}, func(steering.State, []*wire.Command) {}, func(time.Duration) {}
		r.onNotice, r.onApplied = func(consensus.Notice) {}, func(*wire.Command, steering.Result) {}
		if err := r.handleOutput(r.handle(bootstrap{&wire.Membership{Voters: []*wire.Replica{{Id: r.id, Address: "c"}}}})); err != nil {
			t.Fatal(err)
		}
		written, last := 0, uint64(0)
		for i := 0; len(r.state.Catalog().Targets()) < targets; i++ {
			now = now.Add(100 * time.Millisecond)
			out, err := r.tick()
			if err == nil {
				err = r.handleOutput(out)
			}
			if err == nil {
				id := fmt.Sprint("i", i)
				command := &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Service: "s", Address: id, Zone: "z", Slots: 8}}}
				err = r.handleOutput(r.handle(proposal{command, make(chan outcome, 1)}))
			}
			if err != nil {
				t.Fatal(err)
			}
			if r.snapshot != last {
				written, last = written+r.snapshotBytes, r.snapshot
			}
		}
		if size := stateBytes(t, r.state.Catalog()); written > 4*size {
			t.Errorf("%d targets: snapshots of %d bytes were written, the state has %d", targets, written, size)
		}
	}
}

func stateBytes(t *testing.T, s catalog.State) int {
	t.Helper()
	size := 0
	for _, r := range s.Targets() {
		size += len(r.Id) + len(r.Address) + len(r.Service) + len(r.Zone) + 12
	}
	return size
}
