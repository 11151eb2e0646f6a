package distribution

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// relayNode is a box that follows one node and publishes to others.
type relayNode struct {
	follower  *Follower
	publisher *Publisher
	// subscribed is nil while there is no subscription; sent is the version up
	// to which it was served.
	subscribed *Subscribe
	joined     bool
	sent       uint64
}

// network is a control publisher, relays below it and boxes below these.
type network struct {
	now     time.Time
	state   steering.State
	texts   map[uint64]string // by version
	control *Publisher
	// settled are the commands that control has yet to publish, at once.
	settled []*wire.Command
	nodes   []*relayNode
}

// upstreams names the sources of each node, best first; -1 is control.
var upstreams = [][]int{{-1}, {0, -1}, {0, -1}, {1, 0, -1}, {2, -1}}

func newNetwork() *network {
	n := &network{now: time.Unix(1000, 0), texts: map[uint64]string{0: ""}, control: NewPublisher(steering.State{})}
	for i := range upstreams {
		n.nodes = append(n.nodes, nil)
		n.restart(i)
	}
	return n
}

func (n *network) restart(i int) {
	n.nodes[i] = &relayNode{follower: NewFollower(n.now, uint64(i)), publisher: NewPublisher(steering.State{})}
	var sources []Source
	for _, u := range upstreams[i] {
		sources = append(sources, Source{Name: fmt.Sprint(u), Control: u < 0})
	}
	n.event(i, SetSources{sources})
}

func (n *network) apply(c *wire.Command) {
	next, result := n.state.Apply(c)
	if !result.Changed {
		return
	}
	n.state = next
	n.texts[next.Version()] = string(next.Catalog().Document().GetText())
	n.settled = append(n.settled, c)
}

func (n *network) publish() {
	n.control.SetState(n.state, n.settled)
	n.settled = nil
}

func (n *network) event(i int, e Event) {
	node := n.nodes[i]
	out := node.follower.Handle(n.now, e)
	if out.State != nil {
		node.publisher.SetState(*out.State, out.Commands)
	}
	if out.Subscribe != nil {
		node.subscribed = out.Subscribe
		node.joined = false
		node.sent = out.Subscribe.Version
	}
}

// step carries one update to a node; spoil changes it on its way. One that is
// not changed must be of use.
func (n *network) step(t rapid.TB, i int, spoil func(*wire.PackedDocument)) {
	n.event(i, Tick{})
	node := n.nodes[i]
	s := node.subscribed
	if s == nil {
		return
	}
	upstream := n.control
	for j, other := range n.nodes {
		if s.Source.Name == fmt.Sprint(j) {
			upstream = other.publisher
		}
	}
	answer := upstream.Update
	if !node.joined {
		answer = upstream.FirstUpdate
		n.event(i, Opened{s.Attempt})
	}
	node.joined = true
	u, _ := carried(t, answer(node.sent, 0))
	node.sent = max(node.sent, u.Version)
	if spoil != nil {
		spoilUpdate(u, spoil)
	}
	whole := node.follower.whole
	n.event(i, Received{Attempt: s.Attempt, Update: u})
	if spoil == nil && node.follower.whole && !whole {
		t.Fatalf("node %d can't use an update from version %d to %d as it was sent", i, u.FromVersion, u.Version)
	}
}

func spoilUpdate(u *wire.Update, spoil func(*wire.PackedDocument)) {
	for _, c := range u.Commands {
		if p := c.GetRoutes().GetPacked(); p != nil {
			spoil(p)
		}
	}
	if p := u.GetState().GetCatalog().GetPacked(); p != nil {
		spoil(p)
	}
}

// spoilers are the ways in which a packed document is not what was sent.
var spoilers = map[string]func(*wire.PackedDocument){
	"another base":   func(p *wire.PackedDocument) { p.Base += 1000 },
	"another digest": func(p *wire.PackedDocument) { p.Digest++ },
	"broken data":    func(p *wire.PackedDocument) { p.Data = p.Data[:len(p.Data)/2] },
	"another length": func(p *wire.PackedDocument) { p.Length++ },
}

// nextText draws a text that keeps much of the one before, or none of it.
func nextText(t *rapid.T, before []byte, number uint64) []byte {
	line := fmt.Sprintf("{\"number\": %d, \"weight\": %d}\n", number, rapid.IntRange(0, 99).Draw(t, "weight"))
	if rapid.IntRange(0, 9).Draw(t, "anew") == 0 {
		return bytes.Repeat([]byte(line), rapid.IntRange(1, 50).Draw(t, "lines"))
	}
	at := rapid.IntRange(0, len(before)).Draw(t, "at")
	cut := rapid.IntRange(at, len(before)).Draw(t, "cut")
	return bytes.Join([][]byte{before[:at], []byte(line), before[cut:]}, nil)
}

