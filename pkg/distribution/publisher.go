package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxKept is how many commands a publisher keeps to send as deltas.
	maxKept = 1024
	// maxKeptBytes bounds their encoded bytes, the newest command aside: what a
	// box's link of 4 Mbit/s carries in 0.5 s. A subscriber that lacks more is
	// as well served by the whole state, whose document is packed once.
	maxKeptBytes = 250_000
)

// Publisher makes the updates for subscribers from the state of its process.
type Publisher struct {
	state steering.State
	// base is the version before the first kept command.
	base uint64
	// commands hold documents packed as differences, never their texts.
	commands []*wire.Command
	bytes    int
	// alone is the document in force packed without a base, from the first
	// subscriber that needs it until the next document.
	alone *wire.PackedDocument
}

// NewPublisher returns a publisher of a state without kept commands.
func NewPublisher(s steering.State) *Publisher {
	return &Publisher{state: s, base: s.Version()}
}

// SetState takes the next state. Commands are those that led to it from the state
// before, or nil if they are not known.
func (p *Publisher) SetState(s steering.State, commands []*wire.Command) {
	if s.Version() <= p.state.Version() {
		return
	}
	before := p.state
	p.state = s
	if before.Version()+uint64(len(commands)) != s.Version() {
		p.base = s.Version()
		p.commands = nil
		p.bytes = 0
		return
	}
	for _, c := range PackCommands(before, commands) {
		p.commands = append(p.commands, c)
		p.bytes += proto.Size(c)
	}
	p.trim()
}

// PackCommands returns commands that follow a state as subscribers get them. One that
// came packed is the same for them.
func PackCommands(s steering.State, commands []*wire.Command) []*wire.Command {
	before := s.Catalog().Document()
	var out []*wire.Command
	for _, c := range commands {
		out = append(out, packed(before, c))
		if r := c.GetRoutes(); r != nil {
			before = r.GetDocument() // nil for one that came packed
		}
	}
	return out
}

func packed(before *wire.RoutesDocument, c *wire.Command) *wire.Command {
	document := c.GetRoutes().GetDocument()
	if document == nil {
		return c
	}
	return &wire.Command{Routes: &wire.RoutesCommand{
		BaseNumber: c.Routes.BaseNumber,
		Packed:     catalog.Pack(before, document),
	}}
}

// trim lets go of the oldest commands beyond the bounds.
func (p *Publisher) trim() {
	extra := 0
	for len(p.commands)-extra > maxKept || p.bytes > maxKeptBytes && len(p.commands)-extra > 1 {
		p.bytes -= proto.Size(p.commands[extra])
		extra++
	}
	if extra > 0 {
		p.commands = slices.Clone(p.commands[extra:])
		p.base += uint64(extra)
	}
}

// Version returns the version of the published state.
func (p *Publisher) Version() uint64 { return p.state.Version() }

// Update returns what a subscriber at a version lacks: the commands if they
// are kept, else the whole state. A subscriber that lacks nothing, or is ahead,
// gets an empty update, which tells the age of the word of control.
func (p *Publisher) Update(version uint64, age time.Duration) *wire.Update {
	u := &wire.Update{FromVersion: version, Version: version, AgeMilli: age.Milliseconds()}
	if version >= p.state.Version() {
		return u
	}
	u.Version = p.state.Version()
	if version >= p.base {
		u.Commands = p.commands[version-p.base:]
		return u
	}
	u.State = p.whole()
	return u
}

// FirstUpdate returns the first update of a subscription. Unlike later ones it carries
// the whole state for version 0 also if all commands are kept: that is what a
// subscriber asks for that could not use the commands.
func (p *Publisher) FirstUpdate(version uint64, age time.Duration) *wire.Update {
	u := p.Update(version, age)
	if version == 0 && u.Commands != nil {
		u.Commands = nil
		u.State = p.whole()
	}
	return u
}

// whole returns the state with its document packed.
func (p *Publisher) whole() *wire.State {
	out := p.state.EncodeForBoxes()
	document := out.GetCatalog().GetDocument()
	if document == nil {
		return out
	}
	if p.alone.GetNumber() != document.Number {
		p.alone = catalog.Pack(nil, document)
	}
	out.Catalog.Document = nil
	out.Catalog.Packed = p.alone
	return out
}

// Sources returns the candidates of a box, best first: its parents in the tree
// of its zone's boxes, then the control replicas, spread over the boxes, then
// the other boxes of the zone.
func Sources(box string, zone settings.Zone, controls []Source) []Source {
	self := slices.IndexFunc(zone.Boxes, func(b settings.Box) bool { return b.Name == box })
	var out []Source
	add := func(s Source) {
		if s.Name != box && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	for i := parent(self); i >= 0; i = parent(i) {
		add(Source{Name: zone.Boxes[i].Name, Address: zone.Boxes[i].PeerAddress})
	}
	start := 0
	for _, c := range box + zone.Name {
		start = start*31 + int(c)
	}
	for i := range controls {
		add(controls[(start%len(controls)+i+len(controls))%len(controls)])
	}
	for _, b := range zone.Boxes {
		add(Source{Name: b.Name, Address: b.PeerAddress})
	}
	return out
}

// parent returns the place of the parent of the box at place i, or -1.
func parent(i int) int {
	if i <= 0 {
		return -1
	}
	return (i - 1) / MaxChildren
}

// CompareRank orders sources for a box by rendezvous hashing, so that boxes
// spread evenly over the sources and keep theirs when others come and go.
func CompareRank(box, a, b string) int {
	return cmp.Compare(xxhash.Sum64String(box+"\x00"+b), xxhash.Sum64String(box+"\x00"+a))
}
