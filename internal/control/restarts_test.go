package control

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// restartSeeds is the number of simulations that TestLatestIncarnationIsKeptThroughCuts runs.
const restartSeeds = 30

// restartingTarget is a target that may restart under the same id.
type restartingTarget struct {
	id          string
	incarnation int64
	sequence    uint64
	// acked is the latest incarnation of which an update was acknowledged.
	acked int64
}

func (b *restartingTarget) update(incarnation int64, sequence uint64) *wire.Command {
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: b.id, Address: "at-" + b.id, Service: "s", Zone: "z1", Slots: 1, BornUnixMilli: incarnation, Sequence: sequence,
	}}}
}

// sentUpdates is a batch of updates that was sent to a node.
type sentUpdates struct {
	targets      []*restartingTarget
	incarnations []int64
	reply        chan updateOutcome
}

// restartRun restarts targets, also while network cuts last, and cuts off, kills and restarts
// replicas. Updates of earlier incarnations arrive late.
type restartRun struct {
	sim     *simulation
	targets []*restartingTarget
	sent    []sentUpdates
	// held is the latest incarnation of each target in each node's state since the node's start,
	// at which the node restores its last snapshot.
	held map[string]int64
}

// send sends an update of each target to a node, and with late also one of the previous incarnation.
func (r *restartRun) send(n *node, late bool) {
	if n == nil || !n.alive || n.frozen {
		return
	}
	t := sentUpdates{reply: make(chan updateOutcome, 2*len(r.targets))}
	batch := updateBatch{reply: t.reply}
	add := func(b *restartingTarget, incarnation int64, sequence uint64) {
		batch.updates = append(batch.updates, b.update(incarnation, sequence))
		t.targets = append(t.targets, b)
		t.incarnations = append(t.incarnations, incarnation)
	}
	for _, b := range r.targets {
		b.sequence++
		add(b, b.incarnation, b.sequence)
		if late && b.incarnation > 1 {
			add(b, b.incarnation-1, 1_000_000+b.sequence) // late update of the previous incarnation, with a higher sequence number
		}
	}
	r.sim.handleOutput(n, n.replica.handle(batch))
	r.sent = append(r.sent, t)
}

// recordAcks records which updates were acknowledged.
func (r *restartRun) recordAcks() {
	for _, t := range r.sent {
		for len(t.reply) > 0 {
			if o := <-t.reply; o.err == nil {
				b := t.targets[o.index]
				b.acked = max(b.acked, t.incarnations[o.index])
			}
		}
	}
}

// checkIncarnations checks that no node returns to an earlier incarnation.
func (r *restartRun) checkIncarnations() {
	for _, n := range r.sim.nodes {
		for _, b := range r.targets {
			key := n.id() + " " + b.id
			if !n.alive {
				delete(r.held, key)
				continue
			}
			known, ok := n.replica.state.Catalog().Target(b.id)
			if ok && known.BornUnixMilli < r.held[key] {
				r.sim.addProblem("%s holds incarnation %d of %s after incarnation %d", n.name, known.BornUnixMilli, b.id, r.held[key])
			}
			if ok {
				r.held[key] = known.BornUnixMilli
			}
		}
	}
}

// injectFault cuts off or kills a random node, restarts a random target, or does nothing.
func (r *restartRun) injectFault() {
	random := r.sim.random
	n := r.sim.nodes[random.IntN(len(r.sim.nodes))]
	switch random.IntN(8) {
	case 0:
		r.sim.cutZone(n.zone, true, true, time.Second)
	case 1:
		r.sim.cutZone(n.zone, random.IntN(2) == 0, false, 2*time.Second)
	case 2:
		if n.alive {
			r.sim.kill(n, random.IntN(2) == 0, 500*time.Millisecond)
		}
	case 3, 4:
		b := r.targets[random.IntN(len(r.targets))]
		b.incarnation++
		b.sequence = 0
	}
}

// Guards against a late update of an earlier incarnation that replaces a later one, while replicas
// are cut off, killed and restarted.
func TestLatestIncarnationIsKeptThroughCuts(t *testing.T) {
	for seed := range uint64(restartSeeds) {
		sim := newSimulation(t, seed+1)
		r := &restartRun{sim: sim, held: make(map[string]int64)}
		for i := range 4 {
			r.targets = append(r.targets, &restartingTarget{id: fmt.Sprint("t", i), incarnation: 1})
		}
		for range 60 {
			r.injectFault()
			node := sim.nodes[sim.random.IntN(len(sim.nodes))]
			if sim.random.IntN(2) == 0 {
				node = sim.leader()
			}
			r.send(node, sim.random.IntN(3) == 0)
			sim.run(200*time.Millisecond, func() bool { r.checkIncarnations(); return false })
			r.recordAcks()
		}
		sim.run(5*time.Second, func() bool { r.checkIncarnations(); return false })
		for range 5 {
			r.send(sim.leader(), true)
			sim.run(time.Second, func() bool { r.checkIncarnations(); return false })
			r.recordAcks()
		}
		for _, b := range r.targets {
			if b.acked != b.incarnation {
				sim.addProblem("no update of incarnation %d of %s was acknowledged, the latest acknowledged is %d", b.incarnation, b.id, b.acked)
			}
			for _, n := range sim.nodes {
				if known, ok := n.replica.state.Catalog().Target(b.id); !ok || known.BornUnixMilli != b.incarnation {
					sim.addProblem("%s holds incarnation %d of %s, want %d", n.name, known.GetBornUnixMilli(), b.id, b.incarnation)
				}
			}
		}
		if len(sim.problems) > 0 {
			t.Fatalf("seed %d: %v", seed+1, sim.problems)
		}
	}
}
