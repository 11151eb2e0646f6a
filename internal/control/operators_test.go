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

// operators simulates two operators that change the same keys, race each other with equal base
// versions and resend unanswered changes, and one that reads.
type operators struct {
	sim          *simulation
	knownVersion uint64 // settings version known to the operators
	changeCount  int
	openChanges  []*openChange
	nextChangeAt time.Time
	verdicts     map[string]*wire.Verdict
	acceptedIDs  map[uint64]string // change id by version
	acked        uint64            // highest acknowledged version
	acks         []ack
	reads        []*openRead
	duplicates   bool // also send every change to a random node, and again to the same one
	pause        time.Duration
}

// openChange is a change that has no verdict yet.
type openChange struct {
	change         *wire.Change
	node           *node
	reply          chan outcome
	duplicateReply chan outcome
	sentAt         time.Time
}

// newDuplicateReply creates the channel for the answer to a duplicate of the change.
func (c *openChange) newDuplicateReply() chan outcome {
	c.duplicateReply = make(chan outcome, 1)
	return c.duplicateReply
}

// openRead is an unanswered read. A fresh answer has at least minVersion.
type openRead struct {
	reply      chan readOutcome
	minVersion uint64
}

func newOperators(sim *simulation) *operators {
	return &operators{sim: sim, verdicts: make(map[string]*wire.Verdict), acceptedIDs: make(map[uint64]string), pause: changePause}
}

// step sends new changes and processes answers.
func (o *operators) step() {
	if !o.sim.now.Before(o.nextChangeAt) && len(o.openChanges) < 2 {
		o.nextChangeAt = o.sim.now.Add(o.pause)
		for range 2 - len(o.openChanges) {
			o.beginChange()
		}
		o.beginRead()
	}
	open := o.openChanges
	o.openChanges = nil
	for _, c := range open {
		if !o.pollVerdict(c) {
			o.openChanges = append(o.openChanges, c)
		}
	}
	o.checkReads()
}

func (o *operators) beginChange() {
	o.changeCount++
	c := &openChange{change: &wire.Change{
		Id:          fmt.Sprintf("change-%d", o.changeCount),
		BaseVersion: o.knownVersion,
		Edits:       []*wire.Edit{{Path: "/", Key: "slots", Value: fmt.Sprint(o.changeCount%1000 + 1)}},
	}}
	o.send(c)
	o.openChanges = append(o.openChanges, c)
}

// send sends a change to the leader or, in a quarter of the cases, to any node.
func (o *operators) send(c *openChange) {
	n := o.sim.leader()
	if n == nil || o.sim.random.IntN(4) == 0 {
		n = o.sim.nodes[o.sim.random.IntN(len(o.sim.nodes))]
	}
	c.node = n
	c.sentAt = o.sim.now
	c.reply = make(chan outcome, 1)
	o.propose(n, c.change, c.reply)
	if o.duplicates {
		// Send the same change again, to any node and to the same one.
		o.propose(o.sim.nodes[o.sim.random.IntN(len(o.sim.nodes))], c.change, make(chan outcome, 1))
		if n.alive {
			o.propose(n, c.change, c.newDuplicateReply())
		}
	}
}

func (o *operators) propose(n *node, c *wire.Change, reply chan outcome) {
	if !n.alive || n.frozen {
		return
	}
	if n.replica.machine.Status(o.sim.now).Role == consensus.Leader {
		o.sim.reachStep("propose", n)
	}
	if !n.alive || n.frozen {
		return
	}
	o.sim.handleOutput(n, n.replica.handle(proposal{&wire.Command{Change: c}, reply}))
}

// pollVerdict reports whether a change has received its verdict.
func (o *operators) pollVerdict(c *openChange) bool {
	select {
	case got := <-c.reply:
		o.sim.reachStep("answer", c.node)
		if !c.node.alive {
			break // the answer was lost in the crash
		}
		if got.err != nil {
			var lost *LeadershipLostError
			var notLeader *consensus.NotLeaderError
			var transferring *consensus.TransferringError
			if !errors.As(got.err, &lost) && !errors.As(got.err, &notLeader) && !errors.As(got.err, &transferring) {
				o.sim.addProblem("%s answers with %v", c.node.name, got.err)
			}
			c.sentAt = o.sim.now.Add(-answerTimeout + 20*time.Millisecond)
			c.reply = nil
			return false
		}
		o.recordVerdict(got.result.Verdict)
		o.pollDuplicate(c)
		return true
	default:
	}
	if o.sim.now.Sub(c.sentAt) > answerTimeout {
		o.send(c)
	}
	return false
}

// pollDuplicate processes the answer to a duplicate, which must be the same.
func (o *operators) pollDuplicate(c *openChange) {
	select {
	case got := <-c.duplicateReply:
		if got.err == nil {
			o.recordVerdict(got.result.Verdict)
		}
	default:
	}
}

// recordVerdict records a verdict and checks that each change has one verdict and each version one
// change.
func (o *operators) recordVerdict(v *wire.Verdict) {
	if before, ok := o.verdicts[v.Id]; ok && (before.Kind != v.Kind || before.Version != v.Version) {
		o.sim.addProblem("change %s has two verdicts: %s at version %d and %s at version %d", v.Id, before.Kind, before.Version, v.Kind, v.Version)
	}
	o.verdicts[v.Id] = v
	o.knownVersion = max(o.knownVersion, v.Version)
	if v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED {
		return
	}
	if other, ok := o.acceptedIDs[v.Version]; ok && other != v.Id {
		o.sim.addProblem("version %d was given to both %s and %s", v.Version, other, v.Id)
	}
	o.acceptedIDs[v.Version] = v.Id
	o.acked = max(o.acked, v.Version)
	o.recordAck(v.Version)
}

