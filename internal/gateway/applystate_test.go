package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// These tests guard against two faults. A box applied all targets again with every state. That took
// 0.12 ms for 400 targets on one core and 0.7 ms on the 0.16 cores of a box, and a log line each time.
// It also kept the state of routes forever after they had left the document.

// numbered decodes the documents that withDocument writes.
func numbered(routesOf func(number uint64) catalog.Document) func([]byte) (catalog.Document, error) {
	return func(text []byte) (catalog.Document, error) {
		var number uint64
		if _, err := fmt.Sscan(string(text), &number); err != nil {
			return catalog.Document{}, err
		}
		return routesOf(number), nil
	}
}

// A state with the same targets and evacuations as the one before must not set the balancer's
// targets again.
func TestUnchangedTargetsAreNotAppliedAgain(t *testing.T) {
	var lines bytes.Buffer
	d := newBoxWithoutCallers(t, &lines, numbered(func(n uint64) catalog.Document { return documentOf(n, 2) }))
	s := withTarget(withDocument(steering.State{}, 1), "i", false)
	d.applyState(s, nil)
	d.balancing.balancer.SetTargets(time.Now(), nil) // to see whether they are set again
	lines.Reset()
	s = withDocument(s, 2)
	d.applyState(s, nil)
	if d.isRegistered("i") {
		t.Error("a state that changes only the routes applied the targets again")
	}
	if strings.Contains(lines.String(), `"kind":"targets"`) {
		t.Errorf("the log reports applied targets: %s", lines.String())
	}
	if d.routing.Load().document.Number != 2 {
		t.Error("the document was not applied")
	}
}

// Every change of targets and evacuations is applied.
func TestChangedTargetsAreApplied(t *testing.T) {
	d := newBoxWithoutCallers(t, &bytes.Buffer{}, numbered(func(n uint64) catalog.Document { return documentOf(n, 2) }))
	usable := func(want bool) {
		t.Helper()
		c, err := d.choose(balance.Request{Service: "s", Route: "r0", Objective: time.Second, Remaining: time.Second})
		if got := err == nil; got != want {
			t.Fatalf("target found: %v, want %v (%v)", got, want, err)
		}
		if err == nil {
			d.recordOutcome(balance.Report{TargetID: c.Target.ID, Route: "r0", Outcome: balance.Dropped})
		}
	}
	put := func(s steering.State, c *wire.Command) steering.State {
		t.Helper()
		s, result := s.Apply(c)
		if !result.Changed {
			t.Fatalf("%v changed nothing", c)
		}
		d.applyState(s, nil)
		return s
	}
	leave := func(id string) *wire.Command {
		return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true}}
	}
	s := withTarget(withDocument(steering.State{}, 1), "i", false)
	d.applyState(s, nil)
	usable(true)
	s = put(s, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "z"}})
	usable(false)
	s = put(s, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "z", Withdraw: true}})
	usable(true)
	s = withTarget(s, "i", true)
	d.applyState(s, nil)
	usable(false)
	s = withTarget(s, "j", false)
	d.applyState(s, nil)
	usable(true)
	s = put(s, leave("j"))
	usable(false)
	s = put(s, leave("i"))
	if d.isRegistered("i") {
		t.Error("a target that left is still registered")
	}
	// A full state from control, which shares nothing with the previous one.
	s = withTarget(s, "k", false)
	whole, err := steering.Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	d.applyState(whole, nil)
	usable(true)
}

// The state that the box keeps of routes is bounded by the size of its document, also if each
// document has different routes.
func TestStateOfRemovedRoutesIsBounded(t *testing.T) {
	const routes = 10
	d := newBoxWithoutCallers(t, &bytes.Buffer{}, numbered(func(n uint64) catalog.Document {
		document := documentOf(n, routes)
		for i := range document.Hosts[0].Routes {
			document.Hosts[0].Routes[i].Name = fmt.Sprintf("r%d-%d", n, i)
		}
		return document
	}))
	s := withTarget(steering.State{}, "i", false)
	for n := range uint64(20) {
		s = withDocument(s, n+1)
		d.applyState(s, nil)
		for _, r := range d.routing.Load().document.Hosts[0].Routes {
			d.destination(r)
			c, err := d.choose(balance.Request{Service: "s", Route: r.Name, Objective: time.Second, Remaining: time.Second})
			if err != nil {
				t.Fatal(err)
			}
			d.recordOutcome(balance.Report{TargetID: c.Target.ID, Route: r.Name, Outcome: balance.Answered, Took: time.Millisecond})
		}
	}
	const most = 3 * routes // twice the number in the document, and those added by the last one
	if got := d.balancing.balancer.RouteCount(); got > most {
		t.Errorf("state of %d routes is kept, want at most %d", got, most)
	}
	if got := len(d.balancing.splits); got > most {
		t.Errorf("splits of %d routes are kept, want at most %d", got, most)
	}
}
