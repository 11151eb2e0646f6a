package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step = 10 * time.Millisecond
	// propagationTime is the time within which all reachable boxes must know of a request
	// that has crashed three targets. It is the shorter of two production settings.
	propagationTime = 3 * time.Second
	// maxLateRuns is how many more targets the request may reach after that time.
	maxLateRuns = 3
)

// simulation runs boxes and replicas in virtual time. The links between them delay and lose
// messages, so that evidence is also delivered twice; boxes restart and are cut off.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	start    time.Time
	lossRate float64
	attempts int
	boxes    []*simulatedBox
	replicas []*EvidenceStore
	leader   int
	list     []Entry
	events   []event
	targets  int
	// runs are the runs of the fatal request, and crashTimes the times at which targets
	// crashed while they ran it.
	runs       []run
	crashTimes []time.Time
}

type simulatedBox struct {
	guard  *Guard
	outbox *Outbox
	// unreachableUntil is the time until which the box is cut off from control.
	unreachableUntil time.Time
}

type run struct {
	at        time.Time
	reachable bool
}

type event struct {
	at time.Time
	do func()
}

func newSimulation(seed uint64, boxes, replicas int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_700_000_000, 0), attempts: 2}
	s.now = s.start
	var names []string
	for i := range boxes {
		names = append(names, fmt.Sprint("box", i))
	}
	for _, name := range names {
		s.boxes = append(s.boxes, &simulatedBox{guard: NewGuard(), outbox: NewOutbox()})
		s.boxes[len(s.boxes)-1].guard.SetBoxes(name, names)
	}
	for range replicas {
		s.replicas = append(s.replicas, NewEvidenceStore())
	}
	return s
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.events = append(s.events, event{s.now.Add(d), do})
}

func (s *simulation) randomBetween(a, b time.Duration) time.Duration {
	return a + time.Duration(s.random.Int64N(int64(b-a)+1))
}

// run advances the clock by length and calls each at every step.
func (s *simulation) run(length time.Duration, each func()) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.events = append(s.events, e)
				continue
			}
			e.do()
		}
		if int(s.now.Sub(s.start)/step)%20 == 0 {
			s.runLeader()
		}
		for _, b := range s.boxes {
			if len(b.outbox.items) > 0 {
				s.sendEvidence(b)
			}
		}
		each()
	}
}

// runLeader makes the leader apply pending changes to the list and inform all boxes.
func (s *simulation) runLeader() {
	for i, r := range s.replicas {
		changes := r.PendingChanges(s.now, s.now, s.list)
		if i != s.leader {
			continue
		}
		for _, change := range changes {
			s.schedule(s.randomBetween(50*time.Millisecond, 200*time.Millisecond), func() { s.apply(change) })
		}
	}
}

func (s *simulation) apply(change ListChange) {
	next := []Entry{}
	for _, e := range s.list {
		if e.Request != change.Entry.Request || e.Caller != change.Entry.Caller {
			next = append(next, e)
		}
	}
	if !change.Release {
		next = append(next, change.Entry)
	}
	s.list = next
	for _, b := range s.boxes {
		s.sendList(b)
	}
}

// sendList sends the list to a box once the box is reachable.
func (s *simulation) sendList(b *simulatedBox) {
	wait := s.randomBetween(20*time.Millisecond, 500*time.Millisecond)
	s.schedule(max(wait, b.unreachableUntil.Sub(s.now)+wait), func() { b.guard.SetList(s.list) })
}

// callTimeout is how long a box waits for a replica that does not answer.
const callTimeout = 600 * time.Millisecond

