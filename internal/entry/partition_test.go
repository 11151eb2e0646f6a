package entry

import (
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
)

// minServedShare is the least share of requests that must be served while the holder of a pool is cut off from its
// targets and another box reaches them.
const minServedShare = 0.9

// TestPoolOfCutOffHolderIsServed guards against a pool that is idle because the box that holds its lease has lost its
// links to the targets, although another box of the zone reaches them.
func TestPoolOfCutOffHolderIsServed(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		c := s.client("flags")
		for range 10 {
			if a := s.read(c, 2*time.Second); a.Outcome != caller.Ran || a.Status != http.StatusOK {
				t.Fatalf("before the partition: %v", a)
			}
		}
		holder := s.box(s.holderOf("za"))
		s.network.kill(s.target("b1").host)
		s.network.kill(s.target("b2").host)
		for _, target := range s.allTargets() {
			s.network.setLinkCut(holder.host, target.host, true)
		}
		time.Sleep(4 * time.Second)
		served := 0
		const requests = 40
		for range requests {
			if a := s.read(c, 2*time.Second); a.Outcome == caller.Ran && a.Status == http.StatusOK {
				served++
			}
			time.Sleep(50 * time.Millisecond)
		}
		for _, target := range s.allTargets() {
			s.network.setLinkCut(holder.host, target.host, false)
		}
		s.network.restart(s.target("b1").host)
		s.network.restart(s.target("b2").host)
		s.close(4)
		if float64(served) < minServedShare*requests {
			t.Errorf("%d of %d reads were served while the holder was cut off from the targets", served, requests)
		}
	})
}
