package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of fault with its name in the printed counts. inject returns when the
// fault is over.
type fault struct {
	name   string
	inject func(h *harness, r *rand.Rand)
}

// pick returns a random element of a list.
func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// randomDuration returns a random duration from lo up to hi.
func randomDuration(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(r.Int64N(int64(hi-lo)))
}

func faults() []fault {
	return []fault{
		{"kill entry", func(h *harness, r *rand.Rand) { h.restart(pick(r, h.entries), r) }},
		{"kill control", func(h *harness, r *rand.Rand) { h.restart(pick(r, h.controls), r) }},
		{"kill all controls", func(h *harness, r *rand.Rand) { h.restartAll(h.controls) }},
		{"pause entry", func(h *harness, r *rand.Rand) { h.pause(pick(r, h.entries), r) }},
		{"pause control", func(h *harness, r *rand.Rand) { h.pause(pick(r, h.controls), r) }},
		{"stop entry", func(h *harness, r *rand.Rand) { h.stop(pick(r, h.entries)) }},
		{"stop control", func(h *harness, r *rand.Rand) { h.stop(pick(r, h.controls)) }},
		{"hang up", func(h *harness, r *rand.Rand) { pick(r, append(h.entries, h.controls...)).signal(syscall.SIGHUP) }},
		{"wipe control", func(h *harness, r *rand.Rand) { h.wipe(pick(r, h.controls)) }},
		{"links of control", func(h *harness, r *rand.Rand) { h.disturbPeerLinks(pick(r, h.controls), r) }},
		{"calls of control", func(h *harness, r *rand.Rand) { h.disturbProxy(pick(r, h.controls).name+" calls", r) }},
		{"link of target", func(h *harness, r *rand.Rand) { h.disturbProxy(h.randomTargetID(r), r) }},
		{"lost answers", func(h *harness, r *rand.Rand) { h.loseResponses(r) }},
		{"drain target", func(h *harness, r *rand.Rand) { h.drainTarget(r) }},
		{"crash target", func(h *harness, r *rand.Rand) { h.crashTarget(r) }},
		{"rate-limited target", func(h *harness, r *rand.Rand) { h.rateLimitTarget(r) }},
		{"change routes", func(h *harness, r *rand.Rand) { h.changeRoutes(r) }},
		{"partition entries", func(h *harness, r *rand.Rand) { h.partitionEntries(r) }},
		{"evacuate", func(h *harness, r *rand.Rand) { h.evacuate(r) }},
	}
}

// claims holds the processes that a fault is in progress on, so that no second one is
// injected into the same process.
var claims sync.Map

func claim(p *process) bool {
	_, taken := claims.LoadOrStore(p, true)
	return !taken
}

// claimAll claims either all processes of a list or none.
func claimAll(list []*process) bool {
	for i, p := range list {
		if claim(p) {
			continue
		}
		release(list[:i])
		return false
	}
	return true
}

func release(list []*process) {
	for _, p := range list {
		claims.Delete(p)
	}
}

// restart kills a process and starts it again after a short pause.
func (h *harness) restart(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.kill()
	time.Sleep(randomDuration(r, 50*time.Millisecond, 1500*time.Millisecond))
	h.mustStart(p)
}

// restartAll kills all processes of a list that no other fault has claimed and starts them
// again without a pause.
func (h *harness) restartAll(list []*process) {
	var claimed []*process
	for _, p := range list {
		if claim(p) {
			claimed = append(claimed, p)
		}
	}
	for _, p := range claimed {
		p.kill()
	}
	for _, p := range claimed {
		h.mustStart(p)
		claims.Delete(p)
	}
}

// mustStart starts a process and records a violation if that fails.
func (h *harness) mustStart(p *process) {
	if err := p.start(); err != nil {
		h.violations.add("%v", err)
	}
}

// pause suspends a process for a while.
func (h *harness) pause(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.signal(syscall.SIGSTOP)
	time.Sleep(randomDuration(r, 200*time.Millisecond, 2500*time.Millisecond))
	p.signal(syscall.SIGCONT)
}

// stop sends SIGTERM to a process, checks that it exits in time and without an error, and
// starts it again.
func (h *harness) stop(p *process) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.signal(syscall.SIGTERM)
	err, ended := p.wait(stopBound + busySlack)
	if !ended {
		h.violations.add("%s did not stop within %s", p.name, stopBound+busySlack)
		p.kill()
	} else if err != nil {
		h.violations.add("%s stopped with an error: %v", p.name, err)
	}
	h.mustStart(p)
}

