package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/hedging"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
)

// The results of second attempts in metrics and logs.
const (
	secondWon         = "won"
	secondLost        = "lost"
	secondHeldByLimit = "heldByLimit"
	secondHeldByLoad  = "heldByLoad"
	// secondNoTarget: no other target can be used, or this box has lost its path to it.
	secondNoTarget = "noTarget"
)

// secondAttempts hosts the decisions on hedged attempts that are due by learned run times.
type secondAttempts struct {
	clock   *boottime.Clock
	started time.Time
	place   settings.Path

	mu      lockorder.Mutex
	planner *hedging.Planner
	tree    settings.Tree
	// settingsVersion is the version of tree, and shares what it says of services.
	settingsVersion uint64
	shares          map[string]float64
}

func newSecondAttempts(c Config, started time.Time) *secondAttempts {
	return &secondAttempts{
		clock: c.Clock, started: started, place: settings.Path{Region: c.Region, Zone: c.Zone},
		planner: hedging.NewPlanner(c.RetryWindow), shares: make(map[string]float64),
	}
}

// applySettings applies the settings tree of a state.
func (d *Daemon) applySettings(s steering.State) {
	a := d.secondAttempts
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.SettingsVersion() == a.settingsVersion {
		return
	}
	a.tree, a.settingsVersion = s.Tree(), s.SettingsVersion()
	clear(a.shares)
}

// share returns the largest share of a service's requests that may get a second attempt. The caller
// holds the lock.
func (a *secondAttempts) share(service string) float64 {
	share, ok := a.shares[service]
	if !ok {
		place := a.place
		place.Service = service
		share = float64(a.tree.Values(place).SecondAttemptShare) / 100
		a.shares[service] = share
	}
	return share
}

// dividesObjects reports whether the settings divide the objects of a service between the regions.
func (a *secondAttempts) dividesObjects(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	place := a.place
	place.Service = service
	return a.tree.Get(place, settings.LocalObjects) == "true"
}

// recordRequest records the first attempt of a request.
func (a *secondAttempts) recordRequest(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.RecordRequest(a.clock.Since(a.started), service, a.share(service))
}

// keepRoutes drops what was learned of all routes but the named ones.
func (a *secondAttempts) keepRoutes(names map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.KeepRoutes(names)
}

// delay returns after which time a second attempt is due for a run at a target.
func (a *secondAttempts) delay(service, route string, e hedging.Expectation) (delay time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.share(service) == 0 {
		return 0, false
	}
	return a.planner.Delay(route, e)
}

// decideSecond reports whether a second attempt may start now.
func (d *Daemon) decideSecond(service string) hedging.Suppression {
	d.balancing.Lock()
	load := d.balancing.balancer.ServiceLoad(service)
	left := d.retryBudget(service).EarnedLeft(d.clock.Since(d.started))
	d.balancing.Unlock()
	a := d.secondAttempts
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planner.Decide(a.clock.Since(a.started), hedging.Second{
		Service: service, Share: a.share(service), ServiceLoad: load, RetriesLeft: left,
	})
}

// secondAttempt is the state of the second attempt of a request.
type secondAttempt struct {
	// timer fires when the second attempt is due.
	timer *time.Timer
	// quantile is the learned run time, and delay the time after which the second attempt was due:
	// the quantile and the expected wait for a slot. Both are zero if none was planned.
	quantile time.Duration
	delay    time.Duration
	started  bool
	won      bool
	// heldBy is why an attempt that was due was not started; empty for none.
	heldBy string
}

func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// expectation returns what is expected of the target of a choice.
func (c *callerRequest) expectation(choice balance.Choice) hedging.Expectation {
	switch {
	case c.affinityKey() == "":
		return hedging.Alike
	case choice.Home:
		return hedging.Known
	}
	return hedging.Unknown
}

// mayHaveSecond reports whether the request may get a second attempt beside its only pending one.
// After an attempt that may have run the request there is none, so that no request follows one that
// failed to a target of the same version.
func (c *callerRequest) mayHaveSecond() bool {
	return c.route.Repeat == catalog.Repeatable && len(c.pending) == 1 && !c.second.started && !c.mayHaveRun && c.canHedge()
}

// armSecondTimer sets the timer of the second attempt for the attempt that was started last.
func (c *callerRequest) armSecondTimer() {
	c.second.timer.Stop()
	if !c.mayHaveSecond() {
		return
	}
	first := c.pending[0]
	quantile, known := c.gateway.secondAttempts.delay(c.service, c.route.Name, c.expectation(first.choice.Choice))
	delay := quantile + first.choice.ExpectedWait
	if !known || delay >= first.choice.HedgeDelay {
		return
	}
	c.second.quantile, c.second.delay = quantile, delay
	c.second.timer.Reset(max(c.gateway.clock.Until(first.startedAt.Add(delay)), 0))
}

