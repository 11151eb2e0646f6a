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
	worldStep     = 5 * time.Millisecond
	replicaTick   = 50 * time.Millisecond
	linkDelay     = 2 * time.Millisecond
	snapshotEvery = 16
)

// crashed is what a hook panics with to end a replica in the middle of its
// work.
type crashed struct{ node *node }

// node is one control box: a disk, and while it is alive a replica.
type node struct {
	world   *world
	name    string
	zone    string
	disks   int
	disk    *fakeDisk
	replica *replica
	journal *journal.Journal
	pub     *distribution.Publisher
	alive   bool
	frozen  bool
	inbox   []*wire.ConsensusMessage
	downTo  time.Time
	nextAt  time.Time
	asking  bool // not yet part of the membership
	heardAt time.Time
	// aloneSince is when the node was last in touch with another.
	aloneSince time.Time
}

type packet struct {
	at       time.Time
	from, to string
	message  *wire.ConsensusMessage
}

// world hosts three control boxes and six entry boxes in three availability
// zones, in virtual time and with fakes for disks and network.
type world struct {
	t        *testing.T
	random   *rand.Rand
	seed     uint64
	now      time.Time
	nodes    []*node
	boxes    []*box
	queue    []packet
	blocked  map[[2]string]time.Time // one-way between zones, until
	hook     func(step string, n *node)
	boxHook  func(step string, b *box)
	joining  map[string]*wire.Replica
	finished map[string]bool

	leaders  map[uint64]string
	applied  map[uint64]uint64
	problems []string
	// quorumLost: two disks of three were lost before a repair was finished.
	quorumLost bool
	crashAt    map[*node]time.Time
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
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
		n := &node{world: w, name: fmt.Sprintf("c%d", i), zone: fmt.Sprintf("z%d", i)}
		w.nodes = append(w.nodes, n)
		n.newDisk()
		w.start(n)
	}
	first := &wire.Membership{}
	for _, n := range w.nodes {
		first.Voters = append(first.Voters, &wire.Replica{Id: n.replica.id, Address: n.name})
	}
	for _, n := range w.nodes {
		w.carryOut(n, n.replica.handle(bootstrap{first}))
	}
	for i := 1; i <= 6; i++ {
		b := &box{world: w, name: fmt.Sprintf("b%d", i), zone: fmt.Sprintf("z%d", (i+1)/2)}
		w.boxes = append(w.boxes, b)
		w.startBox(b)
	}
	return w
}

func (w *world) problem(format string, args ...any) {
	if len(w.problems) < 8 {
		w.problems = append(w.problems, fmt.Sprintf("%s: ", w.now.Format("04:05.000"))+fmt.Sprintf(format, args...))
	}
}

// newDisk gives the node an empty disk with a new identity.
func (n *node) newDisk() {
	n.disks++
	n.disk = newFakeDisk(n.world.seed*100 + uint64(n.disks))
	id := []byte(n.id())
	n.disk.names["identity"] = &fakeFile{data: id, synced: len(id)}
	n.disk.durable["identity"] = n.disk.names["identity"]
}

// id is the identity on the node's present disk.
func (n *node) id() string { return fmt.Sprintf("%s-disk%d", n.name, n.disks) }

func (w *world) start(n *node) {
	n.disk.before = func(string, string) error { return nil }
	j, found, err := journal.Open("folder", n.name, n.disk.files())
	if err != nil {
		w.problem("%s does not start: %v", n.name, err)
		n.downTo = w.now.Add(time.Hour)
		return
	}
	c := consensus.Config{ElectionTimeout: 500 * time.Millisecond, Seed: w.random.Uint64(), TrailingEntries: 8}
	r, err := openReplica(func() time.Time { return w.now }, c, j, found, snapshotEvery)
	if err != nil {
		w.problem("%s does not start: %v", n.name, err)
		n.downTo = w.now.Add(time.Hour)
		return
	}
	n.alive, n.frozen, n.journal, n.replica, n.inbox = true, false, j, r, nil
	n.pub = distribution.NewPublisher(r.state)
	n.nextAt = w.now
	n.aloneSince = w.now
	r.send = func(m *wire.ConsensusMessage) { w.send(n, m) }
	r.publish = func(s steering.State, c []*wire.Command) { n.pub.SetState(s, c) }
	r.noticed = func(notice consensus.Notice) { w.noticed(n, notice) }
	r.settled = func(c *wire.Command, _ steering.Result) { w.settled(n, c) }
	r.synced = func(time.Duration) {}
	r.disk = func(*FullDiskError) {}
	n.disk.before = func(operation, name string) error {
		if operation == "rename" && name == "snapshot" {
			w.hook("snapshot", n)
		}
		if name == "journal" && (operation == "write" || operation == "sync") {
			w.hook(map[string]string{"write": "append", "sync": "sync"}[operation], n)
		}
		return nil
	}
	v := r.machine.Membership()
	n.asking = len(v.Voters) == 0 || addressOf(v, r.id) == ""
}

