package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// rolloutResult is the result of one roll-out.
type rolloutResult struct {
	completed, rolledBack bool
	// badAnswers are the bad responses until the version got nothing more, and overShare is set if it
	// got more than its share before that.
	badAnswers int
	overShare  bool
	// lateAfter50th is how long after its 50th bad response the version got its last request.
	lateAfter50th time.Duration
}

// simTarget is a simulated target.
type simTarget struct {
	name    string
	version string
	speed   float64
	grey    bool
	cached  []bool // by route and object
}

// rolloutSim simulates one roll-out.
type rolloutSim struct {
	random   *rand.Rand
	fault    versionFault
	boxes    []*rollout.Splitter
	applied  []time.Duration // when each box applies the latest step
	targets  map[string][]*simTarget
	state    *wire.Rollout
	judge    *rollout.Judge
	reported []map[string]rollout.Counts
	objects  map[string]*rollout.ObjectSet
	stepAt   time.Duration
	pending  responseQueue

	result       rolloutResult
	toTarget     int
	all          int
	fiftiethAt   time.Duration
	lastToTarget time.Duration
}

// simResponse is a response that arrives later.
type simResponse struct {
	at       time.Duration
	box      int
	response rollout.Response
	lost     bool
	bad      bool
	// cached is set when the target has responded and thus cached the object.
	cached *bool
}

// responseQueue is a binary heap of responses, the next one first.
type responseQueue []simResponse

func (q *responseQueue) push(r simResponse) {
	*q = append(*q, r)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if h[up].at <= h[i].at {
			return
		}
		h[up], h[i] = h[i], h[up]
		i = up
	}
}

