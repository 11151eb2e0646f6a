package distribution

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// These tests guard against updates whose size grows with the document instead of the
// change. Updates used to carry the full text of each document, about 215 B per route.
// A document with 1,400 more routes, followed by one that changed a weight, came to
// 1.2 MB for two documents of 2,800 routes. That is 2.4 s of a 4 Mbit/s link, all the time
// in which a change has to be active; with targets joining and leaving meanwhile, the
// links were saturated and no box activated the documents within a minute.

const (
	// linkRate is the bandwidth of a box's link in bytes per second: 4 Mbit/s.
	linkRate = 4_000_000 / 8
	// maxWeightBytes bounds the update for one changed weight: 32 ms of the link.
	maxWeightBytes = 16 << 10
	// maxRoutesBytes bounds the update for 1,400 more routes: 131 ms of the link.
	maxRoutesBytes = 64 << 10
	// maxUpdateBytes bounds any update: 0.5 s of the link, a fifth of the time in which
	// a change has to be active.
	maxUpdateBytes = linkRate / 2
	// minPackRatio is how many times smaller than its document a full state must be.
	minPackRatio = 10
)

// routesText returns a document of routes spread over seven hosts, so that added routes
// are inserted in seven places. weight is the weight of route 0.
func routesText(number, routes, weight int) []byte {
	var hosts [7]strings.Builder
	for i := range routes {
		r := rand.New(rand.NewPCG(uint64(i), 3))
		first := 1 + r.IntN(99)
		if i == 0 {
			first = weight
		}
		name := fmt.Sprintf("%08x", r.Uint32())
		_, _ = fmt.Fprintf(&hosts[i%len(hosts)], `
    {"name":"route-%s","prefix":"/v2/%s/items/","repeat":"repeatable","objectiveMillis":%d,"priority":%d,"destinations":[{"service":"service-%02d","weight":%d},{"service":"service-%02d","weight":%d}],"timeoutMillis":1500},`,
			name, name, 200+r.IntN(800), r.IntN(4), r.IntN(40), first, r.IntN(40), 100-first)
	}
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "{\"number\": %d, \"base\": %d, \"hosts\": [", number, number-1)
	for i := range hosts {
		_, _ = fmt.Fprintf(&out, "\n  {\"name\": \"host-%d.example\", \"routes\": [%s]},", i, strings.TrimSuffix(hosts[i].String(), ","))
	}
	return []byte(strings.TrimSuffix(out.String(), ",") + "\n]}\n")
}

// applyRoutes applies the next document and returns the new state and the command.
func applyRoutes(t rapid.TB, s steering.State, text []byte) (steering.State, *wire.Command) {
	t.Helper()
	base := s.Catalog().Document().GetNumber()
	c := &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: base, Document: &wire.RoutesDocument{Number: base + 1, Text: text}}}
	next, result := s.Apply(c)
	if result.Err != nil || !result.Changed {
		t.Fatalf("document %d was not accepted: %v", base+1, result.Err)
	}
	return next, c
}

// roundTrip encodes and decodes an update, and returns it with its encoded size.
func roundTrip(t rapid.TB, u *wire.Update) (*wire.Update, int) {
	t.Helper()
	data, err := proto.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	out := &wire.Update{}
	if err := proto.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out, len(data)
}

// TestUpdateSizeDependsOnChangeOnly applies documents of 1,400 to 5,600 routes in
// turn, each followed by one that changes a single weight, and checks that the size
// of the updates depends on the change and not on the document.
func TestUpdateSizeDependsOnChangeOnly(t *testing.T) {
	state, box := steering.State{}, steering.State{}
	p := NewPublisher(state)
	receive := func(what string, limit int) {
		u, size := roundTrip(t, p.Update(box.Version(), 0))
		t.Logf("%s: %d bytes, %.3f s of a box's link", what, size, float64(size)/linkRate)
		if size > limit {
			t.Errorf("%s takes %d bytes, want at most %d", what, size, limit)
		}
		next, _, err := Advance(box, u)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if string(next.Catalog().Document().GetText()) != string(state.Catalog().Document().GetText()) {
			t.Fatalf("%s: the box has another document text than the publisher", what)
		}
		box = next
	}
	number := 0
	publish := func(routes, weight int) {
		number++
		next, c := applyRoutes(t, state, routesText(number, routes, weight))
		p.SetState(next, []*wire.Command{c})
		state = next
	}
	for routes := 1400; routes <= 5600; routes += 1400 {
		publish(routes, 50)
		receive(fmt.Sprintf("1,400 more routes, %d in total", routes), maxRoutesBytes)
		publish(routes, 60)
		receive(fmt.Sprintf("one weight of %d routes", routes), maxWeightBytes)
		publish(routes, 70)
		publish(routes, 80)
		receive(fmt.Sprintf("two changes of one weight of %d routes together", routes), maxWeightBytes)
		full, size := roundTrip(t, NewPublisher(state).Update(0, 0))
		text := len(state.Catalog().Document().GetText())
		t.Logf("full state of %d routes: %d bytes for a text of %d", routes, size, text)
		if size > text/minPackRatio || size > maxUpdateBytes {
			t.Errorf("the full state of %d routes takes %d bytes, want at most a %dth of %d", routes, size, minPackRatio, text)
		}
		if joined, _, err := Advance(steering.State{}, full); err != nil || joined.Version() != state.Version() {
			t.Fatalf("a joining box is at version %d: %v", joined.Version(), err)
		}
	}
	publish(7000, 80)
	publish(7000, 90)
	receive("1,400 more routes and one weight of 7,000 routes together", maxUpdateBytes)
}

// BenchmarkUpdate measures an update for one changed weight: send encodes it at the
// publisher, take applies it at a box, whole encodes the full state.
func BenchmarkUpdate(b *testing.B) {
	for _, routes := range []int{1000, 5000, 20000} {
		before, _ := applyRoutes(b, steering.State{}, routesText(1, routes, 50))
		after, c := applyRoutes(b, before, routesText(2, routes, 60))
		send := func() *wire.Update {
			p := NewPublisher(before)
			p.SetState(after, []*wire.Command{c})
			return p.Update(before.Version(), 0)
		}
		b.Run(fmt.Sprintf("send/%d", routes), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(send())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/update")
		})
		data, err := proto.Marshal(send())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("take/%d", routes), func(b *testing.B) {
			for b.Loop() {
				u := &wire.Update{}
				if err := proto.Unmarshal(data, u); err != nil {
					b.Fatal(err)
				}
				if _, _, err := Advance(before, u); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("whole/%d", routes), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(NewPublisher(after).Update(0, 0))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/update")
		})
	}
}
