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

// box is one entry box.
type box struct {
	world    *world
	name     string
	zone     string
	follower *distribution.Follower
	pub      *distribution.Publisher
	source   *distribution.Subscribe
	sentAt   time.Time
	sent     uint64
	alive    bool
	downTo   time.Time
	highest  uint64
	starts   uint64
}

func (w *world) startBox(b *box) {
	b.alive = true
	b.starts++
	b.follower = distribution.NewFollower(w.now, w.random.Uint64())
	b.pub = distribution.NewPublisher(steering.State{})
	b.source = nil
	zone := settings.Zone{Name: b.zone}
	for _, other := range w.boxes {
		if other.zone == b.zone {
			zone.Boxes = append(zone.Boxes, settings.Box{Name: other.name, PeerAddress: other.name})
		}
	}
	if len(zone.Boxes) < 2 {
		first := int(b.zone[1]-'0')*2 - 1
		zone.Boxes = []settings.Box{{Name: fmt.Sprintf("b%d", first), PeerAddress: fmt.Sprintf("b%d", first)}, {Name: fmt.Sprintf("b%d", first+1), PeerAddress: fmt.Sprintf("b%d", first+1)}}
	}
	var controls []distribution.Source
	for _, n := range w.nodes {
		controls = append(controls, distribution.Source{Name: n.name, Address: n.name, Control: true})
	}
	w.boxEvent(b, distribution.SetSources{Sources: distribution.Sources(b.name, zone, controls)})
}

func (w *world) boxEvent(b *box, e distribution.Event) {
	out := b.follower.Handle(w.now, e)
	if out.Subscribe != nil {
		b.source = out.Subscribe
		b.sent = out.Subscribe.Version
		b.sentAt = time.Time{}
	}
	if out.State == nil {
		return
	}
	w.boxHook("inForce", b)
	if !b.alive {
		return
	}
	v := out.State.Version()
	if v < b.highest {
		w.problem("%s puts version %d in force after %d", b.name, v, b.highest)
	}
	b.highest = max(b.highest, v)
	b.pub.SetState(*out.State, out.Commands)
}

// stepBox carries updates over the box's subscription.
func (w *world) stepBox(b *box) {
	if !b.alive {
		if !w.now.Before(b.downTo) {
			w.startBox(b)
		}
		return
	}
	w.boxEvent(b, distribution.Tick{})
	if b.source == nil || !b.alive {
		return
	}
	attempt := b.source.Attempt
	pub, age, zone, ok := w.upstream(b.source.Source.Address)
	if !ok || !w.both(b.zone, zone) {
		b.source = nil
		w.boxEvent(b, distribution.Lost{Attempt: attempt})
		return
	}
	if b.sentAt.IsZero() {
		w.boxEvent(b, distribution.Opened{Attempt: attempt})
	}
	if !b.alive || (w.now.Sub(b.sentAt) < time.Second && pub.Version() <= b.sent) {
		return
	}
	w.boxHook("distribute", b)
	if !b.alive {
		return
	}
	u := pub.Update(b.sent, age)
	b.sentAt = w.now
	b.sent = max(b.sent, u.Version)
	w.boxEvent(b, distribution.Received{Attempt: attempt, Update: proto.CloneOf(u)})
}

func (w *world) upstream(name string) (pub *distribution.Publisher, age time.Duration, zone string, ok bool) {
	if n := w.node(name); n != nil {
		if !n.alive || n.frozen {
			return nil, 0, "", false
		}
		return n.pub, w.now.Sub(n.heardAt), n.zone, true
	}
	i := slices.IndexFunc(w.boxes, func(b *box) bool { return b.name == name })
	if i < 0 || !w.boxes[i].alive {
		return nil, 0, "", false
	}
	b := w.boxes[i]
	return b.pub, b.follower.ControlAge(w.now), b.zone, true
}

func (w *world) killBox(b *box, down time.Duration) {
	b.alive = false
	b.downTo = w.now.Add(down)
}
