package control

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// livesSeeds is how many worlds TestLatestLifeIsKeptThroughCuts goes through.
const livesSeeds = 30

// bornTarget is a target that may start again under its id.
type bornTarget struct {
	id       string
	life     int64
	sequence uint64
	// acked is the latest life of which an update was acknowledged.
	acked int64
}

func (b *bornTarget) update(life int64, sequence uint64) *wire.Command {
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: b.id, Address: "at-" + b.id, Service: "s", Zone: "z1", Slots: 1, BornUnixMilli: life, Sequence: sequence,
	}}}
}

// sentUpdates are updates that a node was given in one batch.
type sentUpdates struct {
	targets []*bornTarget
	lives   []int64
	reply   chan updateOutcome
}

// livesRun has targets crash and start again, behind cuts too, while replicas are cut
// off, killed and started. Words of former lives come late.
type livesRun struct {
	w       *world
	targets []*bornTarget
	told    []sentUpdates
	// held is the latest life of each target that each node's state has held since the
	// node's start, which begins with its last snapshot.
	held map[string]int64
}

func (r *livesRun) tell(n *node, late bool) {
	if n == nil || !n.alive || n.frozen {
		return
	}
	t := sentUpdates{reply: make(chan updateOutcome, 2*len(r.targets))}
	batch := updateBatch{reply: t.reply}
	add := func(b *bornTarget, life int64, sequence uint64) {
		batch.updates = append(batch.updates, b.update(life, sequence))
		t.targets = append(t.targets, b)
		t.lives = append(t.lives, life)
	}
	for _, b := range r.targets {
		b.sequence++
		add(b, b.life, b.sequence)
		if late && b.life > 1 {
			add(b, b.life-1, 1_000_000+b.sequence) // of the life before, said last
		}
	}
	r.w.carryOut(n, n.replica.handle(batch))
	r.told = append(r.told, t)
}

// take notes which updates were acknowledged.
func (r *livesRun) take() {
	for _, t := range r.told {
		for len(t.reply) > 0 {
			if o := <-t.reply; o.err == nil {
				b := t.targets[o.place]
				b.acked = max(b.acked, t.lives[o.place])
			}
		}
	}
}

// look checks that no node goes back to a former life.
func (r *livesRun) look() {
	for _, n := range r.w.nodes {
		for _, b := range r.targets {
			key := n.id() + " " + b.id
			if !n.alive {
				delete(r.held, key)
				continue
			}
			known, ok := n.replica.state.Catalog().Target(b.id)
			if ok && known.BornUnixMilli < r.held[key] {
				r.w.problem("%s holds life %d of %s after life %d", n.name, known.BornUnixMilli, b.id, r.held[key])
			}
			if ok {
				r.held[key] = known.BornUnixMilli
			}
		}
	}
}

func (r *livesRun) disturb() {
	random := r.w.random
	n := r.w.nodes[random.IntN(len(r.w.nodes))]
	switch random.IntN(8) {
	case 0:
		r.w.cutZone(n.zone, true, true, time.Second)
	case 1:
		r.w.cutZone(n.zone, random.IntN(2) == 0, false, 2*time.Second)
	case 2:
		if n.alive {
			r.w.kill(n, random.IntN(2) == 0, 500*time.Millisecond)
		}
	case 3, 4:
		b := r.targets[random.IntN(len(r.targets))]
		b.life++
		b.sequence = 0
	}
}

func TestLatestLifeIsKeptThroughCuts(t *testing.T) {
	for seed := range uint64(livesSeeds) {
		w := newWorld(t, seed+1)
		r := &livesRun{w: w, held: make(map[string]int64)}
		for i := range 4 {
			r.targets = append(r.targets, &bornTarget{id: fmt.Sprint("t", i), life: 1})
		}
		for range 60 {
			r.disturb()
			node := w.nodes[w.random.IntN(len(w.nodes))]
			if w.random.IntN(2) == 0 {
				node = w.leader()
			}
			r.tell(node, w.random.IntN(3) == 0)
			w.run(200*time.Millisecond, func() bool { r.look(); return false })
			r.take()
		}
		w.run(5*time.Second, func() bool { r.look(); return false })
		for range 5 {
			r.tell(w.leader(), true)
			w.run(time.Second, func() bool { r.look(); return false })
			r.take()
		}
		for _, b := range r.targets {
			if b.acked != b.life {
				w.problem("no update of life %d of %s was acknowledged, the latest is %d", b.life, b.id, b.acked)
			}
			for _, n := range w.nodes {
				if known, ok := n.replica.state.Catalog().Target(b.id); !ok || known.BornUnixMilli != b.life {
					w.problem("%s holds life %d of %s, want %d", n.name, known.GetBornUnixMilli(), b.id, b.life)
				}
			}
		}
		if len(w.problems) > 0 {
			t.Fatalf("seed %d: %v", seed+1, w.problems)
		}
	}
}
