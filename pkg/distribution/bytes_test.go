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

// What was seen: documents of 2,800 routes were acknowledged at once and came into force at no box within a minute, while each
// box received all that its link of 4 Mbit/s carries. How it came about: a document with 1,400 routes more was followed by one
// that changed a weight, while targets came and went. The cause looked at here: an update carries the whole text of each
// document, about 215 B a route, so that two documents of 2,800 routes are 1.2 MB, 2.4 s of the link, which is the whole time
// in which a change has to be in force. What proved it: the encoded size of the update for one changed weight, which grew with
// the routes that did not change.

const (
	// linkRate is what a box's link carries, in bytes a second: 4 Mbit/s.
	linkRate = 4_000_000 / 8
	// maxWeightBytes bounds the update for one changed weight: 32 ms of the link.
	maxWeightBytes = 16 << 10
	// maxRoutesBytes bounds the update for 1,400 routes more: 131 ms of the link.
	maxRoutesBytes = 64 << 10
	// maxUpdateBytes bounds what one update may take of the link: 0.5 s, a fifth
	// of the time in which a change has to be in force.
	maxUpdateBytes = linkRate / 2
	// minWholeRatio is how much smaller than its document a whole state must be.
	minWholeRatio = 10
)

// routesText returns a document of routes over seven hosts, so that routes
// that are added stand in seven places. A changed weight is that of route 0.
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

// putRoutes returns the state after the next document, and its command.
func putRoutes(t rapid.TB, s steering.State, text []byte) (steering.State, *wire.Command) {
	t.Helper()
	base := s.Catalog().Document().GetNumber()
	c := &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: base, Document: &wire.RoutesDocument{Number: base + 1, Text: text}}}
	next, result := s.Apply(c)
	if result.Err != nil || !result.Changed {
		t.Fatalf("document %d was not taken: %v", base+1, result.Err)
	}
	return next, c
}

// carried returns an update as it is read at the other end, and its bytes.
func carried(t rapid.TB, u *wire.Update) (*wire.Update, int) {
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

// TestBytesFollowTheChange puts documents of 1,400 to 5,600 routes one upon
// another, each followed by one that changes one weight, and checks that the
// bytes of the updates depend on what changed and not on the document's size.
func TestBytesFollowTheChange(t *testing.T) {
	state, box := steering.State{}, steering.State{}
	p := NewPublisher(state)
	take := func(what string, bound int) {
		u, size := carried(t, p.Update(box.Version(), 0))
		t.Logf("%s: %d bytes, %.3f s of a box's link", what, size, float64(size)/linkRate)
		if size > bound {
			t.Errorf("%s takes %d bytes, want at most %d", what, size, bound)
		}
		next, _, err := Advance(box, u)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if string(next.Catalog().Document().GetText()) != string(state.Catalog().Document().GetText()) {
			t.Fatalf("%s: the box holds another text", what)
		}
		box = next
	}
	number := 0
	put := func(routes, weight int) {
		number++
		next, c := putRoutes(t, state, routesText(number, routes, weight))
		p.SetState(next, []*wire.Command{c})
		state = next
	}
	for routes := 1400; routes <= 5600; routes += 1400 {
		put(routes, 50)
		take(fmt.Sprintf("1,400 routes more, %d in all", routes), maxRoutesBytes)
		put(routes, 60)
		take(fmt.Sprintf("one weight of %d routes", routes), maxWeightBytes)
		put(routes, 70)
		put(routes, 80)
		take(fmt.Sprintf("two changes of one weight of %d routes together", routes), maxWeightBytes)
		whole, size := carried(t, NewPublisher(state).Update(0, 0))
		text := len(state.Catalog().Document().GetText())
		t.Logf("whole state of %d routes: %d bytes for a text of %d", routes, size, text)
		if size > text/minWholeRatio || size > maxUpdateBytes {
			t.Errorf("the whole state of %d routes takes %d bytes, want at most a %dth of %d", routes, size, minWholeRatio, text)
		}
		if joined, _, err := Advance(steering.State{}, whole); err != nil || joined.Version() != state.Version() {
			t.Fatalf("a box that joins is at version %d after %v", joined.Version(), err)
		}
	}
	put(7000, 80)
	put(7000, 90)
	take("1,400 routes more and one weight of 7,000 routes together", maxUpdateBytes)
}

// BenchmarkUpdate measures an update for one changed weight: its way out of a
// publisher and into the state of a box.
func BenchmarkUpdate(b *testing.B) {
	for _, routes := range []int{1000, 5000, 20000} {
		before, _ := putRoutes(b, steering.State{}, routesText(1, routes, 50))
		after, c := putRoutes(b, before, routesText(2, routes, 60))
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
