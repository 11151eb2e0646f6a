package control

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	simulationStep = 5 * time.Millisecond
	replicaTick    = 50 * time.Millisecond
	linkDelay      = 2 * time.Millisecond
	snapshotEvery  = 16
)

// crashed is the panic value with which a hook ends a replica in the middle of its work.
type crashed struct{ node *node }

// node is a control box: a disk and, while it is alive, a replica.
type node struct {
	sim           *simulation
	name          string
	zone          string
	diskCount     int
	disk          *fakeDisk
	replica       *replica
	journal       *journal.Journal
	publisher     *distribution.Publisher
	alive         bool
	frozen        bool
	inbox         []*wire.ConsensusMessage
	downUntil     time.Time
	nextTickAt    time.Time
	awaitsJoin    bool // not yet in the membership
	lastContactAt time.Time
	// isolatedSince is when the node could last reach another node or be reached by one.
	isolatedSince time.Time
}

type packet struct {
	deliverAt time.Time
	from, to  string
	message   *wire.ConsensusMessage
}

// simulation runs three control boxes and six entry boxes in three availability zones, in virtual
// time and with fake disks and networks.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	seed    uint64
	now     time.Time
	nodes   []*node
	boxes   []*box
	queue   []packet
	blocked map[[2]string]time.Time // by sending and receiving zone: the end of the cut
	// hook and boxHook are called when a node or box reaches a step of the fault matrix.
	hook     func(step string, n *node)
	boxHook  func(step string, b *box)
	joining  map[string]*wire.Replica // by node name: replicas on new disks that asked to join
	finished map[string]bool          // by replica id: repairs that are finished

	leaders  map[uint64]string // by term
	applied  map[uint64]uint64 // by log index: the hash of the command
	problems []string
	// quorumLost is set if two of three disks were lost before a repair was finished.
	quorumLost bool
	// crashAt is when nodes with a failed disk operation are killed if they are still alive.
	crashAt map[*node]time.Time
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 7)),
		seed:     seed,
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		blocked:  make(map[[2]string]time.Time),
		hook:     func(string, *node) {},
		boxHook:  func(string, *box) {},
		joining:  make(map[string]*wire.Replica),
		finished: make(map[string]bool),
		leaders:  make(map[uint64]string),
		applied:  make(map[uint64]uint64),
		crashAt:  make(map[*node]time.Time),
	}
	for i := 1; i <= 3; i++ {
		n := &node{sim: sim, name: fmt.Sprintf("c%d", i), zone: fmt.Sprintf("z%d", i)}
		sim.nodes = append(sim.nodes, n)
		n.newDisk()
		sim.start(n)
	}
	first := &wire.Membership{}
	for _, n := range sim.nodes {
		first.Voters = append(first.Voters, &wire.Replica{Id: n.replica.id, Address: n.name})
	}
	for _, n := range sim.nodes {
		sim.handleOutput(n, n.replica.handle(bootstrap{first}))
	}
	for i := 1; i <= 6; i++ {
		b := &box{sim: sim, name: fmt.Sprintf("b%d", i), zone: fmt.Sprintf("z%d", (i+1)/2)}
		sim.boxes = append(sim.boxes, b)
		sim.startBox(b)
	}
	return sim
}

