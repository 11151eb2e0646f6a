package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// fault is one kind of disturbance. It returns once things are right again.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand)
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

func some(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func faults() []fault {
	return []fault{
		{"kill entry", func(w *world, r *rand.Rand) { w.restart(pick(r, w.entries), r) }},
		{"kill control", func(w *world, r *rand.Rand) { w.restart(pick(r, w.controls), r) }},
		{"kill all controls", func(w *world, r *rand.Rand) { w.restartAll(w.controls) }},
		{"pause entry", func(w *world, r *rand.Rand) { w.pause(pick(r, w.entries), r) }},
		{"pause control", func(w *world, r *rand.Rand) { w.pause(pick(r, w.controls), r) }},
		{"stop entry", func(w *world, r *rand.Rand) { w.stop(pick(r, w.entries)) }},
		{"stop control", func(w *world, r *rand.Rand) { w.stop(pick(r, w.controls)) }},
		{"hang up", func(w *world, r *rand.Rand) { pick(r, append(w.entries, w.controls...)).signal(syscall.SIGHUP) }},
		{"wipe control", func(w *world, r *rand.Rand) { w.wipe(pick(r, w.controls)) }},
		{"links of control", func(w *world, r *rand.Rand) { w.disturbLinks(pick(r, w.controls), r) }},
		{"calls of control", func(w *world, r *rand.Rand) { w.disturb(pick(r, w.controls).name+" calls", r) }},
		{"link of target", func(w *world, r *rand.Rand) { w.disturb(w.anyTarget(r), r) }},
		{"lost answers", func(w *world, r *rand.Rand) { w.loseAnswers(r) }},
		{"drain target", func(w *world, r *rand.Rand) { w.drainTarget(r) }},
		{"crash target", func(w *world, r *rand.Rand) { w.crashTarget(r) }},
		{"rate-limited target", func(w *world, r *rand.Rand) { w.beInNeed(r) }},
		{"change routes", func(w *world, r *rand.Rand) { w.changeRoutes(r) }},
		{"evacuate", func(w *world, r *rand.Rand) { w.evacuate(r) }},
	}
}

// claims keep two faults from the same process at once.
var claims sync.Map

func claim(p *process) bool {
	_, taken := claims.LoadOrStore(p, true)
	return !taken
}

// claimAll claims all processes of a list, or none.
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

func (w *world) restart(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.kill()
	time.Sleep(some(r, 50*time.Millisecond, 1500*time.Millisecond))
	w.mustStart(p)
}

func (w *world) restartAll(list []*process) {
	var mine []*process
	for _, p := range list {
		if claim(p) {
			mine = append(mine, p)
		}
	}
	for _, p := range mine {
		p.kill()
	}
	for _, p := range mine {
		w.mustStart(p)
		claims.Delete(p)
	}
}

func (w *world) mustStart(p *process) {
	if err := p.start(); err != nil {
		w.promises.broken("%v", err)
	}
}

func (w *world) pause(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.signal(syscall.SIGSTOP)
	time.Sleep(some(r, 200*time.Millisecond, 2500*time.Millisecond))
	p.signal(syscall.SIGCONT)
}

// stop checks a planned stop: the process ends in time and without an error.
func (w *world) stop(p *process) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	p.signal(syscall.SIGTERM)
	err, ended := p.wait(stopBound + busySlack)
	if !ended {
		w.promises.broken("%s did not stop in time", p.name)
		p.kill()
	} else if err != nil {
		w.promises.broken("%s stopped with %v", p.name, err)
	}
	w.mustStart(p)
}

// repairTime is how long the others are left alone after a disk was lost: the
// 4 s after which the users' deployments may lose the next, and busySlack.
const repairTime = 4*time.Second + busySlack

