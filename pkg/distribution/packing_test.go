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

// relayNode is a box that follows one upstream and publishes to others.
type relayNode struct {
	follower  *Follower
	publisher *Publisher
	// subscribed is nil while there is no subscription.
	subscribed *Subscribe
	// sentFirst reports whether the first update was sent, sentVersion is the version of
	// the latest one.
	sentFirst   bool
	sentVersion uint64
}

// network is a control publisher with two levels of relays and boxes below it.
type network struct {
	now     time.Time
	state   steering.State
	texts   map[uint64]string // by version
	control *Publisher
	// unpublished are commands that control has applied and not published yet.
	unpublished []*wire.Command
	nodes       []*relayNode
}

// upstreams lists the sources of each node, best first; -1 is control.
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
	n.handle(i, SetSources{sources})
}

func (n *network) apply(c *wire.Command) {
	next, result := n.state.Apply(c)
	if !result.Changed {
		return
	}
	n.state = next
	n.texts[next.Version()] = string(next.Catalog().Document().GetText())
	n.unpublished = append(n.unpublished, c)
}

func (n *network) publish() {
	n.control.SetState(n.state, n.unpublished)
	n.unpublished = nil
}

func (n *network) handle(i int, e Event) {
	node := n.nodes[i]
	out := node.follower.Handle(n.now, e)
	if out.State != nil {
		node.publisher.SetState(*out.State, out.Commands)
	}
	if out.Subscribe != nil {
		node.subscribed = out.Subscribe
		node.sentFirst = false
		node.sentVersion = out.Subscribe.Version
	}
}

// deliver sends one update to a node; corrupt, if not nil, alters it on the way. An
// unaltered update must be usable.
func (n *network) deliver(t rapid.TB, i int, corrupt func(*wire.PackedDocument)) {
	n.handle(i, Tick{})
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
	next := upstream.Update
	if !node.sentFirst {
		next = upstream.FirstUpdate
		n.handle(i, Opened{s.Attempt})
	}
	node.sentFirst = true
	u, _ := roundTrip(t, next(node.sentVersion, 0))
	node.sentVersion = max(node.sentVersion, u.Version)
	if corrupt != nil {
		corruptUpdate(u, corrupt)
	}
	before := node.follower.needsFullState
	n.handle(i, Received{Attempt: s.Attempt, Update: u})
	if corrupt == nil && node.follower.needsFullState && !before {
		t.Fatalf("node %d can't use an update from version %d to %d as it was sent", i, u.FromVersion, u.Version)
	}
}

func corruptUpdate(u *wire.Update, corrupt func(*wire.PackedDocument)) {
	for _, c := range u.Commands {
		if p := c.GetRoutes().GetPacked(); p != nil {
			corrupt(p)
		}
	}
	if p := u.GetState().GetCatalog().GetPacked(); p != nil {
		corrupt(p)
	}
}

// corruptions alter a packed document in transit.
var corruptions = map[string]func(*wire.PackedDocument){
	"another base":   func(p *wire.PackedDocument) { p.Base += 1000 },
	"another digest": func(p *wire.PackedDocument) { p.Digest++ },
	"broken data":    func(p *wire.PackedDocument) { p.Data = p.Data[:len(p.Data)/2] },
	"another length": func(p *wire.PackedDocument) { p.Length++ },
}

// nextText draws a text that keeps much of the previous one, or none of it.
func nextText(t *rapid.T, before []byte, number uint64) []byte {
	line := fmt.Sprintf("{\"number\": %d, \"weight\": %d}\n", number, rapid.IntRange(0, 99).Draw(t, "weight"))
	if rapid.IntRange(0, 9).Draw(t, "anew") == 0 {
		return bytes.Repeat([]byte(line), rapid.IntRange(1, 50).Draw(t, "lines"))
	}
	at := rapid.IntRange(0, len(before)).Draw(t, "at")
	cut := rapid.IntRange(at, len(before)).Draw(t, "cut")
	return bytes.Join([][]byte{before[:at], []byte(line), before[cut:]}, nil)
}

