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

// sizedDocument has so many routes at one host.
func sizedDocument(routes int) Document {
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

// BenchmarkMatch finds the route of a request; it is the last of the document.
func BenchmarkMatch(b *testing.B) {
	for _, n := range benchRoutes {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			table := NewTable(sizedDocument(n))
			path := fmt.Sprintf("/path%d/some/object", n-1)
			for b.Loop() {
				if _, ok := table.Match("a.example:443", path); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkNewTable is what a document costs once.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range benchRoutes {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			d := sizedDocument(n)
			for b.Loop() {
				NewTable(d)
			}
		})
	}
}

func sizedState(targets int) State {
	s := State{}
	for i := range targets {
		s = apply(s, word(fmt.Sprint("i", i), fmt.Sprint("a", i), 1, false))
	}
	return s
}

// BenchmarkRegistration is what the state costs for a target that joins, drains
// and leaves, and for a heartbeat without news.
func BenchmarkRegistration(b *testing.B) {
	for _, n := range benchTargets {
		s := sizedState(n)
		joined := apply(s, word("new", "b", 1, false))
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
		step("join", s, word("new", "b", 1, false))
		step("drain", joined, word("new", "b", 2, true))
		step("leave", joined, leave)
		b.Run(fmt.Sprintf("heartbeat/targets=%d", n), func(b *testing.B) {
			again := word("new", "b", 2, false).Registration
			for b.Loop() {
				if joined.WouldChange(again, false) {
					b.Fatal("news")
				}
			}
		})
	}
}

// BenchmarkRegistrations is what twenty words that come together cost, half of
// targets that join and half of such that leave.
func BenchmarkRegistrations(b *testing.B) {
	for _, n := range benchTargets {
		s := sizedState(n)
		var words []*wire.RegistrationCommand
		for i := range 10 {
			leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: fmt.Sprint("i", i)}, Leave: true}
			words = append(words, word(fmt.Sprint("new", i), fmt.Sprint("b", i), 1, false), leave)
		}
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.ApplyRegistrations(words)
			}
		})
	}
}
