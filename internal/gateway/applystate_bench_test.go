package gateway

import (
	"fmt"
	"io"
	"testing"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// documentOf returns a document with that many routes, each with two services.
func documentOf(number uint64, routes int) catalog.Document {
	h := catalog.Host{Name: "a.example"}
	for i := range routes {
		h.Routes = append(h.Routes, catalog.Route{
			Name: fmt.Sprint("r", i), Prefix: fmt.Sprintf("/path%d/", i),
			Destinations: []catalog.Destination{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}},
		})
	}
	return catalog.Document{Number: number, Hosts: []catalog.Host{h}, Services: []catalog.Service{{Name: "s"}, {Name: "t"}}}
}

// newBoxWithoutCallers returns a box that logs to a writer and serves no callers.
func newBoxWithoutCallers(t testing.TB, log io.Writer, decode func([]byte) (catalog.Document, error)) *Daemon {
	t.Helper()
	d, err := Open(Config{
		Name: "box", Zone: "z", Region: "r", RegionOf: map[string]string{"z": "r"},
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", Protocol: testProtocol(), DecodeRoutes: decode,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = d.callerServer.listener.Close()
		_ = d.readyListener.Close()
	})
	d.log = zerolog.New(log)
	return d
}

func withDocument(s steering.State, number uint64) steering.State {
	s, _ = s.Apply(&wire.Command{Routes: &wire.RoutesCommand{
		BaseNumber: s.Catalog().Document().GetNumber(),
		Document:   &wire.RoutesDocument{Number: number, Text: fmt.Append(nil, number)},
	}})
	return s
}

func withTarget(s steering.State, id string, draining bool) steering.State {
	s, _ = s.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: id, Service: "s", Address: id, Zone: "z", Slots: 4, Sequence: s.Version() + 1, Draining: draining,
	}}})
	return s
}

// BenchmarkApplyRoutes measures applying a decoded document in a box that has served all of its
// routes.
func BenchmarkApplyRoutes(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			document := documentOf(1, n)
			d := newBoxWithoutCallers(b, io.Discard, func([]byte) (catalog.Document, error) {
				document.Number++
				return document, nil
			})
			for _, r := range document.Hosts[0].Routes {
				d.destination(r)
			}
			number := uint64(0)
			for b.Loop() {
				number++
				d.applyRoutes(withDocument(steering.State{}, number).Catalog(), number)
			}
		})
	}
}

// BenchmarkPruneRoutes measures how long requests wait for a document that drops no more routes
// than it has.
func BenchmarkPruneRoutes(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			d := newBoxWithoutCallers(b, io.Discard, testRoutes)
			document := documentOf(1, n)
			for _, r := range document.Hosts[0].Routes {
				d.destination(r)
			}
			for b.Loop() {
				d.setColdLimits(document.Services)
				d.pruneRoutes(document)
			}
		})
	}
}

// BenchmarkPruneSplits measures the further time that requests wait for a document that drops more
// routes than it has, and with them their splits.
func BenchmarkPruneSplits(b *testing.B) {
	for _, n := range []int{1000, 5000, 20_000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			splits := make(map[string]*balance.Split)
			document := documentOf(1, n)
			for _, r := range document.Hosts[0].Routes {
				splits[r.Name] = balance.NewSplit("box", r.Name)
			}
			for b.Loop() {
				pruneSplits(splits, document)
			}
		})
	}
}

// BenchmarkApplyUnchangedTargets measures applying the targets of a state in which only the routes
// changed.
func BenchmarkApplyUnchangedTargets(b *testing.B) {
	for _, n := range []int{100, 400, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := newBoxWithoutCallers(b, io.Discard, testRoutes)
			s := steering.State{}
			for i := range n {
				s = withTarget(s, fmt.Sprint("i", i), false)
			}
			for b.Loop() {
				d.applyTargets(s.Catalog(), s.Version())
			}
		})
	}
}

// BenchmarkApplyNewTarget measures applying states between which one target joins or leaves in turn.
func BenchmarkApplyNewTarget(b *testing.B) {
	for _, n := range []int{100, 400, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := newBoxWithoutCallers(b, io.Discard, testRoutes)
			s := steering.State{}
			for i := range n {
				s = withTarget(s, fmt.Sprint("i", i), false)
			}
			joined := withTarget(s, "new", false)
			for i := 0; b.Loop(); i++ {
				next := []steering.State{s, joined}[i%2]
				d.applyTargets(next.Catalog(), next.Version())
			}
		})
	}
}