func (w *world) noticed(n *node, notice consensus.Notice) {
	if notice.Role != consensus.Leader {
		return
	}
	if other, ok := w.leaders[notice.Term]; ok && other != n.replica.id {
		w.problem("term %d has two leaders, %s and %s", notice.Term, other, n.replica.id)
	}
	w.leaders[notice.Term] = n.replica.id
}

// settled checks that all replicas apply the same command at the same index.
func (w *world) settled(n *node, c *wire.Command) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		w.problem("encoding: %v", err)
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	if other, ok := w.applied[n.replica.applied]; ok && other != h.Sum64() {
		w.problem("%s applies another command at %d than others did", n.name, n.replica.applied)
	}
	w.applied[n.replica.applied] = h.Sum64()
	if n.replica.machine.Status(w.now).Role == consensus.Leader {
		w.hook("commit", n)
	} else {
		w.hook("apply", n)
	}
}

func (w *world) send(n *node, m *wire.ConsensusMessage) {
	if m.Kind == wire.MessageKind_MESSAGE_KIND_VOTE || m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE {
		w.hook("vote", n)
	}
	w.queue = append(w.queue, packet{w.now.Add(linkDelay), n.name, m.To, proto.CloneOf(m)})
}

// guarded runs a part of a node's work that a hook may end by a crash.
func guarded(n *node, work func()) {
	defer func() {
		if p := recover(); p != nil {
			if c, ok := p.(crashed); !ok || c.node != n {
				panic(p)
			}
		}
	}()
	work()
}

// at reaches a step outside of the node's loop.
func (w *world) at(step string, n *node) { guarded(n, func() { w.hook(step, n) }) }

// carryOut carries an output out unless a hook ends the replica meanwhile.
func (w *world) carryOut(n *node, out consensus.Output) {
	guarded(n, func() { w.store(n, out) })
}

// tick tells a node of the time.
func (w *world) tick(n *node) {
	guarded(n, func() {
		out, err := n.replica.tick()
		if err != nil {
			w.kill(n, false, time.Second)
			return
		}
		w.store(n, out)
	})
}

func (w *world) store(n *node, out consensus.Output) {
	if err := n.replica.carryOut(out); err != nil {
		w.kill(n, false, time.Second)
	}
}

// kill ends a node now; it starts again after a while.
func (w *world) kill(n *node, torn bool, down time.Duration) {
	n.alive = false
	n.downTo = w.now.Add(down)
	n.disk.crash(torn)
}

func (w *world) loseDisk(n *node, down time.Duration) {
	for _, other := range w.nodes {
		if other != n && other.disks > 1 && !w.finished[other.id()] {
			w.quorumLost = true
		}
	}
	w.kill(n, false, down)
	n.newDisk()
}

func (w *world) cut(from, to string, length time.Duration) {
	w.blocked[[2]string{from, to}] = w.now.Add(length)
}

// cutZone cuts a zone from the others, both ways or one way only.
func (w *world) cutZone(zone string, out, in bool, length time.Duration) {
	for _, other := range []string{"z1", "z2", "z3"} {
		if other == zone {
			continue
		}
		if out {
			w.cut(zone, other, length)
		}
		if in {
			w.cut(other, zone, length)
		}
	}
}

func (w *world) open(from, to string) bool {
	return from == to || !w.now.Before(w.blocked[[2]string{from, to}])
}

