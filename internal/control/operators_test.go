package control

import (
	"errors"
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	changePause   = 60 * time.Millisecond
	answerTimeout = 1200 * time.Millisecond
)

// operators are two operators who change the same keys, race each other with
// equal base versions and resend what was not answered, and one who reads.
type operators struct {
	w        *world
	known    uint64 // settings version that the operators know
	made     int
	open     []*openChange
	nextAt   time.Time
	verdicts map[string]*wire.Verdict
	accepted map[uint64]string // version to id
	acked    uint64            // highest acknowledged version
	reads    []*openRead
	doubles  bool // send every change to two nodes
	pause    time.Duration
}

type openChange struct {
	change *wire.Change
	node   *node
	reply  chan outcome
	again  chan outcome
	sentAt time.Time
}

// reply2 is where the answer to a doubled change comes.
func (c *openChange) reply2() chan outcome {
	c.again = make(chan outcome, 1)
	return c.again
}

type openRead struct {
	reply chan readOutcome
	floor uint64
}

func newOperators(w *world) *operators {
	return &operators{w: w, verdicts: make(map[string]*wire.Verdict), accepted: make(map[uint64]string), pause: changePause}
}

// step starts new changes and takes answers.
func (o *operators) step() {
	if !o.w.now.Before(o.nextAt) && len(o.open) < 2 {
		o.nextAt = o.w.now.Add(o.pause)
		for range 2 - len(o.open) {
			o.begin()
		}
		o.read()
	}
	open := o.open
	o.open = nil
	for _, c := range open {
		if !o.take(c) {
			o.open = append(o.open, c)
		}
	}
	o.takeReads()
}

func (o *operators) begin() {
	o.made++
	c := &openChange{change: &wire.Change{
		Id:          fmt.Sprintf("change-%d", o.made),
		BaseVersion: o.known,
		Edits:       []*wire.Edit{{Path: "/", Key: "slots", Value: fmt.Sprint(o.made%1000 + 1)}},
	}}
	o.send(c)
	o.open = append(o.open, c)
}

// send gives a change to the leader or, now and then, to any node.
func (o *operators) send(c *openChange) {
	n := o.w.leader()
	if n == nil || o.w.random.IntN(4) == 0 {
		n = o.w.nodes[o.w.random.IntN(len(o.w.nodes))]
	}
	c.node = n
	c.sentAt = o.w.now
	c.reply = make(chan outcome, 1)
	o.propose(n, c.change, c.reply)
	if o.doubles {
		// The same change again, to another node and to the same one.
		o.propose(o.w.nodes[o.w.random.IntN(len(o.w.nodes))], c.change, make(chan outcome, 1))
		if n.alive {
			o.propose(n, c.change, c.reply2())
		}
	}
}

func (o *operators) propose(n *node, c *wire.Change, reply chan outcome) {
	if !n.alive || n.frozen {
		return
	}
	if n.replica.machine.Status(o.w.now).Role == consensus.Leader {
		o.w.at("propose", n)
	}
	if !n.alive || n.frozen {
		return
	}
	o.w.carryOut(n, n.replica.handle(proposal{&wire.Command{Change: c}, reply}))
}

// take reports whether a change has got its verdict.
func (o *operators) take(c *openChange) bool {
	select {
	case got := <-c.reply:
		o.w.at("answer", c.node)
		if !c.node.alive {
			break // the answer was lost with the node
		}
		if got.err != nil {
			var lost *LeadershipLostError
			var notLeader *consensus.NotLeaderError
			var transferring *consensus.TransferringError
			if !errors.As(got.err, &lost) && !errors.As(got.err, &notLeader) && !errors.As(got.err, &transferring) {
				o.w.problem("%s answers with %v", c.node.name, got.err)
			}
			c.sentAt = o.w.now.Add(-answerTimeout + 20*time.Millisecond)
			c.reply = nil
			return false
		}
		o.verdict(got.result.Verdict)
		o.takeAgain(c)
		return true
	default:
	}
	if o.w.now.Sub(c.sentAt) > answerTimeout {
		o.send(c)
	}
	return false
}

// takeAgain takes the answer to a doubled change, which must be the same.
func (o *operators) takeAgain(c *openChange) {
	select {
	case got := <-c.again:
		if got.err == nil {
			o.verdict(got.result.Verdict)
		}
	default:
	}
}

// verdict checks that each id has one verdict and each version one change.
func (o *operators) verdict(v *wire.Verdict) {
	if before, ok := o.verdicts[v.Id]; ok && (before.Kind != v.Kind || before.Version != v.Version) {
		o.w.problem("change %s is %s at %d and %s at %d", v.Id, before.Kind, before.Version, v.Kind, v.Version)
	}
	o.verdicts[v.Id] = v
	o.known = max(o.known, v.Version)
	if v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED {
		return
	}
	if other, ok := o.accepted[v.Version]; ok && other != v.Id {
		o.w.problem("version %d is both %s and %s", v.Version, other, v.Id)
	}
	o.accepted[v.Version] = v.Id
	o.acked = max(o.acked, v.Version)
}