func (o *operators) beginRead() {
	n := o.sim.nodes[o.sim.random.IntN(len(o.sim.nodes))]
	if !n.alive || n.frozen {
		return
	}
	r := &openRead{reply: make(chan readOutcome, 1), minVersion: o.acked}
	o.sim.handleOutput(n, n.replica.handle(readRequest{r.reply}))
	o.reads = append(o.reads, r)
}

// checkReads checks that no read reported as fresh lacks a change that was acknowledged before the
// read began.
func (o *operators) checkReads() {
	var open []*openRead
	for _, r := range o.reads {
		select {
		case got := <-r.reply:
			if got.err == nil && got.state.SettingsVersion() < r.minVersion {
				o.sim.addProblem("a fresh read returned version %d after version %d was acknowledged", got.state.SettingsVersion(), r.minVersion)
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

// run advances the simulation and the operators.
func (o *operators) run(length time.Duration, until func() bool) bool {
	return o.sim.run(length, func() bool {
		o.step()
		o.checkStaleness()
		return until != nil && until()
	}) || until == nil
}

// checkRecovery ends all faults and checks that the system recovers: a change is accepted, no
// acknowledged change is lost, and a new change is active at every box within the three seconds
// that the users require.
func (o *operators) checkRecovery() {
	sim := o.sim
	sim.hook = func(string, *node) {}
	sim.boxHook = func(string, *box) {}
	clear(sim.blocked)
	if sim.quorumLost {
		o.checkHalted()
		return
	}
	before := len(o.acceptedIDs)
	if !o.run(15*time.Second, func() bool { return len(o.acceptedIDs) > before+1 && sim.leader() != nil }) {
		sim.addProblem("no change was accepted within 15 s after the fault")
		return
	}
	sim.run(5*time.Second, nil)
	leader := sim.leader()
	if leader == nil {
		sim.addProblem("there is no leader 5 s after the last change")
		return
	}
	o.checkRetained(leader.replica.state)
	for _, n := range sim.nodes {
		if n.alive && !n.awaitsJoin && n.replica.state.Version() != leader.replica.state.Version() {
			sim.addProblem("%s has version %d, the leader %d", n.name, n.replica.state.Version(), leader.replica.state.Version())
		}
	}
	o.checkActive()
}

// checkHalted checks a system that lost two of its three disks before the first was repaired: it
// accepts no more changes and reports that it is cut off.
func (o *operators) checkHalted() {
	before := len(o.acceptedIDs)
	o.run(8*time.Second, nil)
	if len(o.acceptedIDs) != before {
		o.sim.addProblem("a change was accepted although a majority of the disks is lost")
	}
	for _, n := range o.sim.nodes {
		if n.alive && !n.replica.machine.Status(o.sim.now).CutOff {
			o.sim.addProblem("%s does not report that it is cut off", n.name)
		}
	}
}

// checkRetained checks that every acknowledged change is still known, unless so many changes
// followed that its verdict was dropped.
func (o *operators) checkRetained(s steering.State) {
	o.checkHistory(s)
	forgotten := s.Encode().ForgottenVersion
	for version, id := range o.acceptedIDs {
		if version <= forgotten {
			continue
		}
		v, ok := s.Verdict(id)
		if !ok || v.Version != version || v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED {
			o.sim.addProblem("acknowledged change %s at version %d was lost", id, version)
		}
	}
}

// checkHistory checks that each accepted change was based on the one before it, and that no
// operator received a verdict that differs from the one in the log.
func (o *operators) checkHistory(s steering.State) {
	var last uint64
	for _, a := range s.History() {
		if last != 0 && a.Change.BaseVersion != last {
			o.sim.addProblem("change %s based on version %d was accepted after version %d", a.Change.Id, a.Change.BaseVersion, last)
		}
		last = a.Version
		v := o.verdicts[a.Change.Id]
		if v != nil && (v.Kind != wire.VerdictKind_VERDICT_KIND_ACCEPTED || v.Version != a.Version) {
			o.sim.addProblem("change %s was accepted at version %d, but its operator received %s at version %d", a.Change.Id, a.Version, v.Kind, v.Version)
		}
	}
}

// checkActive sends one more change and waits until it is active at every box.
func (o *operators) checkActive() {
	sim := o.sim
	before := o.acked
	o.beginChange()
	if !sim.run(3*time.Second, func() bool {
		open := o.openChanges
		o.openChanges = nil
		for _, c := range open {
			if !o.pollVerdict(c) {
				o.openChanges = append(o.openChanges, c)
			}
		}
		return o.acked > before
	}) {
		if o.acked == before {
			o.beginChange()
		}
	}
	version := sim.leaderVersion()
	if !sim.run(3*time.Second, func() bool { return sim.allAt(version) }) {
		for _, b := range sim.boxes {
			if b.follower.State().Version() < version {
				up, _ := b.follower.Upstream()
				sim.addProblem("%s has version %d, want %d after 3 s; its upstream is %q", b.name, b.follower.State().Version(), version, up.Name)
			}
		}
	}
}

func (sim *simulation) leaderVersion() uint64 {
	if n := sim.leader(); n != nil {
		return n.replica.state.Version()
	}
	return 0
}

func (sim *simulation) allAt(version uint64) bool {
	for _, b := range sim.boxes {
		if b.follower.State().Version() < version {
			return false
		}
	}
	return true
}