func (sim *simulation) addProblem(format string, args ...any) {
	if len(sim.problems) < 8 {
		sim.problems = append(sim.problems, fmt.Sprintf("%s: ", sim.now.Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// newDisk gives the node an empty disk with a new identity.
func (n *node) newDisk() {
	n.diskCount++
	n.disk = newFakeDisk(n.sim.seed*100 + uint64(n.diskCount))
	id := []byte(n.id())
	n.disk.names["identity"] = &fakeFile{data: id, synced: len(id)}
	n.disk.durable["identity"] = n.disk.names["identity"]
}

// id returns the identity on the node's current disk.
func (n *node) id() string { return fmt.Sprintf("%s-disk%d", n.name, n.diskCount) }

func (sim *simulation) start(n *node) {
	n.disk.beforeOperation = func(string, string) error { return nil }
	j, found, err := journal.Open("folder", n.name, n.disk.files())
	if err != nil {
		sim.addProblem("%s does not start: %v", n.name, err)
		n.downUntil = sim.now.Add(time.Hour)
		return
	}
	c := consensus.Config{ElectionTimeout: 500 * time.Millisecond, Seed: sim.random.Uint64(), TrailingEntries: 8}
	r, err := openReplica(func() time.Time { return sim.now }, c, j, found, snapshotEvery)
	if err != nil {
		sim.addProblem("%s does not start: %v", n.name, err)
		n.downUntil = sim.now.Add(time.Hour)
		return
	}
	n.alive, n.frozen, n.journal, n.replica, n.inbox = true, false, j, r, nil
	n.publisher = distribution.NewPublisher(r.state)
	n.nextTickAt = sim.now
	n.isolatedSince = sim.now
	n.lastContactAt = time.Time{}
	r.send = func(m *wire.ConsensusMessage) { sim.send(n, m) }
	r.publish = func(s steering.State, c []*wire.Command) { n.publisher.SetState(s, c) }
	r.onNotice = func(notice consensus.Notice) { sim.checkNotice(n, notice) }
	r.onApplied = func(c *wire.Command, _ steering.Result) { sim.checkApplied(n, c) }
	r.onSynced = func(time.Duration) {}
	r.onCurrent = func(at time.Time) { n.lastContactAt = at }
	r.onDiskChange = func(*FullDiskError) {}
	n.disk.beforeOperation = func(operation, name string) error {
		if operation == "rename" && name == "snapshot" {
			sim.hook("snapshot", n)
		}
		if name == "journal" && (operation == "write" || operation == "sync") {
			sim.hook(map[string]string{"write": "append", "sync": "sync"}[operation], n)
		}
		return nil
	}
	v := r.machine.Membership()
	n.awaitsJoin = len(v.Voters) == 0 || addressOf(v, r.id) == ""
}

// checkNotice checks that no term has two leaders.
func (sim *simulation) checkNotice(n *node, notice consensus.Notice) {
	if notice.Role != consensus.Leader {
		return
	}
	if other, ok := sim.leaders[notice.Term]; ok && other != n.replica.id {
		sim.addProblem("term %d has two leaders, %s and %s", notice.Term, other, n.replica.id)
	}
	sim.leaders[notice.Term] = n.replica.id
}

// checkApplied checks that all replicas apply the same command at the same index.
func (sim *simulation) checkApplied(n *node, c *wire.Command) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		sim.addProblem("encoding: %v", err)
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	if other, ok := sim.applied[n.replica.applied]; ok && other != h.Sum64() {
		sim.addProblem("%s applied a different command at index %d than another replica", n.name, n.replica.applied)
	}
	sim.applied[n.replica.applied] = h.Sum64()
	if n.replica.machine.Status(sim.now).Role == consensus.Leader {
		sim.hook("commit", n)
	} else {
		sim.hook("apply", n)
	}
}

func (sim *simulation) send(n *node, m *wire.ConsensusMessage) {
	if m.Kind == wire.MessageKind_MESSAGE_KIND_VOTE || m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE {
		sim.hook("vote", n)
	}
	sim.queue = append(sim.queue, packet{sim.now.Add(linkDelay), n.name, m.To, proto.CloneOf(m)})
}

// recoverCrash runs work of a node that a hook may end with a crash.
func recoverCrash(n *node, work func()) {
	defer func() {
		if p := recover(); p != nil {
			if c, ok := p.(crashed); !ok || c.node != n {
				panic(p)
			}
		}
	}()
	work()
}

// reachStep calls the hook for a step outside of the node's loop.
func (sim *simulation) reachStep(step string, n *node) { recoverCrash(n, func() { sim.hook(step, n) }) }

// handleOutput carries out an output unless a hook crashes the replica meanwhile.
func (sim *simulation) handleOutput(n *node, out consensus.Output) {
	recoverCrash(n, func() { sim.store(n, out) })
}

// tick advances the time of a node's replica.
func (sim *simulation) tick(n *node) {
	recoverCrash(n, func() {
		out, err := n.replica.tick()
		if err != nil {
			sim.kill(n, false, time.Second)
			return
		}
		sim.store(n, out)
	})
}

func (sim *simulation) store(n *node, out consensus.Output) {
	if err := n.replica.handleOutput(out); err != nil {
		sim.kill(n, false, time.Second)
	}
}

// kill crashes a node, which restarts after the given time.
func (sim *simulation) kill(n *node, torn bool, down time.Duration) {
	n.alive = false
	n.downUntil = sim.now.Add(down)
	n.disk.crash(torn)
}

// loseDisk crashes a node and replaces its disk by an empty one.
func (sim *simulation) loseDisk(n *node, down time.Duration) {
	for _, other := range sim.nodes {
		if other != n && other.diskCount > 1 && !sim.finished[other.id()] {
			sim.quorumLost = true
		}
	}
	sim.kill(n, false, down)
	n.newDisk()
}

// cut drops the messages from one availability zone to another for a while.
func (sim *simulation) cut(from, to string, length time.Duration) {
	sim.blocked[[2]string{from, to}] = sim.now.Add(length)
}

// cutZone cuts an availability zone off from the others, in one direction or both.
func (sim *simulation) cutZone(zone string, out, in bool, length time.Duration) {
	for _, other := range []string{"z1", "z2", "z3"} {
		if other == zone {
			continue
		}
		if out {
			sim.cut(zone, other, length)
		}
		if in {
			sim.cut(other, zone, length)
		}
	}
}

func (sim *simulation) reachable(from, to string) bool {
	return from == to || !sim.now.Before(sim.blocked[[2]string{from, to}])
}

func (sim *simulation) connected(a, b string) bool { return sim.reachable(a, b) && sim.reachable(b, a) }

func (sim *simulation) node(name string) *node {
	for _, n := range sim.nodes {
		if n.name == name || (n.replica != nil && n.replica.id == name) {
			return n
		}
	}
	return nil
}

func (sim *simulation) leader() *node {
	var best *node
	for _, n := range sim.nodes {
		if !n.alive || n.frozen || n.replica.machine.Status(sim.now).Role != consensus.Leader {
			continue
		}
		if best == nil || n.replica.machine.Status(sim.now).Term > best.replica.machine.Status(sim.now).Term {
			best = n
		}
	}
	return best
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simulationStep)
	sim.deliver()
	for _, n := range sim.nodes {
		sim.stepNode(n)
	}
	for _, b := range sim.boxes {
		sim.stepBox(b)
	}
}

func (sim *simulation) run(length time.Duration, until func() bool) bool {
	for end := sim.now.Add(length); sim.now.Before(end); {
		sim.step()
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (sim *simulation) deliver() {
	due := sim.queue
	sim.queue = nil
	for _, p := range due {
		if sim.now.Before(p.deliverAt) {
			sim.queue = append(sim.queue, p)
			continue
		}
		from, to := sim.node(p.from), sim.node(p.to)
		if to == nil || to.replica == nil || to.replica.id != p.to || !to.alive || !sim.reachable(from.zone, to.zone) {
			continue
		}
		to.inbox = append(to.inbox, p.message)
	}
}

func (sim *simulation) stepNode(n *node) {
	if at, ok := sim.crashAt[n]; ok && n.alive && !sim.now.Before(at) {
		delete(sim.crashAt, n)
		sim.kill(n, false, time.Second)
	}
	if !n.alive {
		if !sim.now.Before(n.downUntil) {
			sim.start(n)
		}
		return
	}
	if n.frozen {
		if sim.now.Before(n.downUntil) {
			return
		}
		n.frozen = false
	}
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if n.alive {
			sim.handleOutput(n, n.replica.handle(receivedMessage{message: m}))
		}
	}
	if n.alive && !sim.now.Before(n.nextTickAt) {
		n.nextTickAt = sim.now.Add(replicaTick)
		sim.tick(n)
		sim.repair(n)
	}
	if !n.alive || n.replica.diskFull != nil {
		return
	}
	s := n.replica.machine.Status(sim.now)
	sim.checkCutOff(n, s)
}

// checkCutOff checks that a node that has been isolated for two seconds reports that it is cut
// off.
func (sim *simulation) checkCutOff(n *node, s consensus.Status) {
	for _, other := range sim.nodes {
		if other != n && (sim.reachable(n.zone, other.zone) || sim.reachable(other.zone, n.zone)) {
			n.isolatedSince = sim.now
		}
	}
	if sim.now.Sub(n.isolatedSince) > 2*time.Second && !s.CutOff {
		sim.addProblem("%s is cut off and does not report it", n.name)
		n.isolatedSince = sim.now
	}
}

// repair does the work of the daemon's workers: a node on a new disk asks to join, and the leader
// adds it step by step.
func (sim *simulation) repair(n *node) {
	if !n.alive {
		return
	}
	if n.awaitsJoin {
		sim.joining[n.name] = &wire.Replica{Id: n.replica.id, Address: n.name}
		n.awaitsJoin = addressOf(n.replica.machine.Membership(), n.replica.id) == ""
	}
	s := n.replica.machine.Status(sim.now)
	if s.Role != consensus.Leader {
		return
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		j := sim.joining[name]
		if j == nil || !sim.connected(n.zone, sim.node(name).zone) {
			continue
		}
		step, next := consensus.NextRepair(n.replica.machine.Membership(), s, j)
		if step == consensus.RepairFinished {
			delete(sim.joining, name)
			sim.finished[j.Id] = true
			continue
		}
		if next != nil {
			if step != consensus.RepairAddLearner {
				sim.reachStep("addReplica", n)
				if !n.alive {
					return
				}
			}
			reply := make(chan outcome, 1)
			sim.handleOutput(n, n.replica.handle(membershipChange{next, reply}))
			return
		}
	}
}
