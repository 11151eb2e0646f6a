package retry

import "time"

// Config is what is known of a request when it begins.
type Config struct {
	// Repeatable requests may run more than once.
	Repeatable  bool
	MaxAttempts int
	// HedgeAfter is the wait before a second attempt beside the first; zero
	// for none.
	HedgeAfter time.Duration
	Deadline   time.Time
}

// AttemptResult is how an attempt has ended.
type AttemptResult int

// The ends of an attempt.
const (
	// Answered: a complete answer is there.
	Answered AttemptResult = iota
	// NotRun: the target surely has not run it.
	NotRun
	// Failed: it may have run, and there is no answer.
	Failed
	// Refused: there was no slot for it; it has not run.
	Refused
)

// Verdict is the final state of a request.
type Verdict int

// The final states of a request.
const (
	Ran Verdict = iota + 1
	DidNotRun
	Unknown
)

// Output is what to carry out after an event.
type Output struct {
	// Launch asks for an attempt of this number, from 1; zero for none.
	Launch int
	// Cancel names attempts that are no longer wanted.
	Cancel []int
	// Final is the request's end, zero while it goes on. Attempt is the one
	// whose answer is the answer.
	Final   Verdict
	Attempt int
	// NextTick is when Tick is next needed; zero for never.
	NextTick time.Time
}

// Plan is the course of one request.
type Plan struct {
	config  Config
	budget  *Budget
	open    map[int]bool
	started int
	mayRun  bool
	done    bool
	hedgeAt time.Time
}

// NewPlan returns the plan of a request; Begin must follow.
func NewPlan(c Config, b *Budget) *Plan {
	return &Plan{config: c, budget: b, open: make(map[int]bool)}
}

// Begin starts the first attempt.
func (p *Plan) Begin(now time.Time) Output {
	p.budget.RecordFirst()
	if p.config.Repeatable && p.config.HedgeAfter > 0 {
		p.hedgeAt = now.Add(p.config.HedgeAfter)
	}
	return p.launch()
}

func (p *Plan) launch() Output {
	p.started++
	p.open[p.started] = true
	return Output{Launch: p.started, NextTick: p.wake()}
}

func (p *Plan) wake() time.Time {
	if p.hedgeAt.IsZero() || p.config.Deadline.Before(p.hedgeAt) {
		return p.config.Deadline
	}
	return p.hedgeAt
}

// Tick ends the request at its deadline and starts a hedge when it is due.
func (p *Plan) Tick(now time.Time) Output {
	if p.done {
		return Output{}
	}
	if !now.Before(p.config.Deadline) {
		return p.giveUp()
	}
	if p.hedgeAt.IsZero() || now.Before(p.hedgeAt) {
		return Output{NextTick: p.wake()}
	}
	p.hedgeAt = time.Time{}
	if len(p.open) != 1 || !p.mayLaunch(now) {
		return Output{NextTick: p.wake()}
	}
	return p.launch()
}

func (p *Plan) mayLaunch(now time.Time) bool {
	return p.started < p.config.MaxAttempts && now.Before(p.config.Deadline) && p.budget.Take()
}

// HandleResult takes the end of an attempt.
func (p *Plan) HandleResult(now time.Time, attempt int, end AttemptResult) Output {
	if p.done || !p.open[attempt] {
		return Output{}
	}
	delete(p.open, attempt)
	if end == Answered {
		out := p.finish(Ran)
		out.Attempt = attempt
		return out
	}
	if end == Failed {
		p.mayRun = true
	}
	if len(p.open) > 0 {
		return Output{NextTick: p.wake()}
	}
	again := end == NotRun || (end == Failed && p.config.Repeatable)
	if again && p.mayLaunch(now) {
		return p.launch()
	}
	out := p.giveUp()
	out.Attempt = attempt
	return out
}

// Abandon ends a request whose caller has left.
func (p *Plan) Abandon() Output {
	if p.done {
		return Output{}
	}
	return p.giveUp()
}

func (p *Plan) giveUp() Output {
	if p.mayRun || len(p.open) > 0 {
		return p.finish(Unknown)
	}
	return p.finish(DidNotRun)
}

func (p *Plan) finish(v Verdict) Output {
	p.done = true
	out := Output{Final: v}
	for n := 1; n <= p.started; n++ {
		if p.open[n] {
			out.Cancel = append(out.Cancel, n)
		}
	}
	return out
}
