package catalog

import (
	"fmt"
	"testing"

	"ledgesill.dev/ledgesill/pkg/wire"
)

var (
	benchRoutes  = []int{1000, 5000, 20_000}
	benchTargets = []int{100, 400, 3000}
)

// documentWithRoutes returns a document with the given number of routes on one host.
func documentWithRoutes(routes int) Document {
	h := Host{Name: "a.example"}
	for i := range routes {
		h.Routes = append(h.Routes, Route{
			Name:         fmt.Sprint("r", i),
			Prefix:       fmt.Sprintf("/path%d/", i),
			Destinations: []Destination{{Service: "s", Weight: 1}},
		})
	}
	return Document{Number: 1, Hosts: []Host{h}}
}

// BenchmarkMatch matches a request to the last route of the document.
func BenchmarkMatch(b *testing.B) {
	for _, n := range benchRoutes {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			table := NewTable(documentWithRoutes(n))
			path := fmt.Sprintf("/path%d/some/object", n-1)
			for b.Loop() {
				if _, ok := table.Match("a.example:443", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkNewTable builds the table of a document, once per document.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range benchRoutes {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			d := documentWithRoutes(n)
			for b.Loop() {
				NewTable(d)
			}
		})
	}
}

func stateWithTargets(targets int) State {
	s := State{}
	for i := range targets {
		s = apply(s, registrationUpdate(fmt.Sprint("i", i), fmt.Sprint("a", i), 1, false))
	}
	return s
}

// BenchmarkRegistration applies a target's join, drain and leave, and checks a
// heartbeat that changes nothing.
func BenchmarkRegistration(b *testing.B) {
	for _, n := range benchTargets {
		s := stateWithTargets(n)
		joined := apply(s, registrationUpdate("new", "b", 1, false))
		leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "new"}, Leave: true}
		step := func(name string, from State, c *wire.RegistrationCommand) {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					if _, changed := from.ApplyRegistration(c); !changed {
						b.Fatal("nothing changed")
					}
				}
			})
		}
		step("join", s, registrationUpdate("new", "b", 1, false))
		step("drain", joined, registrationUpdate("new", "b", 2, true))
		step("leave", joined, leave)
		b.Run(fmt.Sprintf("heartbeat/targets=%d", n), func(b *testing.B) {
			heartbeat := registrationUpdate("new", "b", 2, false).Registration
			for b.Loop() {
				if joined.WouldChange(heartbeat, false) {
					b.Fatal("a heartbeat would change the state")
				}
			}
		})
	}
}

// BenchmarkRegistrationBatch applies a batch of twenty updates: ten targets join and
// ten leave.
func BenchmarkRegistrationBatch(b *testing.B) {
	for _, n := range benchTargets {
		s := stateWithTargets(n)
		var updates []*wire.RegistrationCommand
		for i := range 10 {
			leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: fmt.Sprint("i", i)}, Leave: true}
			updates = append(updates, registrationUpdate(fmt.Sprint("new", i), fmt.Sprint("b", i), 1, false), leave)
		}
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ApplyRegistrations(updates)
			}
		})
	}
}