// TestFollowersConverge publishes documents and targets while relays and boxes join,
// disconnect, restart and receive corrupted updates. The text at a node must always
// be that of its version, and all nodes must end at the latest version.
func TestFollowersConverge(t *testing.T) {
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
			"step":   func(t *rapid.T) { n.deliver(t, node(t), nil) },
			"spoilt": func(t *rapid.T) { n.deliver(t, node(t), corruptions[rapid.SampledFrom(names).Draw(t, "how")]) },
			"drop": func(t *rapid.T) {
				i := node(t)
				n.handle(i, Lost{n.nodes[i].follower.attempt})
			},
			"restart":         func(t *rapid.T) { n.restart(node(t)) },
			"publish":         func(*rapid.T) { n.publish() },
			"control restart": func(*rapid.T) { n.control, n.unpublished = NewPublisher(n.state), nil },
			"pass":            func(*rapid.T) { n.now = n.now.Add(700 * time.Millisecond) },
			"": func(t *rapid.T) {
				for i, b := range n.nodes {
					s := b.follower.State()
					if string(s.Catalog().Document().GetText()) != n.texts[s.Version()] {
						t.Fatalf("node %d has another text than that of version %d", i, s.Version())
					}
				}
			},
		})
		n.converge(t)
	})
}

// converge delivers updates until every node must have the latest state.
func (n *network) converge(t rapid.TB) {
	t.Helper()
	n.publish()
	const rounds = 40 // of 0.5 s each: more than the longest back-off and two levels need
	for range rounds {
		n.now = n.now.Add(500 * time.Millisecond)
		for i := range n.nodes {
			n.deliver(t, i, nil)
		}
	}
	for i, b := range n.nodes {
		s := b.follower.State()
		if s.Version() != n.state.Version() || !bytes.Equal(s.Catalog().Document().GetText(), n.state.Catalog().Document().GetText()) {
			t.Fatalf("node %d ends at version %d of %d", i, s.Version(), n.state.Version())
		}
	}
}

// A follower gets commands with a document that can't be unpacked. The error names the
// document and the state stays. The next subscription asks for the full state and gets
// it, and the one after that continues from there.
func TestUnusableCommandsLeadToFullState(t *testing.T) {
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			n := newNetwork()
			publishText := func(text string) {
				_, c := applyRoutes(t, n.state, []byte(text))
				n.apply(c)
				n.publish()
			}
			publishText("one")
			n.deliver(t, 0, nil)
			publishText("two")
			box := n.nodes[0]
			version := box.follower.State().Version()
			u, _ := roundTrip(t, n.control.Update(version, 0))
			corruptUpdate(u, corrupt)
			_, _, err := Advance(box.follower.State(), u)
			var unpack *catalog.UnpackError
			if !errors.As(err, &unpack) || unpack.Number != 2 {
				t.Fatalf("the update gives %v", err)
			}
			n.deliver(t, 0, corrupt)
			if got := box.follower.State().Version(); got != version {
				t.Fatalf("went from version %d to %d", version, got)
			}
			n.now = n.now.Add(time.Second)
			n.handle(0, Tick{})
			if box.subscribed.Version != 0 {
				t.Fatalf("subscribes from version %d, want 0 for the full state", box.subscribed.Version)
			}
			if u := n.control.FirstUpdate(box.subscribed.Version, 0); u.State == nil {
				t.Fatal("the first update has commands instead of the full state")
			}
			n.converge(t)
			n.handle(0, Lost{box.follower.attempt})
			n.now = n.now.Add(time.Second)
			n.handle(0, Tick{})
			if box.subscribed.Version != n.state.Version() {
				t.Fatalf("subscribes from version %d, want %d", box.subscribed.Version, n.state.Version())
			}
		})
	}
}