// wipe empties a disk. One may be lost at a time, so no control replica is
// disturbed until the new one has been taken in.
func (w *world) wipe(p *process) {
	if !claimAll(w.controls) {
		return
	}
	defer release(w.controls)
	time.Sleep(repairTime) // what was disturbed before must be whole
	p.kill()
	if err := p.wipe(); err != nil {
		w.promises.broken("emptying a disk: %v", err)
	}
	w.mustStart(p)
	time.Sleep(repairTime)
}

func (w *world) disturbLinks(p *process, r *rand.Rand) {
	if !claim(p) {
		return
	}
	defer claims.Delete(p)
	w.disturb(p.name+" peers", r)
}

func (w *world) disturb(name string, r *rand.Rand) {
	w.mu.Lock()
	x := w.proxies[name]
	w.mu.Unlock()
	if x == nil {
		return
	}
	m := mode(1 + r.IntN(int(reset)))
	w.counts.fault("proxy " + m.String())
	x.set(m)
	time.Sleep(some(r, 300*time.Millisecond, 3*time.Second))
	x.set(pass)
}

func (w *world) anyTarget(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return pick(r, w.targets).ID
}

func (w *world) loseAnswers(r *rand.Rand) {
	w.mu.Lock()
	t := pick(r, w.targets)
	w.mu.Unlock()
	t.Lose(3)
	time.Sleep(2 * time.Second)
	t.Lose(0)
}

// drainTarget has a target leave and another take its place.
func (w *world) drainTarget(r *rand.Rand) {
	if err := w.addTarget(); err != nil {
		w.promises.broken("%v", err)
		return
	}
	w.mu.Lock()
	t := pick(r, w.targets[:len(w.targets)-1])
	w.mu.Unlock()
	t.Drain()
}

func (w *world) crashTarget(r *rand.Rand) {
	w.mu.Lock()
	if len(w.targets) < 5 {
		w.mu.Unlock()
		return
	}
	t := pick(r, w.targets)
	w.mu.Unlock()
	t.Close()
	if err := w.addTarget(); err != nil {
		w.promises.broken("%v", err)
	}
}

func (w *world) changeRoutes(r *rand.Rand) {
	for i := range 1 + r.IntN(3) {
		if i < 2 {
			w.changeConfig(6 * time.Second)
		} else {
			w.raceRoutes()
		}
		list := w.controlAddresses()
		w.readConfig(list[r.IntN(len(list))])
	}
}

// raceRoutes has two operators change the same document at once.
func (w *world) raceRoutes() {
	ended := make(chan bool, 2)
	for range 2 {
		go func() { ended <- w.changeConfig(6 * time.Second) }()
	}
	first, second := <-ended, <-ended
	if !first && !second {
		w.readBack() // one of them may be in force without a clear answer
	}
}

// evacuate empties a zone for a while and checks that nothing runs there.
func (w *world) evacuate(r *rand.Rand) {
	zone := pick(r, zones)
	path := "/ledgesill/evacuation/" + zone
	if w.settle(http.MethodPost, path, nil, 6*time.Second) != http.StatusOK {
		return
	}
	time.Sleep(some(r, time.Second, 4*time.Second))
	if status := w.settle(http.MethodDelete, path, nil, 15*time.Second); status != http.StatusOK {
		w.promises.broken("the end of an evacuation got %d", status)
	}
}

// disturbances runs faults in overlapping series for a time.
func (w *world) disturbances(length time.Duration) {
	all := faults()
	end := time.Now().Add(length)
	var running sync.WaitGroup
	running.Go(func() { w.silenceConnections(end, rand.New(rand.NewPCG(w.seed, 11))) })
	for time.Now().Before(end) {
		f := pick(w.random, all)
		r := rand.New(rand.NewPCG(w.random.Uint64(), 1))
		w.counts.fault(f.name)
		running.Add(1)
		go func() {
			defer running.Done()
			f.do(w, r)
		}()
		time.Sleep(some(w.random, 150*time.Millisecond, 900*time.Millisecond))
	}
	running.Wait()
	w.checkEnds()
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("requests %v; faults %v; checked %v", c.requests, c.faults, c.checks)
}
