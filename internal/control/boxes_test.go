package control

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
)

// box is a simulated entry box.
type box struct {
	sim            *simulation
	name           string
	zone           string
	follower       *distribution.Follower
	publisher      *distribution.Publisher
	source         *distribution.Subscribe
	sentAt         time.Time
	sentVersion    uint64
	alive          bool
	downUntil      time.Time
	highestVersion uint64
	starts         uint64
}

func (sim *simulation) startBox(b *box) {
	b.alive = true
	b.starts++
	b.follower = distribution.NewFollower(sim.now, sim.random.Uint64())
	b.publisher = distribution.NewPublisher(steering.State{})
	b.source = nil
	zone := settings.Zone{Name: b.zone}
	for _, other := range sim.boxes {
		if other.zone == b.zone {
			zone.Boxes = append(zone.Boxes, settings.Box{Name: other.name, PeerAddress: other.name})
		}
	}
	if len(zone.Boxes) < 2 {
		first := int(b.zone[1]-'0')*2 - 1
		zone.Boxes = []settings.Box{{Name: fmt.Sprintf("b%d", first), PeerAddress: fmt.Sprintf("b%d", first)}, {Name: fmt.Sprintf("b%d", first+1), PeerAddress: fmt.Sprintf("b%d", first+1)}}
	}
	var controls []distribution.Source
	for _, n := range sim.nodes {
		controls = append(controls, distribution.Source{Name: n.name, Address: n.name, Control: true})
	}
	sim.boxEvent(b, distribution.SetSources{Sources: distribution.Sources(b.name, zone, controls)})
}

func (sim *simulation) boxEvent(b *box, e distribution.Event) {
	out := b.follower.Handle(sim.now, e)
	if out.Subscribe != nil {
		b.source = out.Subscribe
		b.sentVersion = out.Subscribe.Version
		b.sentAt = time.Time{}
	}
	if out.State == nil {
		return
	}
	sim.boxHook("inForce", b)
	if !b.alive {
		return
	}
	v := out.State.Version()
	if v < b.highestVersion {
		sim.addProblem("%s activates version %d after version %d", b.name, v, b.highestVersion)
	}
	b.highestVersion = max(b.highestVersion, v)
	b.publisher.SetState(*out.State, out.Commands)
}

// stepBox transfers updates over the box's subscription.
func (sim *simulation) stepBox(b *box) {
	if !b.alive {
		if !sim.now.Before(b.downUntil) {
			sim.startBox(b)
		}
		return
	}
	sim.boxEvent(b, distribution.Tick{})
	if b.source == nil || !b.alive {
		return
	}
	attempt := b.source.Attempt
	pub, age, zone, ok := sim.upstream(b.source.Source.Address)
	if !ok || !sim.connected(b.zone, zone) {
		b.source = nil
		sim.boxEvent(b, distribution.Lost{Attempt: attempt})
		return
	}
	if b.sentAt.IsZero() {
		sim.boxEvent(b, distribution.Opened{Attempt: attempt})
	}
	if !b.alive || (sim.now.Sub(b.sentAt) < time.Second && pub.Version() <= b.sentVersion) {
		return
	}
	sim.boxHook("distribute", b)
	if !b.alive {
		return
	}
	u := pub.Update(b.sentVersion, age)
	b.sentAt = sim.now
	b.sentVersion = max(b.sentVersion, u.Version)
	sim.boxEvent(b, distribution.Received{Attempt: attempt, Update: proto.CloneOf(u)})
}

func (sim *simulation) upstream(name string) (pub *distribution.Publisher, age time.Duration, zone string, ok bool) {
	if n := sim.node(name); n != nil {
		if !n.alive || n.frozen {
			return nil, 0, "", false
		}
		return n.publisher, sim.now.Sub(n.lastContactAt), n.zone, true
	}
	i := slices.IndexFunc(sim.boxes, func(b *box) bool { return b.name == name })
	if i < 0 || !sim.boxes[i].alive {
		return nil, 0, "", false
	}
	b := sim.boxes[i]
	return b.publisher, b.follower.ControlAge(sim.now), b.zone, true
}

func (sim *simulation) killBox(b *box, down time.Duration) {
	b.alive = false
	b.downUntil = sim.now.Add(down)
}