// TestEveryFollowerEndsWithTheSameText lets documents and targets come while
// relays and boxes join, drop out, come back and get broken updates: the text
// that a node holds is always that of its version, and all end with the last.
func TestEveryFollowerEndsWithTheSameText(t *testing.T) {
	names := []string{"another base", "another digest", "broken data", "another length"}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork()
		node := func(t *rapid.T) int { return rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node") }
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"document": func(t *rapid.T) {
				before := n.state.Catalog().Document()
				next := &wire.RoutesDocument{Number: before.GetNumber() + rapid.Uint64Range(1, 3).Draw(t, "by")}
				next.Text = nextText(t, before.GetText(), next.Number)
				n.apply(&wire.Command{Routes: &wire.RoutesCommand{BaseNumber: before.GetNumber(), Document: next}})
			},
			"target": func(*rapid.T) {
				sequence++
				r := &wire.Registration{Id: fmt.Sprint(sequence % 7), Slots: uint32(sequence), Address: fmt.Sprint(sequence), Sequence: sequence}
				n.apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: r}})
			},
			"step":   func(t *rapid.T) { n.step(t, node(t), nil) },
			"spoilt": func(t *rapid.T) { n.step(t, node(t), spoilers[rapid.SampledFrom(names).Draw(t, "how")]) },
			"drop": func(t *rapid.T) {
				i := node(t)
				n.event(i, Lost{n.nodes[i].follower.attempt})
			},
			"restart":         func(t *rapid.T) { n.restart(node(t)) },
			"publish":         func(*rapid.T) { n.publish() },
			"control restart": func(*rapid.T) { n.control, n.settled = NewPublisher(n.state), nil },
			"pass":            func(*rapid.T) { n.now = n.now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				for i, b := range n.nodes {
					s := b.follower.State()
					if string(s.Catalog().Document().GetText()) != n.texts[s.Version()] {
						t.Fatalf("node %d holds another text than version %d", i, s.Version())
					}
				}
			},
		})
		n.settle(t)
	})
}

// settle lets updates pass until every node must have the last state.
func (n *network) settle(t rapid.TB) {
	t.Helper()
	n.publish()
	const rounds = 40 // at 0.5 s each more than the longest back-off and two levels need
	for range rounds {
		n.now = n.now.Add(500 * time.Millisecond)
		for i := range n.nodes {
			n.step(t, i, nil)
		}
	}
	for i, b := range n.nodes {
		s := b.follower.State()
		if s.Version() != n.state.Version() || !bytes.Equal(s.Catalog().Document().GetText(), n.state.Catalog().Document().GetText()) {
			t.Fatalf("node %d ends at version %d of %d", i, s.Version(), n.state.Version())
		}
	}
}

// TestUnusableCommandsLeadToTheWholeState gives a follower commands whose
// document can't be unpacked: the error names it, the state stays, the next
// subscription asks for the whole state and gets it, and the one after that
// goes on from there.
func TestUnusableCommandsLeadToTheWholeState(t *testing.T) {
	for name, spoil := range spoilers {
		t.Run(name, func(t *testing.T) {
			n := newNetwork()
			put := func(text string) {
				_, c := putRoutes(t, n.state, []byte(text))
				n.apply(c)
				n.publish()
			}
			put("one")
			n.step(t, 0, nil)
			put("two")
			box := n.nodes[0]
			version := box.follower.State().Version()
			u, _ := carried(t, n.control.Update(version, 0))
			spoilUpdate(u, spoil)
			_, _, err := Advance(box.follower.State(), u)
			var unpack *catalog.UnpackError
			if !errors.As(err, &unpack) || unpack.Number != 2 {
				t.Fatalf("the update gives %v", err)
			}
			n.step(t, 0, spoil)
			if got := box.follower.State().Version(); got != version {
				t.Fatalf("went from version %d to %d", version, got)
			}
			n.now = n.now.Add(time.Second)
			n.event(0, Tick{})
			if box.subscribed.Version != 0 {
				t.Fatalf("asks for what follows version %d, want the whole state", box.subscribed.Version)
			}
			if u := n.control.FirstUpdate(box.subscribed.Version, 0); u.State == nil {
				t.Fatal("is answered with commands")
			}
			n.settle(t)
			n.event(0, Lost{box.follower.attempt})
			n.now = n.now.Add(time.Second)
			n.event(0, Tick{})
			if box.subscribed.Version != n.state.Version() {
				t.Fatalf("asks for what follows version %d, has %d", box.subscribed.Version, n.state.Version())
			}
		})
	}
}