func (q *responseQueue) pop() simResponse {
	h := *q
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	for i := 0; ; {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(h) && h[child].at < h[least].at {
				least = child
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*q = h
	return first
}

func newRolloutSim(boxes int, f versionFault, seed uint64) *rolloutSim {
	s := &rolloutSim{
		random: rand.New(rand.NewPCG(seed, 3)), fault: f, judge: rollout.NewJudge(),
		applied: make([]time.Duration, boxes), reported: make([]map[string]rollout.Counts, boxes),
		targets: make(map[string][]*simTarget), objects: make(map[string]*rollout.ObjectSet),
	}
	order, err := rollout.NewOrder("s", "v2", rolloutLength, rolloutShare, time.Unix(0, 0))
	if err != nil {
		panic(err) // the constants above are valid
	}
	s.state = order.Rollout
	s.state.Number, s.state.PreviousVersions = 1, []string{"v1"}
	for i := range boxes {
		s.boxes = append(s.boxes, rollout.NewSplitter(time.Unix(0, 0), s.state))
		s.reported[i] = make(map[string]rollout.Counts)
	}
	for _, version := range []string{"v1", "v2"} {
		for i := range max(boxes, 8) {
			t := &simTarget{name: fmt.Sprint(version, "-", i), version: version, speed: 0.7 + 0.6*s.random.Float64(), cached: make([]bool, rolloutRoutes*rolloutObjects)}
			for o := range t.cached {
				t.cached[o] = version == "v1" && s.random.Float64() < 0.95
			}
			t.grey = i == 0 && (version == "v2" && f.greyTarget || version == "v1" && f.greyPrevious)
			s.targets[version] = append(s.targets[version], t)
		}
	}
	return s
}

func (s *rolloutSim) run() rolloutResult {
	interval := time.Second / time.Duration(rolloutRequestRate*len(s.boxes))
	nextTick := time.Duration(0)
	for now := time.Duration(0); now < rolloutLength+10*time.Second; now += interval {
		for len(s.pending) > 0 && s.pending[0].at <= now {
			s.receive(s.pending.pop())
		}
		if now >= nextTick {
			nextTick += rolloutTick
			s.tick(now)
		}
		if s.state.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING && now-s.stepAt > 5*time.Second {
			break
		}
		s.send(now)
		if s.isBurst(now) {
			s.send(now)
		}
	}
	if s.fiftiethAt > 0 {
		s.result.lateAfter50th = s.lastToTarget - s.fiftiethAt
	}
	return s.result
}

func (s *rolloutSim) isBurst(now time.Duration) bool {
	return s.fault.burst && now > 8*time.Second && now < 14*time.Second
}

// send sends one request of a random box, route and object. A quarter of the objects get most of the
// requests.
func (s *rolloutSim) send(now time.Duration) {
	box := s.random.IntN(len(s.boxes))
	at := time.Unix(0, 0).Add(now)
	if s.applied[box] <= now {
		s.boxes[box] = s.boxes[box].Update(at, s.state)
	}
	route := s.random.IntN(rolloutRoutes)
	object := int(math.Pow(s.random.Float64(), 3) * rolloutObjects)
	key := fmt.Sprint(route, "/", object)
	hash := xxhash.Sum64String(key)
	c := s.boxes[box].Candidates(at, rollout.Request{KeyHash: hash, HasKey: true})
	version := "v1"
	if c.First.Contains("v2") {
		version = "v2"
	}
	t := s.targets[version][hash%uint64(len(s.targets[version]))]
	s.boxes[box].RecordSent(version)
	s.all++
	if version == "v2" {
		s.toTarget++
		s.lastToTarget = now
		undecided := s.state.Phase == wire.RolloutPhase_ROLLOUT_PHASE_RUNNING && s.state.Share < 0.5
		if undecided && float64(s.toTarget) > rolloutShare*float64(s.all)+rolloutSlack {
			s.result.overShare = true
		}
	}
	s.respond(now, box, t, route, object, key)
}

// respond draws the response of a target.
func (s *rolloutSim) respond(now time.Duration, box int, t *simTarget, route, object int, key string) {
	took := float64(rolloutBaseTime) * t.speed * math.Exp(0.3*s.random.NormFloat64())
	if t.cached[route*rolloutObjects+object] {
		took *= cachedPart
	}
	if s.isBurst(now) {
		took *= 1.5 + s.random.Float64()
	}
	cold := t.version == "v2" && now < rolloutWarmup
	if cold {
		took *= 2
	}
	bad, failed := false, t.grey && s.random.Float64() < 0.5
	if t.version == "v2" && s.isFaulty(now, route) {
		if s.random.Float64() < s.fault.failing {
			bad, failed = true, true
		}
		if s.random.Float64() < s.fault.slowing {
			bad = true
			took *= s.fault.factor
		}
	}
	s.pending.push(simResponse{at: now + time.Duration(took), box: box, bad: bad, cached: &t.cached[route*rolloutObjects+object], lost: s.random.Float64() < s.fault.lost, response: rollout.Response{
		Route: fmt.Sprint(route), Version: t.version, Target: t.name, AffinityKey: key, Took: time.Duration(took),
		UsualTime: time.Duration(cachedPart * float64(rolloutBaseTime)), Failed: failed, Cold: cold,
	}})
}

func (s *rolloutSim) isFaulty(now time.Duration, route int) bool {
	f := s.fault
	return now >= f.from && (f.route < 0 || f.route == route) && (!f.onlyLoad || s.isBurst(now))
}

func (s *rolloutSim) receive(r simResponse) {
	*r.cached = true
	if r.bad {
		s.result.badAnswers++
		if s.result.badAnswers == rolloutSlack {
			s.fiftiethAt = r.at
		}
	}
	if r.lost {
		return
	}
	s.boxes[r.box].RecordReached()
	s.boxes[r.box].RecordResponse(time.Unix(0, 0).Add(r.at), r.response, len(s.targets["v2"]))
}

// tick passes reports of half of the boxes to the leader, as each reports every second tick or so, and
// carries out the leader's next command.
func (s *rolloutSim) tick(now time.Duration) {
	if s.state.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		return
	}
	at := time.Unix(0, 0).Add(now)
	states := make([]rollout.BoxState, 0, len(s.boxes))
	for i, b := range s.boxes {
		states = append(states, rollout.BoxState{Applied: s.applied[i] <= now-rolloutReportLag})
		if s.random.Float64() > float64(rolloutTick)/float64(rolloutReportLag) {
			continue
		}
		for _, m := range b.Report(0).Routes {
			counts := rollout.CountsOf(m)
			added := counts.Since(s.reported[i][m.Route])
			s.reported[i][m.Route] = counts
			if s.objects[m.Route] == nil {
				s.objects[m.Route] = &rollout.ObjectSet{}
			}
			before := s.objects[m.Route].Count()
			s.objects[m.Route].Union(m.Objects)
			added.Objects = s.objects[m.Route].Count() - before
			s.judge.Add(at, m.Route, added)
		}
	}
	slots := 4 * len(s.targets["v2"])
	situation := rollout.Situation{
		Rollout: s.state, Elapsed: now, StepElapsed: now - s.stepAt, Boxes: states, ReportValidity: 2 * time.Second, ReportsFor: time.Minute,
		Capacity: rollout.Capacity{WarmTarget: slots, Target: slots, Previous: slots}, Responses: s.judge.Sum(), Objective: rolloutBaseTime,
	}
	if f, bad := s.judge.Finding(at, len(s.targets["v2"]), rollout.ControlThreshold); bad {
		situation.Finding = &f
	}
	if c := rollout.Next(situation); c != nil {
		s.apply(now, c)
	}
}

func (s *rolloutSim) apply(now time.Duration, c *wire.RolloutCommand) {
	next := &wire.Rollout{
		Service: "s", TargetVersion: "v2", Number: 1, Step: s.state.Step + 1, DurationMilli: s.state.DurationMilli, PreviousVersions: []string{"v1"},
		Share: c.Rollout.Share, PreviousClosed: c.Rollout.PreviousClosed,
	}
	switch c.Action {
	case wire.RolloutCommand_ACTION_COMPLETE:
		next.Phase = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED
		s.result.completed = true
	case wire.RolloutCommand_ACTION_ROLL_BACK:
		next.Phase = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
		s.result.rolledBack = true
	}
	s.state, s.stepAt = next, now
	for i := range s.applied {
		s.applied[i] = now + rolloutReportLag + time.Duration(s.random.Float64()*float64(rolloutApplyLag))
	}
}
