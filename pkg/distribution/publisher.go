package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxKept is how many commands a publisher keeps to send as deltas.
const maxKept = 1024

// Publisher makes the updates for subscribers from the state of its process.
type Publisher struct {
	state steering.State
	// base is the version before the first kept command.
	base     uint64
	commands []*wire.Command
}

// NewPublisher returns a publisher of a state without kept commands.
func NewPublisher(s steering.State) *Publisher {
	return &Publisher{state: s, base: s.Version()}
}

// Put takes the next state. Commands are those that led to it from the state
// before, or nil if they are not known.
func (p *Publisher) Put(s steering.State, commands []*wire.Command) {
	if s.Version() <= p.state.Version() {
		return
	}
	follows := p.state.Version()+uint64(len(commands)) == s.Version()
	p.state = s
	if !follows {
		p.base = s.Version()
		p.commands = nil
		return
	}
	p.commands = append(p.commands, commands...)
	if extra := len(p.commands) - maxKept; extra > 0 {
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
	u.State = p.state.EncodeForBoxes()
	return u
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
	return (i - 1) / Degree
}

// CompareRank orders sources for a box by rendezvous hashing, so that boxes
// spread evenly over the sources and keep theirs when others come and go.
func CompareRank(box, a, b string) int {
	return cmp.Compare(xxhash.Sum64String(box+"\x00"+b), xxhash.Sum64String(box+"\x00"+a))
}