// repairTime is how long no other control replica is disturbed after a disk loss: the 4 s
// after which the users' deployments may lose the next disk, and busySlack.
const repairTime = 4*time.Second + busySlack

// wipe kills a control replica and deletes its data. The system tolerates the loss of one
// disk at a time, so no control replica is disturbed until the replacement is a member.
func (h *harness) wipe(p *process) {
	if !claimAll(h.controls) {
		return
	}
	defer release(h.controls)
	time.Sleep(repairTime) // earlier faults must have been repaired
	p.kill()
	if err := p.wipe(); err != nil {
		h.violations.add("deleting the data of %s: %v", p.name, err)
	}
	h.mustStart(p)
	time.Sleep(repairTime)
}

// disturbPeerLinks disturbs the links to a control replica from its peers.
func (h *harness) disturbPeerLinks(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	h.disturbProxy(p.name+" peers", r)
}

// disturbProxy puts a proxy into a random mode for a while.
func (h *harness) disturbProxy(name string, r *rand.Rand) {
	h.mu.Lock()
	px := h.proxies[name]
	h.mu.Unlock()
	if px == nil {
		return
	}
	m := mode(1 + r.IntN(int(reset)))
	h.counts.countFault("proxy " + m.String())
	px.setMode(m)
	time.Sleep(randomDuration(r, 300*time.Millisecond, 3*time.Second))
	px.setMode(pass)
}

func (h *harness) randomTargetID(r *rand.Rand) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return pick(r, h.targets).ID
}

func (h *harness) loseResponses(r *rand.Rand) {
	h.mu.Lock()
	t := pick(r, h.targets)
	h.mu.Unlock()
	t.LoseOneIn(3)
	time.Sleep(2 * time.Second)
	t.LoseOneIn(0)
}

// drainTarget starts a new target and drains an existing one.
func (h *harness) drainTarget(r *rand.Rand) {
	if err := h.addTarget(); err != nil {
		h.violations.add("%v", err)
		return
	}
	h.mu.Lock()
	t := pick(r, h.targets[:len(h.targets)-1])
	h.mu.Unlock()
	t.Drain()
}

func (h *harness) crashTarget(r *rand.Rand) {
	h.mu.Lock()
	if len(h.targets) < 5 {
		h.mu.Unlock()
		return
	}
	t := pick(r, h.targets)
	h.mu.Unlock()
	t.Close()
	if err := h.addTarget(); err != nil {
		h.violations.add("%v", err)
	}
}

func (h *harness) changeRoutes(r *rand.Rand) {
	for i := range 1 + r.IntN(3) {
		if i < 2 {
			h.putNextDocument(6 * time.Second)
		} else {
			h.raceDocumentChanges()
		}
		list := h.controlAddresses()
		h.readDocument(list[r.IntN(len(list))])
	}
}

// raceDocumentChanges lets two operators change the same document at the same time.
func (h *harness) raceDocumentChanges() {
	ended := make(chan bool, 2)
	for range 2 {
		go func() { ended <- h.putNextDocument(6 * time.Second) }()
	}
	first, second := <-ended, <-ended
	if !first && !second {
		h.readBack() // one of them may be active although its outcome is unknown
	}
}

// evacuate evacuates an availability zone for a while and checks that this can be ended.
func (h *harness) evacuate(r *rand.Rand) {
	zone := pick(r, zones)
	path := "/ledgesill/evacuation/" + zone
	if h.sendUntilAnswered(http.MethodPost, path, nil, 6*time.Second) != http.StatusOK {
		return
	}
	time.Sleep(randomDuration(r, time.Second, 4*time.Second))
	if status := h.sendUntilAnswered(http.MethodDelete, path, nil, 15*time.Second); status != http.StatusOK {
		h.violations.add("ending the evacuation of %s: status %d", zone, status)
	}
}

// injectFaults injects faults, which may overlap, for a length of time and waits until
// all are over.
func (h *harness) injectFaults(length time.Duration) {
	all := faults()
	end := time.Now().Add(length)
	var running sync.WaitGroup
	running.Go(func() { h.blackholeConnections(end, rand.New(rand.NewPCG(h.seed, 11))) })
	for time.Now().Before(end) {
		f := pick(h.random, all)
		r := rand.New(rand.NewPCG(h.random.Uint64(), 1))
		h.counts.countFault(f.name)
		running.Add(1)
		go func() {
			defer running.Done()
			f.inject(h, r)
		}()
		time.Sleep(randomDuration(h.random, 150*time.Millisecond, 900*time.Millisecond))
	}
	running.Wait()
	h.checkExits()
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("requests %v; faults %v; checked %v", c.requests, c.faults, c.checks)
}
