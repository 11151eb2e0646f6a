package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against keeping what a box has learned of a target by the target's id alone when the
// target crashes and starts again: its load, its failures in a row, its requests in flight, and its
// old connections. The new incarnation must get requests at once though the old one was ejected, on
// new connections, and be addressed by the same id.
func TestRestartedTargetIsNewIncarnation(t *testing.T) {
	expected := make(chan string, 1)
	s := newTarget(t, func(n int, r *http.Request, c net.Conn) bool {
		expected <- r.Header.Get("Test-Expect")
		return respondHello(n, r, c)
	})
	dead := newTarget(t, respondHello)
	_ = dead.listener.Close()
	g := newGateway(t)
	d := g.daemon
	state := steering.State{}
	apply := func(born int64, sequence uint64, address string) {
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: "t0", Service: "s", Address: address, Zone: "z", Slots: 4, Sequence: sequence, BornUnixMilli: born,
		}}})
		d.applyState(state, nil)
	}
	apply(100, 57, dead.listener.Addr().String())
	for i := range 3 {
		if response, _ := g.do(t, "POST", "/unsafe/", fmt.Sprint("before", i), ""); response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("the old incarnation: got status %d", response.StatusCode)
		}
	}
	apply(200, 1, s.listener.Addr().String())
	if response, _ := g.do(t, "POST", "/unsafe/", "after", ""); response.StatusCode != http.StatusOK {
		t.Fatalf("the new incarnation is ejected: got status %d", response.StatusCode)
	}
	if got := <-expected; got != "t0" {
		t.Errorf("the target was addressed as %q", got)
	}
	former, latter := catalog.Incarnation{ID: "t0", StartedUnixMilli: 100}, catalog.Incarnation{ID: "t0", StartedUnixMilli: 200}
	if d.isRegistered(former.String()) || !d.isRegistered(latter.String()) {
		t.Error("the box still uses the old incarnation")
	}
}
