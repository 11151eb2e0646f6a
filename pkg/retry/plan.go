package retry

import "time"

// Config holds the parameters of a request.
type Config struct {
	// Repeatable is true if the request may run more than once.
	Repeatable  bool
	MaxAttempts int
	// HedgeAfter is the delay after which a second attempt starts while the first is still
	// running; zero disables hedging.
	HedgeAfter time.Duration
	Deadline   time.Time
}

// AttemptResult is the result of an attempt.
type AttemptResult int

// The results of an attempt.
const (
	// Answered: there is a complete answer.
	Answered AttemptResult = iota
	// NotRun: the target has certainly not run the request.
	NotRun
	// Failed: there is no answer, and the target may have run the request.
	Failed
	// Refused: there was no slot for the request, so it did not run.
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

// Output lists the actions to carry out after an event.
type Output struct {
	// Launch is the number of an attempt to start, counted from 1; zero for none.
	Launch int
	// Cancel lists the attempts that are no longer needed.
	Cancel []int
	// Final is the final state of the request, zero while it is running. Attempt is the
	// attempt whose answer is returned.
	Final   Verdict
	Attempt int
	// NextTick is when Tick must be called next; zero for never.
	NextTick time.Time
}

// Plan drives the attempts of one request.
type Plan struct {
	config     Config
	budget     *Budget
	running    map[int]bool
	launched   int
	mayHaveRun bool
	done       bool
	hedgeAt    time.Time
}

// NewPlan returns the plan of a request. Begin must be called next.
func NewPlan(c Config, b *Budget) *Plan {
	return &Plan{config: c, budget: b, running: make(map[int]bool)}
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
	p.launched++
	p.running[p.launched] = true
	return Output{Launch: p.launched, NextTick: p.nextTick()}
}

func (p *Plan) nextTick() time.Time {
	if p.hedgeAt.IsZero() || p.config.Deadline.Before(p.hedgeAt) {
		return p.config.Deadline
	}
	return p.hedgeAt
}

// Tick ends the request at its deadline, and starts a hedged attempt when it is due.
func (p *Plan) Tick(now time.Time) Output {
	if p.done {
		return Output{}
	}
	if !now.Before(p.config.Deadline) {
		return p.giveUp()
	}
	if p.hedgeAt.IsZero() || now.Before(p.hedgeAt) {
		return Output{NextTick: p.nextTick()}
	}
	p.hedgeAt = time.Time{}
	if len(p.running) != 1 || !p.mayLaunch(now) {
		return Output{NextTick: p.nextTick()}
	}
	return p.launch()
}

func (p *Plan) mayLaunch(now time.Time) bool {
	return p.launched < p.config.MaxAttempts && now.Before(p.config.Deadline) && p.budget.Take()
}

// HandleResult processes the result of an attempt.
func (p *Plan) HandleResult(now time.Time, attempt int, result AttemptResult) Output {
	if p.done || !p.running[attempt] {
		return Output{}
	}
	delete(p.running, attempt)
	if result == Answered {
		out := p.finish(Ran)
		out.Attempt = attempt
		return out
	}
	if result == Failed {
		p.mayHaveRun = true
	}
	if len(p.running) > 0 {
		return Output{NextTick: p.nextTick()}
	}
	again := result == NotRun || (result == Failed && p.config.Repeatable)
	if again && p.mayLaunch(now) {
		return p.launch()
	}
	out := p.giveUp()
	out.Attempt = attempt
	return out
}

// Abandon ends a request whose caller has disconnected.
func (p *Plan) Abandon() Output {
	if p.done {
		return Output{}
	}
	return p.giveUp()
}

func (p *Plan) giveUp() Output {
	if p.mayHaveRun || len(p.running) > 0 {
		return p.finish(Unknown)
	}
	return p.finish(DidNotRun)
}

func (p *Plan) finish(v Verdict) Output {
	p.done = true
	out := Output{Final: v}
	for n := 1; n <= p.launched; n++ {
		if p.running[n] {
			out.Cancel = append(out.Cancel, n)
		}
	}
	return out
}
