package gateway

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
)

// TestContactAgeDistinguishesLostLinksFromLostTargets guards against dials that fail looking the same whether
// a target or the box has lost its link: with one target lost the contact age stays low, with all of them it grows.
func TestContactAgeDistinguishesLostLinksFromLostTargets(t *testing.T) {
	for _, c := range []struct {
		name     string
		lost     int
		wantLost bool
	}{{"one target", 1, false}, {"all targets", 3, true}} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), 3)
				s.scripts = scripts()
				dial := s.daemon.connections.dial
				s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					for i := range c.lost {
						if address == fmt.Sprint(i) {
							return nil, syscall.ECONNREFUSED
						}
					}
					return dial(ctx, network, address)
				}
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					for n := range 3 {
						if conn, err := s.daemon.connections.get(t.Context(), testTarget(n), nil); err == nil {
							_ = conn.Close() // nothing is sent on it
						}
					}
				}
				if isLost := s.daemon.targetContact.age() > time.Second; isLost != c.wantLost {
					t.Errorf("contact age %s, want above a second: %v", s.daemon.targetContact.age(), c.wantLost)
				}
				refused := &dto.Metric{}
				if err := s.daemon.metrics.dials.WithLabelValues("z", "refused").Write(refused); err != nil {
					t.Fatal(err)
				}
				if got := refused.Counter.GetValue(); got != float64(30*c.lost) {
					t.Errorf("%v refused dials counted, want %d", got, 30*c.lost)
				}
			})
		})
	}
}
