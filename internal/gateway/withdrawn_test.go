package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against sending a request to a target that drained, ended or was evacuated while the
// request waited for its connection.
func TestRequestIsNotSentToTargetWithdrawnWhileConnecting(t *testing.T) {
	serving := balance.Target{ID: "t0", Name: "t0", Service: "s", Address: "0", Zone: "z", Slots: 4}
	draining := serving
	draining.Draining = true
	cases := []struct {
		name   string
		close  func(now time.Time, b *balance.Balancer)
		served int
	}{
		{"drains", func(now time.Time, b *balance.Balancer) { b.ChangeTargets(now, []balance.Target{draining}, nil) }, 4},
		{"ended", func(now time.Time, b *balance.Balancer) { b.ChangeTargets(now, nil, []string{"t0"}) }, 4},
		{"evacuated", func(now time.Time, b *balance.Balancer) { b.SetEvacuated(now, []string{"z"}) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newTestCluster(t, 1, 2)
				d := s.boxes[0]
				dial := d.connections.dial
				d.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					time.Sleep(200 * time.Millisecond)
					return dial(ctx, network, address)
				}
				for range 4 {
					s.sent++
					go s.send(d, s.sent)
				}
				time.Sleep(100 * time.Millisecond)
				d.balancing.Lock()
				c.close(d.clock.Now(), d.balancing.balancer)
				d.balancing.Unlock()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				if got := s.targets[0].countBetween(time.Time{}, time.Now()); got > 0 {
					t.Errorf("%d requests were sent to the closed target", got)
				}
				if s.served != c.served {
					t.Errorf("%d of 4 requests were served, want %d", s.served, c.served)
				}
			})
		})
	}
}

// Guards against a request whose log line does not tell which evacuations it was subject to. The
// version of the routes does not tell it, as the routes and the targets of a state are applied one
// after the other.
func TestLogLineReportsTargetsVersion(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		var lines bytes.Buffer
		s.daemon.log = zerolog.New(&lines)
		s.scripts = scripts(s.responds(0, "a"), s.responds(0, "a"), s.responds(0, "a"))
		evacuated, _ := s.daemon.lastState.ApplyEvacuation(&wire.EvacuationCommand{Zone: "y"})
		for i, c := range []catalog.State{*s.daemon.lastState, evacuated, evacuated} {
			version := uint64(i + 2)
			s.daemon.applyTargets(c, version)
			lines.Reset()
			s.send(t.Context(), "/long/", "")
			if want := fmt.Sprintf(`"targetsVersion":%d,`, version); !strings.Contains(lines.String(), want) {
				t.Errorf("%s is not in the log: %s", want, lines.String())
			}
		}
	})
}
