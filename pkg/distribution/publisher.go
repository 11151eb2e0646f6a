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
	// minCommandBytes is the size up to which recent commands are kept in any case: what
	// a box's link of 4 Mbit/s carries in 0.5 s.
	minCommandBytes = 250_000
	// stateSizeInterval is after how many versions the size of the state is computed anew.
	stateSizeInterval = 256
)

// Publisher makes the updates for subscribers from the state of its process.
type Publisher struct {
	state steering.State
	// base is the version that the first kept command applies to.
	base uint64
	// commands hold documents packed as deltas, never their texts.
	commands     []*wire.Command
	commandBytes int
	// stateBytes is the size of the registered targets as of stateSizedAt.
	stateBytes   int
	stateSizedAt uint64
	// packedDocument caches the active document packed without a base. It is made for
	// the first subscriber that needs it, and replaced after the document has changed.
	packedDocument *wire.PackedDocument
}

// NewPublisher returns a publisher of a state, without commands that led to it.
func NewPublisher(s steering.State) *Publisher {
	return &Publisher{state: s, base: s.Version()}
}

// SetState publishes the next state. commands are those that led to it from the
// previous state, or nil if they are not known.
func (p *Publisher) SetState(s steering.State, commands []*wire.Command) {
	if s.Version() <= p.state.Version() {
		return
	}
	before := p.state
	p.state = s
	if before.Version()+uint64(len(commands)) != s.Version() {
		p.base = s.Version()
		p.commands = nil
		p.commandBytes = 0
		return
	}
	for _, c := range PackCommands(before, commands) {
		p.commands = append(p.commands, c)
		p.commandBytes += proto.Size(c)
	}
	p.trim()
}

// PackCommands returns commands in the form sent to subscribers, with documents packed
// as deltas; s is the state that the commands apply to. Commands that are already
// packed stay as they are.
func PackCommands(s steering.State, commands []*wire.Command) []*wire.Command {
	before := s.Catalog().Document()
	var out []*wire.Command
	for _, c := range commands {
		out = append(out, packCommand(before, c))
		if r := c.GetRoutes(); r != nil {
			before = r.GetDocument() // nil if it was packed already
		}
	}
	return out
}

func packCommand(before *wire.RoutesDocument, c *wire.Command) *wire.Command {
	document := c.GetRoutes().GetDocument()
	if document == nil {
		return c
	}
	return &wire.Command{Routes: &wire.RoutesCommand{
		BaseNumber: c.Routes.BaseNumber,
		Packed:     catalog.Pack(before, document),
	}}
}

// trim drops the oldest commands while all of them together, the newest not counted, are larger than
// the targets in a full state: a subscriber that lacks more is served as well by that. With a fixed
// bound, subscribers in a burst of changes that is longer would get the full state again and again.
func (p *Publisher) trim() {
	limit := minCommandBytes
	if p.commandBytes > limit {
		limit = max(limit, p.targetBytes())
	}
	extra := 0
	for p.commandBytes > limit && len(p.commands)-extra > 1 {
		p.commandBytes -= proto.Size(p.commands[extra])
		extra++
	}
	if extra > 0 {
		p.commands = slices.Clone(p.commands[extra:])
		p.base += uint64(extra)
	}
}

// targetBytes returns the encoded size of the registered targets, which may be that of a recent state.
func (p *Publisher) targetBytes() int {
	if p.stateBytes > 0 && p.state.Version() < p.stateSizedAt+stateSizeInterval {
		return p.stateBytes
	}
	p.stateBytes, p.stateSizedAt = 0, p.state.Version()
	for _, r := range p.state.Catalog().Targets() {
		p.stateBytes += proto.Size(r)
	}
	return p.stateBytes
}

// Version returns the version of the published state.
func (p *Publisher) Version() uint64 { return p.state.Version() }

// Update returns what a subscriber at a version lacks: commands if they are still kept,
// otherwise the full state. A subscriber that is up to date, or ahead, gets an empty
// update that carries only age, the control age.
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
	u.State = p.fullState()
	return u
}

// FirstUpdate returns the first update of a subscription. Unlike Update it returns the
// full state for version 0 even if all commands are kept, since a subscriber that could
// not apply the commands asks for version 0.
func (p *Publisher) FirstUpdate(version uint64, age time.Duration) *wire.Update {
	u := p.Update(version, age)
	if version == 0 && u.Commands != nil {
		u.Commands = nil
		u.State = p.fullState()
	}
	return u
}

// fullState returns the state with its document packed without a base.
func (p *Publisher) fullState() *wire.State {
	out := p.state.EncodeForBoxes()
	document := out.GetCatalog().GetDocument()
	if document == nil {
		return out
	}
	if p.packedDocument.GetNumber() != document.Number {
		p.packedDocument = catalog.Pack(nil, document)
	}
	out.Catalog.Document = nil
	out.Catalog.Packed = p.packedDocument
	return out
}

// Sources returns the candidate sources of a box, best first: its ancestors in the tree
// of its zone's boxes, then the control replicas, starting at a different one for each
// box, then the other boxes of the zone.
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

// parent returns the index of the parent of the box at index i, or -1.
func parent(i int) int {
	if i <= 0 {
		return -1
	}
	return (i - 1) / MaxChildren
}

// CompareRank orders two sources for a box by rendezvous hashing, so that boxes spread
// evenly over the sources and keep theirs when others are added or removed.
func CompareRank(box, a, b string) int {
	return cmp.Compare(xxhash.Sum64String(box+"\x00"+b), xxhash.Sum64String(box+"\x00"+a))
}