// sendEvidence sends the replicas the evidence that they lack. Calls are lost on their
// way there or back, and when the box is cut off at the time of arrival.
func (s *simulation) sendEvidence(b *simulatedBox) {
	var addresses []string
	for i := range s.replicas {
		addresses = append(addresses, fmt.Sprint(i))
	}
	b.outbox.SetReplicas(addresses)
	outbox := b.outbox
	for _, batch := range outbox.NextBatches(s.now) {
		var number int
		_, _ = fmt.Sscan(batch.Address, &number)
		lost, answerLost := s.random.Float64() < s.lossRate, s.random.Float64() < s.lossRate
		wait := s.randomBetween(20*time.Millisecond, 150*time.Millisecond)
		s.schedule(wait, func() {
			lost = lost || s.now.Before(b.unreachableUntil)
			if !lost {
				s.deliver(s.replicas[number], batch.Items)
			}
			if !lost && !answerLost {
				outbox.HandleResult(s.now, batch.Address, true)
				return
			}
			s.schedule(callTimeout, func() { outbox.HandleResult(s.now, batch.Address, false) })
		})
	}
}

func (s *simulation) deliver(store *EvidenceStore, items []Item) {
	for _, i := range items {
		if i.Crash != nil {
			store.RecordCrash(s.now, *i.Crash)
		}
		if i.Answer != nil {
			store.RecordAnswer(s.now, i.Answer.Request, i.Answer.Caller, i.Answer.At)
		}
	}
}

// sendFatal makes the fatal request arrive at a box.
func (s *simulation) sendFatal(b *simulatedBox, d Digest, c Caller) {
	v := b.guard.Admit(s.now, s.now, d, c)
	if v.Decision != Free && v.Decision != OnProbation {
		return
	}
	done := func() {
		if v.Decision == OnProbation {
			b.guard.Finish(d)
		}
	}
	s.attempt(b, d, c, s.attempts, v.Decision == OnProbation, done)
}

func (s *simulation) attempt(b *simulatedBox, d Digest, c Caller, left int, probation bool, done func()) {
	if left == 0 || left < s.attempts && (probation || !b.guard.MayRetry(s.now, s.now, d, c)) {
		done()
		return
	}
	s.runs = append(s.runs, run{s.now, !s.now.Before(b.unreachableUntil.Add(propagationTime))})
	s.targets++
	e := Crash{Request: d, Caller: c, Incarnation: fmt.Sprint("life", s.targets), Began: s.now}
	s.schedule(s.randomBetween(50*time.Millisecond, 400*time.Millisecond), func() {
		s.crashTimes = append(s.crashTimes, s.now)
		e.Ended = s.now
		s.schedule(s.randomBetween(100*time.Millisecond, 250*time.Millisecond), func() { s.recordCrash(b, e) })
		s.attempt(b, d, c, left-1, probation, done)
	})
}

func (s *simulation) recordCrash(b *simulatedBox, e Crash) {
	if b.guard.RecordCrash(s.now, e) {
		b.outbox.Add(s.now, Item{Crash: &e})
	}
}

// recordAnswer makes a box record a complete answer to a request.
func (s *simulation) recordAnswer(b *simulatedBox, d Digest, c Caller) {
	if b.guard.RecordAnswer(s.now, d, c) {
		b.outbox.Add(s.now, Item{Answer: &Answer{d, c, s.now}})
	}
}

// lateRuns counts the runs from reachable boxes that began later than propagationTime
// after the third crash.
func (s *simulation) lateRuns() (n int) {
	if len(s.crashTimes) < 3 {
		return 0
	}
	for _, r := range s.runs {
		if r.reachable && r.at.After(s.crashTimes[2].Add(propagationTime)) {
			n++
		}
	}
	return n
}