func (o *operators) read() {
	n := o.w.nodes[o.w.random.IntN(len(o.w.nodes))]
	if !n.alive || n.frozen {
		return
	}
	r := &openRead{reply: make(chan readOutcome, 1), floor: o.acked}
	o.w.carryOut(n, n.replica.handle(reading{r.reply}))
	o.reads = append(o.reads, r)
}

// takeReads checks that no read that is given as fresh misses a change that
// was acknowledged before the read began.
func (o *operators) takeReads() {
	var open []*openRead
	for _, r := range o.reads {
		select {
		case got := <-r.reply:
			if got.err == nil && got.state.SettingsVersion() < r.floor {
				o.w.problem("a fresh read gives version %d after %d was acknowledged", got.state.SettingsVersion(), r.floor)
			}
		default:
			open = append(open, r)
		}
	}
	if len(open) > 100 {
		open = open[len(open)-100:]
	}
	o.reads = open
}

// run lets the world and the operators go on.
func (o *operators) run(length time.Duration, until func() bool) bool {
	return o.w.run(length, func() bool {
		o.step()
		return until != nil && until()
	}) || until == nil
}

// settle heals everything and checks that the system is whole again: a change
// is accepted, nothing that was acknowledged is lost, and it is in force at
// every box within the three seconds that the users ask for.
func (o *operators) settle() {
	w := o.w
	w.hook = func(string, *node) {}
	w.boxHook = func(string, *box) {}
	clear(w.blocked)
	if w.quorumLost {
		o.checkHalted()
		return
	}
	before := len(o.accepted)
	if !o.run(15*time.Second, func() bool { return len(o.accepted) > before+1 && w.leader() != nil }) {
		w.problem("no change is accepted within 15 s after the fault")
		return
	}
	w.run(5*time.Second, nil)
	leader := w.leader()
	if leader == nil {
		w.problem("there is no leader 5 s after the last change")
		return
	}
	o.checkKept(leader.replica.state)
	for _, n := range w.nodes {
		if n.alive && !n.asking && n.replica.state.Version() != leader.replica.state.Version() {
			w.problem("%s has version %d, the leader %d", n.name, n.replica.state.Version(), leader.replica.state.Version())
		}
	}
	o.checkInForce()
}

// checkHalted checks a system that has lost two of its three disks before the
// first was repaired: it accepts nothing more and says that it is cut off.
func (o *operators) checkHalted() {
	before := len(o.accepted)
	o.run(8*time.Second, nil)
	if len(o.accepted) != before {
		o.w.problem("a change is accepted though a majority of the disks is lost")
	}
	for _, n := range o.w.nodes {
		if n.alive && !n.replica.machine.Status(o.w.now).CutOff {
			o.w.problem("%s does not say that it is cut off", n.name)
		}
	}
}

// checkKept checks that every acknowledged change is still known, unless so
// many came after it that the memory of verdicts has let it go.
func (o *operators) checkKept(s steering.State) {
	o.checkHistory(s)
	forgotten := s.Encode().ForgottenVersion
	for version, id := range o.accepted {
		if version <= forgotten {
			continue
		}
		v, ok := s.Verdict(id)
		if !ok || v.Version != version || v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED {
			o.w.problem("acknowledged change %s at version %d is lost", id, version)
		}
	}
}

// checkHistory checks that each accepted change was made against the one before
// it, and that no operator was told another verdict than the one in the log.
func (o *operators) checkHistory(s steering.State) {
	var last uint64
	for _, a := range s.History() {
		if last != 0 && a.Change.BaseVersion != last {
			o.w.problem("change %s made against %d was accepted after %d", a.Change.Id, a.Change.BaseVersion, last)
		}
		last = a.Version
		v := o.verdicts[a.Change.Id]
		if v != nil && (v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED || v.Version != a.Version) {
			o.w.problem("change %s was accepted at %d and its operator was told %s at %d", a.Change.Id, a.Version, v.Kind, v.Version)
		}
	}
}

// checkInForce makes one more change and waits for it at every box.
func (o *operators) checkInForce() {
	w := o.w
	before := o.acked
	o.begin()
	if !w.run(3*time.Second, func() bool {
		open := o.open
		o.open = nil
		for _, c := range open {
			if !o.take(c) {
				o.open = append(o.open, c)
			}
		}
		return o.acked > before
	}) {
		if o.acked == before {
			o.begin()
		}
	}
	version := w.leaderVersion()
	if !w.run(3*time.Second, func() bool { return w.allAt(version) }) {
		for _, b := range w.boxes {
			if b.follower.State().Version() < version {
				up, _ := b.follower.Upstream()
				w.problem("%s has version %d and not %d 3 s later, its upstream is %q", b.name, b.follower.State().Version(), version, up.Name)
			}
		}
	}
}

func (w *world) leaderVersion() uint64 {
	if n := w.leader(); n != nil {
		return n.replica.state.Version()
	}
	return 0
}

func (w *world) allAt(version uint64) bool {
	for _, b := range w.boxes {
		if b.follower.State().Version() < version {
			return false
		}
	}
	return true
}