// TestPlainDocumentsAreTaken gives updates as publishers sent them that did
// not pack.
func TestPlainDocumentsAreTaken(t *testing.T) {
	first, one := putRoutes(t, steering.State{}, []byte("one"))
	second, two := putRoutes(t, first, []byte("two"))
	got, _, err := Advance(steering.State{}, &wire.Update{Version: 2, Commands: []*wire.Command{one, two}})
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("commands: %v", err)
	}
	got, _, err = Advance(steering.State{}, &wire.Update{Version: 2, State: second.EncodeForBoxes()})
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("whole state: %v", err)
	}
}

// TestDocumentIsPackedOnce checks that subscribers share what was packed, and
// that a relay passes on what came to it.
func TestDocumentIsPackedOnce(t *testing.T) {
	s := steering.State{}
	p := NewPublisher(s)
	next, c := putRoutes(t, s, []byte("one"))
	p.SetState(next, []*wire.Command{c})
	if c.Routes.Document == nil || c.Routes.Packed != nil {
		t.Fatal("the command of the replica was changed")
	}
	first, second := p.Update(0, 0).Commands[0].Routes.Packed, p.Update(0, 0).Commands[0].Routes.Packed
	if first == nil || first != second {
		t.Error("packed again for a second subscriber")
	}
	if a, b := p.FirstUpdate(0, 0).State.Catalog, p.FirstUpdate(0, 0).State.Catalog; a.Packed == nil || a.Packed != b.Packed || a.Document != nil {
		t.Error("the whole state is packed again for a second subscriber")
	}
	u, _ := carried(t, p.Update(0, 0))
	box, commands, err := Advance(s, u)
	if err != nil {
		t.Fatal(err)
	}
	relay := NewPublisher(s)
	relay.SetState(box, commands)
	if got := relay.Update(0, 0).Commands[0].Routes.Packed; got != u.Commands[0].Routes.Packed {
		t.Error("the relay packed it anew")
	}
}

// TestPlainAfterPackedInOneBatch puts a document that came packed and a plain
// one at once, as a relay between publishers of two kinds might.
func TestPlainAfterPackedInOneBatch(t *testing.T) {
	first, one := putRoutes(t, steering.State{}, []byte("one"))
	second, two := putRoutes(t, first, []byte("two"))
	p := NewPublisher(steering.State{})
	p.SetState(second, []*wire.Command{PackCommands(steering.State{}, []*wire.Command{one})[0], two})
	got, _, err := Advance(steering.State{}, p.Update(0, 0))
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("got %v", err)
	}
}

// TestSeveralDocumentsGiveOneState checks that what waits in one update comes
// into force at once, so that a box decodes only the last document.
func TestSeveralDocumentsGiveOneState(t *testing.T) {
	s := steering.State{}
	p := NewPublisher(s)
	for i := range 5 {
		next, c := putRoutes(t, s, routesText(i+1, 20, 50+i))
		p.SetState(next, []*wire.Command{c})
		s = next
	}
	now := time.Unix(1000, 0)
	f := NewFollower(now, 1)
	f.Handle(now, SetSources{[]Source{{Name: "a"}}})
	f.Handle(now, Opened{f.attempt})
	out := f.Handle(now, Received{Attempt: f.attempt, Update: p.Update(0, 0)})
	if out.State == nil || out.State.Version() != 5 || out.State.Catalog().Document().Number != 5 || len(out.Commands) != 5 {
		t.Errorf("got %+v", out)
	}
}

// TestKeptCommandsAreBounded puts documents that can't be packed well: a
// publisher holds no texts, and bytes up to its bound or one command.
func TestKeptCommandsAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{1000, 60_000, 2 * maxKeptBytes} {
		s := steering.State{}
		p := NewPublisher(s)
		for range 12 {
			text := make([]byte, size)
			for i := range text {
				text[i] = byte(random.Uint32())
			}
			next, c := putRoutes(t, s, text)
			p.SetState(next, []*wire.Command{c})
			s = next
		}
		held := 0
		for _, c := range p.commands {
			held += proto.Size(c)
			if c.Routes.Document != nil {
				t.Fatal("holds a text")
			}
		}
		if held != p.bytes || held > maxKeptBytes && len(p.commands) > 1 {
			t.Errorf("texts of %d bytes: %d commands of %d bytes, counted %d", size, len(p.commands), held, p.bytes)
		}
		if u := p.Update(s.Version()-1, 0); len(u.Commands) != 1 {
			t.Errorf("texts of %d bytes: a subscriber that lacks one gets %d commands", size, len(u.Commands))
		}
		if u := p.Update(s.Version()-uint64(len(p.commands)), 0); len(u.Commands) != len(p.commands) {
			t.Errorf("texts of %d bytes: a subscriber that lacks all that is kept gets %d commands", size, len(u.Commands))
		}
	}
}