// Checks the bound on targets that a fatal request reaches, for any distribution over
// boxes, any rate, one or several callers and up to three attempts, while messages are lost,
// the leader changes, and boxes restart without state or are cut off.
func TestFatalRequestReachesFewTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.SampledFrom([]int{1, 2, 9, 60}).Draw(t, "boxes")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), boxes, rapid.IntRange(1, 5).Draw(t, "replicas"))
		s.attempts = rapid.IntRange(1, 3).Draw(t, "attempts")
		s.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lossy")
		every := rapid.IntRange(2, 600).Draw(t, "every")
		callers := rapid.IntRange(1, 3).Draw(t, "callers")
		faults := rapid.Bool().Draw(t, "troubled")
		request := Request{Method: "GET", Host: "a", Target: "/x"}.Digest()
		n := 0
		s.run(40*time.Second, func() {
			if n++; n%every == 0 {
				s.sendFatal(s.boxes[s.random.IntN(boxes)], request, CallerOf(fmt.Sprint(s.random.IntN(callers))))
			}
			if faults && s.random.Float64() < 0.002 {
				b := s.boxes[s.random.IntN(boxes)]
				b.unreachableUntil = s.now.Add(s.randomBetween(0, 2*time.Second))
				if s.random.Float64() < 0.5 {
					b.guard, b.outbox = NewGuard(), NewOutbox() // a restart; the box gets the list with the routes
				}
				s.sendList(b)
			}
			if faults && s.random.Float64() < 0.001 {
				s.leader = s.random.IntN(len(s.replicas))
			}
		})
		if late := s.lateRuns(); late > maxLateRuns {
			t.Fatalf("%d runs reached targets, %d of them later than %s after the third crash, want at most %d", len(s.runs), late, propagationTime, maxLateRuns)
		}
		if len(s.crashTimes) > 3 && every < 300 && len(s.list) == 0 {
			t.Fatalf("%d targets crashed and the list is empty", len(s.crashTimes))
		}
	})
}

// maxFalseQuarantine is how long a request that is answered may be quarantined when calls
// are lost: the crashes are reported, and the answers that clear them are lost twice.
const maxFalseQuarantine = 2 * (callTimeout + retryPause)

// Guards against a false quarantine of a popular request that runs at many targets when
// some of them crash at one moment, more than once: it is answered all the time and must
// not be quarantined. If a fifth of the calls to control and a fifth of their answers are
// lost, it may be for a moment, when both answers that would have cleared it were lost.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.SampledFrom([]int{1, 9, 60}).Draw(t, "boxes")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), boxes, rapid.IntRange(1, 3).Draw(t, "replicas"))
		s.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lossy")
		perStep := rapid.Float64Range(0.02, 1).Draw(t, "perStep")
		waves := rapid.IntRange(1, 3).Draw(t, "waves")
		request := Request{Method: "GET", Host: "a", Target: "/hot"}.Digest()
		type running struct {
			box   *simulatedBox
			crash Crash
		}
		var active []running
		refused := 0
		n := 0
		var quarantinedSince time.Time
		s.run(20*time.Second, func() {
			n++
			if s.random.Float64() < perStep {
				b := s.boxes[s.random.IntN(boxes)]
				c := CallerOf(fmt.Sprint(s.random.IntN(5)))
				v := b.guard.Admit(s.now, s.now, request, c)
				switch v.Decision {
				case Held:
					if quarantinedSince.IsZero() {
						quarantinedSince = s.now
					}
					if s.lossRate == 0 || s.now.Sub(quarantinedSince) > maxFalseQuarantine {
						t.Fatalf("quarantined after %s: %+v", s.now.Sub(s.start), v)
					}
					return
				case Busy:
					refused++
					return
				}
				quarantinedSince = time.Time{}
				s.targets++
				active = append(active, running{b, Crash{Request: request, Caller: c, Incarnation: fmt.Sprint("life", s.targets%24), Began: s.now}})
				if v.Decision == OnProbation {
					s.schedule(300*time.Millisecond, func() { b.guard.Finish(request) })
				}
			}
			wave := n%(2000/(waves+1)) == 0
			remaining := active[:0]
			for _, r := range active {
				switch {
				case wave && s.random.Float64() < 0.15:
					crash := r.crash
					crash.Ended = s.now
					s.schedule(s.randomBetween(100*time.Millisecond, 250*time.Millisecond), func() { s.recordCrash(r.box, crash) })
				case s.now.Sub(r.crash.Began) > 300*time.Millisecond:
					s.recordAnswer(r.box, request, r.crash.Caller)
				default:
					remaining = append(remaining, r)
				}
			}
			active = remaining
		})
		for _, e := range s.list {
			if e.Held && s.lossRate == 0 {
				t.Fatalf("quarantined: %+v", e)
			}
		}
	})
}