// Updates of publishers that do not pack documents are accepted.
func TestPlainDocumentsAreAccepted(t *testing.T) {
	first, one := applyRoutes(t, steering.State{}, []byte("one"))
	second, two := applyRoutes(t, first, []byte("two"))
	got, _, err := Advance(steering.State{}, &wire.Update{Version: 2, Commands: []*wire.Command{one, two}})
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("commands: %v", err)
	}
	got, _, err = Advance(steering.State{}, &wire.Update{Version: 2, State: second.EncodeForBoxes()})
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("full state: %v", err)
	}
}

// Subscribers share one packed document, and a relay forwards it as received.
func TestDocumentIsPackedOnce(t *testing.T) {
	s := steering.State{}
	p := NewPublisher(s)
	next, c := applyRoutes(t, s, []byte("one"))
	p.SetState(next, []*wire.Command{c})
	if c.Routes.Document == nil || c.Routes.Packed != nil {
		t.Fatal("the replica's command was modified")
	}
	first, second := p.Update(0, 0).Commands[0].Routes.Packed, p.Update(0, 0).Commands[0].Routes.Packed
	if first == nil || first != second {
		t.Error("packed again for a second subscriber")
	}
	if a, b := p.FirstUpdate(0, 0).State.Catalog, p.FirstUpdate(0, 0).State.Catalog; a.Packed == nil || a.Packed != b.Packed || a.Document != nil {
		t.Error("the full state is packed again for a second subscriber")
	}
	u, _ := roundTrip(t, p.Update(0, 0))
	box, commands, err := Advance(s, u)
	if err != nil {
		t.Fatal(err)
	}
	relay := NewPublisher(s)
	relay.SetState(box, commands)
	if got := relay.Update(0, 0).Commands[0].Routes.Packed; got != u.Commands[0].Routes.Packed {
		t.Error("the relay packed the document again")
	}
}

// One batch has a packed document followed by a plain one, as a relay may get from
// publishers of different versions.
func TestPlainDocumentAfterPackedIsAccepted(t *testing.T) {
	first, one := applyRoutes(t, steering.State{}, []byte("one"))
	second, two := applyRoutes(t, first, []byte("two"))
	p := NewPublisher(steering.State{})
	p.SetState(second, []*wire.Command{PackCommands(steering.State{}, []*wire.Command{one})[0], two})
	got, _, err := Advance(steering.State{}, p.Update(0, 0))
	if err != nil || string(got.Catalog().Document().GetText()) != "two" {
		t.Errorf("got %v", err)
	}
}

// Several documents in one update lead to one new state, so that a box decodes only the
// last document.
func TestDocumentsOfOneUpdateGiveOneState(t *testing.T) {
	s := steering.State{}
	p := NewPublisher(s)
	for i := range 5 {
		next, c := applyRoutes(t, s, routesText(i+1, 20, 50+i))
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

// With documents that do not compress, a publisher keeps no texts and at most
// minCommandBytes, or a single command.
func TestKeptCommandsAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{1000, 60_000, 2 * minCommandBytes} {
		s := steering.State{}
		p := NewPublisher(s)
		for range 12 {
			text := make([]byte, size)
			for i := range text {
				text[i] = byte(random.Uint32())
			}
			next, c := applyRoutes(t, s, text)
			p.SetState(next, []*wire.Command{c})
			s = next
		}
		held := 0
		for _, c := range p.commands {
			held += proto.Size(c)
			if c.Routes.Document != nil {
				t.Fatal("a kept command has a document text")
			}
		}
		if held != p.commandBytes || held > minCommandBytes && len(p.commands) > 1 {
			t.Errorf("texts of %d bytes: %d commands of %d bytes, counted %d", size, len(p.commands), held, p.commandBytes)
		}
		if u := p.Update(s.Version()-1, 0); len(u.Commands) != 1 {
			t.Errorf("texts of %d bytes: a subscriber that lacks one gets %d commands", size, len(u.Commands))
		}
		if u := p.Update(s.Version()-uint64(len(p.commands)), 0); len(u.Commands) != len(p.commands) {
			t.Errorf("texts of %d bytes: a subscriber that lacks all kept commands gets %d", size, len(u.Commands))
		}
	}
}
