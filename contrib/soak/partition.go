package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Entry boxes that are cut off from all targets. Each box reaches each target at an address of its own,
// at which a proxy listens, its link.

// cutKind is how the links of a box fail.
type cutKind int

const (
	// refuseAndReset: new connections are refused, open ones are reset.
	refuseAndReset cutKind = iota
	// refuseNew: new connections are refused, open ones stay usable.
	refuseNew
	// hangAndReset: new connections hang, open ones are reset.
	hangAndReset
	// hangAndSilence: new connections hang, open ones go silent.
	hangAndSilence
	cutKinds
)

func (k cutKind) String() string {
	return [...]string{"refuse and reset", "refuse new", "hang and reset", "hang and silence"}[k]
}

const (
	// minCut and maxCut bound the length of a partition. Requests count from cutGrace after its start.
	minCut   = 4 * time.Second
	maxCut   = 7 * time.Second
	cutGrace = time.Second + busySlack
	// A cut off box must serve its first tries at least minCutShare as often as the others, beyond
	// cutSlack failures and one in cutSlackShare.
	minCutShare   = 2.0 / 3
	cutSlack      = 10
	cutSlackShare = 50
)

// cutPeriod is a period in which boxes were cut off.
type cutPeriod struct {
	kind     cutKind
	from, to time.Time
	boxes    []*process
}

// linkNetwork returns the network in which an entry box reaches targets.
func linkNetwork(entry int) string { return fmt.Sprintf("127.%d.0.0/16", 150+entry) }

// linkAddress returns the address at which an entry box reaches the target that registered an address.
func linkAddress(entry int, registered string) string {
	parts := strings.SplitN(registered, ".", 3)
	return fmt.Sprintf("127.%d.%s", 150+entry, parts[2])
}

// addLinks opens the links of all entry boxes to the target behind a proxy.
func (h *harness) addLinks(px *proxy) error {
	for i, p := range h.entries {
		link, err := newProxy(linkAddress(i, px.address()), px.address())
		if err != nil {
			return err
		}
		if kind, isCut := h.cuts[p]; isCut {
			link.cut(kind)
		}
		px.links = append(px.links, link)
	}
	return nil
}

// partitionEntries cuts some of the entry boxes off from all targets for a while.
func (h *harness) partitionEntries(r *rand.Rand) {
	if len(h.entries) < 2 {
		return
	}
	kind := cutKind(r.IntN(int(cutKinds)))
	boxes := slices.Clone(h.entries)
	r.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	boxes = boxes[:1+r.IntN(len(boxes)-1)]
	if !h.setCuts(boxes, kind) {
		return
	}
	period := cutPeriod{kind: kind, from: time.Now(), boxes: boxes}
	h.counts.countFault("cut off: " + kind.String())
	time.Sleep(randomDuration(r, minCut, maxCut))
	period.to = time.Now()
	h.endCuts(boxes)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cutPeriods = append(h.cutPeriods, period)
}

// setCuts cuts off boxes, unless some are cut off already: a period must know which boxes are not.
func (h *harness) setCuts(boxes []*process, kind cutKind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.cuts) > 0 {
		return false
	}
	for _, p := range boxes {
		h.cuts[p] = kind
	}
	h.eachLink(func(p *process, link *proxy) {
		if slices.Contains(boxes, p) {
			link.cut(kind)
		}
	})
	return true
}

func (h *harness) endCuts(boxes []*process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.cuts)
	h.eachLink(func(p *process, link *proxy) {
		if slices.Contains(boxes, p) {
			if err := link.heal(); err != nil {
				h.violations.add("ending a partition: %v", err)
			}
		}
	})
}

// eachLink calls a function for each link of an entry box to a target. The lock is held.
func (h *harness) eachLink(call func(p *process, link *proxy)) {
	for _, px := range h.proxies {
		for i, link := range px.links {
			call(h.entries[i], link)
		}
	}
}

// linkFaultBetween reports whether the link of a box to the target behind a proxy failed in a time span.
func (h *harness) linkFaultBetween(px *proxy, box *process, from, to time.Time) bool {
	i := slices.Index(h.entries, box)
	return i >= 0 && i < len(px.links) && px.links[i].faults.anyBetween(from, to)
}

// cut makes the link fail.
func (p *proxy) cut(kind cutKind) {
	p.faults.add()
	if kind == refuseAndReset || kind == refuseNew {
		p.mu.Lock()
		_ = p.listener.Close()
		p.mu.Unlock()
	} else {
		p.hang()
	}
	switch kind {
	case refuseAndReset, hangAndReset:
		p.setMode(reset)
	case hangAndSilence:
		p.setMode(stall)
	}
}

// hang stops accepting connections and fills the queue of those that wait for it, so that the system
// drops further ones.
func (p *proxy) hang() {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // on a closed listener connections are refused
	}
	if err != nil {
		return
	}
	_ = p.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	for range 2 {
		if c, err := net.DialTimeout("tcp4", p.listener.Addr().String(), fillTimeout); err == nil {
			p.fillers = append(p.fillers, c)
		}
	}
}

// fillTimeout bounds a connection that fills the queue of a listener.
const fillTimeout = 20 * time.Millisecond

// heal ends a cut.
func (p *proxy) heal() error {
	p.setMode(pass)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	address := p.listener.Addr().String()
	_ = p.listener.Close()
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listening again at %s: %w", address, err)
	}
	p.listener = l
	p.running.Add(1)
	go p.accept(l)
	return nil
}

// checkCuts checks how boxes that were cut off served first tries, by that of the others.
func (h *harness) checkCuts(records []attemptRecord) {
	for _, period := range h.cutPeriods {
		var cut, others cutCount
		for _, r := range records {
			if r.sent.Before(period.from.Add(cutGrace)) || r.sent.After(period.to) || r.workspace == limitedWorkspace || r.left {
				continue
			}
			p := h.entryAt(r.box)
			if p == nil || p.faults.anyBetween(period.from.Add(-maxFaultTime), period.to) {
				continue
			}
			if slices.Contains(period.boxes, p) {
				cut.add(r)
			} else {
				others.add(r)
			}
		}
		h.counts.countChecks("first tries at cut off boxes", cut.sent)
		failed := cut.sent - cut.served
		if cut.share() < minCutShare*others.share() && failed > cutSlack+(cut.sent+others.sent)/cutSlackShare {
			h.violations.add("boxes that were cut off (%s) for %s served %d of %d first tries, the others %d of %d", period.kind, period.to.Sub(period.from),
				cut.served, cut.sent, others.served, others.sent)
		}
	}
}

// cutCount counts first tries.
type cutCount struct{ sent, served int }

func (c *cutCount) add(r attemptRecord) {
	c.sent++
	if r.status == 200 {
		c.served++
	}
}

func (c *cutCount) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// entryAt returns the entry box with a caller address, or nil.
func (h *harness) entryAt(address string) *process {
	for _, p := range h.entries {
		if address == fmt.Sprintf("%s:%d", p.ip, callerPort) {
			return p
		}
	}
	return nil
}

// cutState is which entry boxes are cut off.
type cutState struct {
	cuts       map[*process]cutKind
	cutPeriods []cutPeriod
}
