package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// openReplicas opens control replicas on the loopback network that form one quorum and hold a
// state.
func openReplicas(b *testing.B, count int, state steering.State) []*Daemon {
	b.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var daemons []*Daemon
	first := &wire.Membership{}
	for i := range count {
		c := config.Control{DataDir: b.TempDir(), ElectionTimeout: time.Second, SnapshotEvery: 256, PeersAreSeeds: true}
		c.Name, c.PeerAddress, c.OperatorAddress = fmt.Sprint("c", i), freeAddress(b), "127.0.0.1:0"
		d, err := openOn(link.TCP(), c, io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		daemons = append(daemons, d)
		first.Voters = append(first.Voters, &wire.Replica{Id: d.replica.id, Address: c.PeerAddress})
	}
	var running sync.WaitGroup
	for _, d := range daemons {
		if err := d.replica.handleOutput(d.replica.handle(bootstrap{first})); err != nil {
			b.Fatal(err)
		}
		d.replica.state = state
		running.Go(func() { _ = d.replica.run(ctx) })       // ends with the context
		running.Go(func() { _ = d.publisher.Run(ctx) })     // the same
		running.Go(func() { _ = d.registrations.run(ctx) }) // the same
	}
	b.Cleanup(func() {
		stop()
		running.Wait()
		for _, d := range daemons {
			_ = d.operatorListener.Close()
			if err := d.close(); err != nil {
				b.Error(err)
			}
		}
	})
	return daemons
}

func freeAddress(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func awaitLeader(b *testing.B, daemons []*Daemon) {
	b.Helper()
	for {
		for _, d := range daemons {
			if v, err := d.replica.view(b.Context()); err == nil && v.status.Role == consensus.Leader {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// cpuTime returns the CPU time that this process has used on all cores.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkConcurrentRegistrations measures the CPU time that nine replicas use together for the registrations
// of targets that all join at the same moment, each at one of the replicas.
func BenchmarkConcurrentRegistrations(b *testing.B) {
	for _, n := range []int{400, 1356, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				daemons := openReplicas(b, 9, steering.State{})
				awaitLeader(b, daemons)
				time.Sleep(time.Second)
				used := cpuTime()
				b.StartTimer()
				var failed, calls int
				var counting sync.Mutex
				var registering sync.WaitGroup
				for i := range n {
					registering.Go(func() {
						replica := i
						for {
							ctx, cancel := context.WithTimeout(b.Context(), 900*time.Millisecond)
							r := &wire.Registration{Id: fmt.Sprint("i", i), Address: fmt.Sprint("a", i), Service: "s", Zone: "z", Slots: 9, Sequence: 1}
							err := daemons[replica%len(daemons)].Register(ctx, r)
							cancel()
							counting.Lock()
							calls++
							if err != nil {
								failed++
							}
							counting.Unlock()
							if err == nil || b.Context().Err() != nil {
								return
							}
							replica++
							time.Sleep(100 * time.Millisecond)
						}
					})
				}
				registering.Wait()
				b.StopTimer()
				took := cpuTime() - used
				b.ReportMetric(float64(took.Microseconds())/float64(n), "cpu-us/update")
				b.ReportMetric(float64(calls), "calls")
				b.ReportMetric(float64(failed), "failed")
				b.StartTimer()
			}
		})
	}
}