// startSecondAttempt starts a second attempt beside the pending one if that is allowed. It doesn't
// mark the target of the first as overdue: a run that is longer than most says little about it.
func (c *callerRequest) startSecondAttempt(ctx context.Context) {
	if ctx.Err() != nil || !c.mayHaveSecond() {
		return
	}
	if reason := c.gateway.decideSecond(c.service); reason != hedging.NotSuppressed {
		c.holdSecond(map[hedging.Suppression]string{hedging.ByLimit: secondHeldByLimit, hedging.ByLoad: secondHeldByLoad}[reason])
		return
	}
	if !c.obtainPermitForAnother() {
		c.holdSecond(secondHeldByLimit)
		return
	}
	choice, err := c.choosePermittedTarget(ctx, 0)
	if err != nil {
		c.holdSecond(secondNoTarget)
		return
	}
	if reason := c.checkSecondTarget(choice); reason != "" {
		c.release(choice)
		c.holdSecond(reason)
		return
	}
	if !c.gateway.takeSecond(c.service) {
		c.release(choice)
		c.holdSecond(secondHeldByLimit)
		return
	}
	c.second.started = true
	c.startAttempt(ctx, choice)
	c.pending[len(c.pending)-1].isSecond = true
	c.armHedgeTimer() // the attempt before it becomes overdue when it would have without this one
}

// takeSecond takes a second attempt from the retry budget and from the limit, if both allow it. Other
// requests may have used them since decideSecond.
func (d *Daemon) takeSecond(service string) bool {
	if !d.takeRetry(service) {
		return false
	}
	a := d.secondAttempts
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.planner.Take(a.clock.Since(a.started), service)
}

// checkSecondTarget returns why a second attempt would be useless at a target; empty if it is not.
func (c *callerRequest) checkSecondTarget(choice permittedChoice) string {
	if cutOff, _ := c.gateway.connections.paths.stateOf(choice.Target.Zone); cutOff {
		return secondNoTarget
	}
	a := c.gateway.secondAttempts
	a.mu.Lock()
	defer a.mu.Unlock()
	first := c.expectation(c.pending[0].choice.Choice)
	if a.planner.WaitsTooLong(c.route.Name, first, choice.ExpectedWait, c.gateway.clock.Until(c.deadline)) {
		return secondHeldByLoad
	}
	return ""
}

// holdSecond records that a second attempt that was due was not started.
func (c *callerRequest) holdSecond(reason string) {
	c.second.heldBy = reason
	c.gateway.metrics.secondAttempts.WithLabelValues(reason).Inc()
}

// finishSecondAttempt counts the result of the second attempt once the request has ended.
func (c *callerRequest) finishSecondAttempt() {
	c.second.timer.Stop()
	if c.second.started {
		c.gateway.metrics.secondAttempts.WithLabelValues(c.second.result()).Inc()
	}
}

// result returns the result of the second attempt; empty if none was due.
func (s *secondAttempt) result() string {
	switch {
	case s.won:
		return secondWon
	case s.started:
		return secondLost
	}
	return s.heldBy
}

// observeRun records the time of an attempt that has ended.
func (c *callerRequest) observeRun(e attemptEnd, r balance.Report) {
	if c.route.Repeat != catalog.Repeatable {
		return
	}
	unfinished := e.failure != nil && e.failure.sent && (r.Outcome == balance.Dropped || r.Outcome == balance.Stuck)
	if !unfinished && (r.Outcome != balance.Answered || r.Failed) {
		return
	}
	a := c.gateway.secondAttempts
	a.mu.Lock()
	defer a.mu.Unlock()
	a.planner.ObserveRun(a.clock.Since(a.started), hedging.Run{
		Route: c.route.Name, Objective: c.route.Objective, Expected: c.expectation(e.choice.Choice), Took: e.took, Unfinished: unfinished,
	})
}

// addSecondAttempt adds when a second attempt was due and its result to the line of a request.
func (c *callerRequest) addSecondAttempt(line *zerolog.Event) *zerolog.Event {
	if result := c.second.result(); result != "" {
		line = line.Dur("hedgeDelay", c.second.delay).Dur("hedgeQuantile", c.second.quantile).Str("secondAttempt", result)
	}
	return line
}