func (w *world) both(a, b string) bool { return w.open(a, b) && w.open(b, a) }

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name || (n.replica != nil && n.replica.id == name) {
			return n
		}
	}
	return nil
}

func (w *world) leader() *node {
	var best *node
	for _, n := range w.nodes {
		if !n.alive || n.frozen || n.replica.machine.Status(w.now).Role != consensus.Leader {
			continue
		}
		if best == nil || n.replica.machine.Status(w.now).Term > best.replica.machine.Status(w.now).Term {
			best = n
		}
	}
	return best
}

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.deliver()
	for _, n := range w.nodes {
		w.stepNode(n)
	}
	for _, b := range w.boxes {
		w.stepBox(b)
	}
}

func (w *world) run(length time.Duration, until func() bool) bool {
	for end := w.now.Add(length); w.now.Before(end); {
		w.step()
		if until != nil && until() {
			return true
		}
	}
	return until == nil
}

func (w *world) deliver() {
	due := w.queue
	w.queue = nil
	for _, p := range due {
		if w.now.Before(p.at) {
			w.queue = append(w.queue, p)
			continue
		}
		from, to := w.node(p.from), w.node(p.to)
		if to == nil || to.replica == nil || to.replica.id != p.to || !to.alive || !w.open(from.zone, to.zone) {
			continue
		}
		to.inbox = append(to.inbox, p.message)
	}
}

func (w *world) stepNode(n *node) {
	if at, ok := w.crashAt[n]; ok && n.alive && !w.now.Before(at) {
		delete(w.crashAt, n)
		w.kill(n, false, time.Second)
	}
	if !n.alive {
		if !w.now.Before(n.downTo) {
			w.start(n)
		}
		return
	}
	if n.frozen {
		if w.now.Before(n.downTo) {
			return
		}
		n.frozen = false
	}
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if n.alive {
			w.carryOut(n, n.replica.handle(received{m}))
		}
	}
	if n.alive && !w.now.Before(n.nextAt) {
		n.nextAt = w.now.Add(replicaTick)
		w.tick(n)
		w.repair(n)
	}
	if !n.alive || n.replica.full != nil {
		return
	}
	s := n.replica.machine.Status(w.now)
	w.checkCutOff(n, s)
	if s.Role == consensus.Leader {
		n.heardAt = w.now
	} else if s.Leader != "" {
		n.heardAt = w.now.Add(-s.LeaderSilence)
	}
}

// checkCutOff checks that a node that is alone for two seconds says so.
func (w *world) checkCutOff(n *node, s consensus.Status) {
	for _, other := range w.nodes {
		if other != n && (w.open(n.zone, other.zone) || w.open(other.zone, n.zone)) {
			n.aloneSince = w.now
		}
	}
	if w.now.Sub(n.aloneSince) > 2*time.Second && !s.CutOff {
		w.problem("%s is cut off and does not say so", n.name)
		n.aloneSince = w.now
	}
}

// repair does what the daemon's workers do: a node on a new disk asks to join,
// and the leader takes it in step by step.
func (w *world) repair(n *node) {
	if !n.alive {
		return
	}
	if n.asking {
		w.joining[n.name] = &wire.Replica{Id: n.replica.id, Address: n.name}
		n.asking = addressOf(n.replica.machine.Membership(), n.replica.id) == ""
	}
	s := n.replica.machine.Status(w.now)
	if s.Role != consensus.Leader {
		return
	}
	for _, name := range []string{"c1", "c2", "c3"} {
		j := w.joining[name]
		if j == nil || !w.both(n.zone, w.node(name).zone) {
			continue
		}
		step, next := consensus.NextRepair(n.replica.machine.Membership(), s, j)
		if step == consensus.RepairFinished {
			delete(w.joining, name)
			w.finished[j.Id] = true
			continue
		}
		if next != nil {
			if step != consensus.RepairAddLearner {
				w.at("addReplica", n)
				if !n.alive {
					return
				}
			}
			reply := make(chan outcome, 1)
			w.carryOut(n, n.replica.handle(membershipChange{next, reply}))
			return
		}
	}
}
