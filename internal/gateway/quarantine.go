package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// lookPause is between the two looks at a target that broke a connection. A full
	// target resets new connections for a moment; one that has ended refuses them until
	// it starts again, which takes it seconds.
	lookPause = 100 * time.Millisecond
	// maxBroken bounds the broken runs that wait to be looked at, and maxLooks the targets
	// looked at at once: more break together only where the network does.
	maxBroken = 256
	maxLooks  = 64
	// tellPause gathers what is told to control: the runs of one target end together.
	tellPause = 20 * time.Millisecond
	// tellTries is how often a replica is told, with tellRetry between. What is lost
	// then is found again when the request ends its next target.
	tellTries = 3
	tellRetry = 300 * time.Millisecond
	// maxTold bounds what is told at once: 256 of some 60 bytes are 15 KB for each replica.
	maxTold = 256
)

// brokenRun is a run whose connection broke after the request was sent.
type brokenRun struct {
	end     quarantine.End
	address string
	request string
}

// looked is what a look at a target gave.
type looked struct {
	life  string
	ended bool
	err   error
}

// isolation keeps requests from targets that end each target that runs them. Its loop
// finds out whether targets whose connections broke have ended, and tells control.
type isolation struct {
	// dial opens a connection to a target, leaving tells targets that end as planned, and
	// tell hands evidence to control.
	dial    func(ctx context.Context, address string) (net.Conn, error)
	leaving func(life string) bool
	tell    func(ctx context.Context, e *wire.Evidence) error
	// ended and noted are told of what was found out, for log and metrics.
	ended func(r brokenRun)
	noted func(l looked)

	broken chan brokenRun
	due    chan struct{}
	// idle tells that nothing is known of any request.
	idle atomic.Bool

	mu      sync.Mutex
	guard   *quarantine.Guard
	ends    []quarantine.End
	answers []runAnswer
}

// runAnswer is an answer to a suspected request.
type runAnswer struct {
	request quarantine.Digest
	caller  quarantine.Caller
	at      time.Time
}

func newIsolation() *isolation {
	i := &isolation{guard: quarantine.NewGuard(), broken: make(chan brokenRun, maxBroken), due: make(chan struct{}, 1)}
	i.idle.Store(true)
	return i
}

// run finds out which targets have ended until the context ends.
func (i *isolation) run(ctx context.Context) error {
	looks := make(chan looked)
	pending := make(map[string][]brokenRun)
	told := make(chan error)
	telling := 0
	var running sync.WaitGroup
	defer running.Wait()
	forget := time.NewTicker(quarantine.Memory / 10)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-i.broken:
			life := r.end.Life
			if len(pending[life]) > 0 {
				pending[life] = append(pending[life], r)
				continue
			}
			if len(pending) >= maxLooks {
				continue
			}
			pending[life] = []brokenRun{r}
			running.Go(func() { report(ctx, looks, i.look(ctx, life, r.address)) })
		case l := <-looks:
			i.take(l, pending[l.life])
			delete(pending, l.life)
		case <-i.due:
			if telling > 0 {
				continue // told with the next
			}
			if e := i.gathered(boottime.Now()); e != nil {
				telling++
				running.Go(func() { report(ctx, told, i.tell(ctx, e)) })
			}
		case <-told:
			telling--
			i.wake()
		case <-forget.C:
			i.forget(boottime.Now())
		}
	}
}

// report sends what a goroutine has come to, unless its owner has gone.
func report[T any](ctx context.Context, out chan<- T, result T) {
	select {
	case out <- result:
	case <-ctx.Done():
	}
}

// look finds out whether a target has ended: it refuses connections twice.
func (i *isolation) look(ctx context.Context, life, address string) looked {
	if i.leaving(life) {
		return looked{life: life}
	}
	for n := range 2 {
		if n > 0 {
			pause(ctx, lookPause)
		}
		dialing, cancel := context.WithTimeout(ctx, dialTimeout)
		c, err := i.dial(dialing, address)
		cancel()
		if err == nil {
			_ = c.Close() // nothing was sent on it
			return looked{life: life}
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return looked{life: life, err: err}
		}
	}
	return looked{life: life, ended: !i.leaving(life)}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// take takes what a look at a target gave for the runs that broke there.
func (i *isolation) take(l looked, runs []brokenRun) {
	i.noted(l)
	if !l.ended {
		return
	}
	for _, r := range runs {
		i.mu.Lock()
		news := i.guard.Ended(boottime.Now(), r.end)
		i.idle.Store(i.guard.IsIdle())
		if news && len(i.ends) < maxTold {
			i.ends = append(i.ends, r.end)
		}
		i.mu.Unlock()
		if news {
			i.ended(r)
		}
	}
	i.wake()
}

// broke takes a run whose connection broke after the request was sent.
func (i *isolation) broke(r brokenRun) {
	select {
	case i.broken <- r:
	default: // where so many break at once the network does
	}
}

// answered takes a whole answer to a request.
func (i *isolation) answered(d quarantine.Digest, c quarantine.Caller) {
	now := boottime.Now()
	i.mu.Lock()
	tell := i.guard.Answered(now, d, c)
	if tell && len(i.answers) < maxTold {
		i.answers = append(i.answers, runAnswer{d, c, now})
	}
	i.idle.Store(i.guard.IsIdle())
	i.mu.Unlock()
	if tell {
		i.wake()
	}
}

func (i *isolation) wake() {
	select {
	case i.due <- struct{}{}:
	default:
	}
}

// gathered returns what is to be told, or nil.
func (i *isolation) gathered(now time.Time) *wire.Evidence {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.ends)+len(i.answers) == 0 {
		return nil
	}
	out := &wire.Evidence{}
	for _, e := range i.ends {
		out.Ends = append(out.Ends, &wire.RunEnd{
			Digest: e.Request[:], Caller: uint64(e.Caller), Life: e.Life, Route: e.Route, Service: e.Service,
			BeganAgoMilli: now.Sub(e.Began).Milliseconds(), EndedAgoMilli: now.Sub(e.Ended).Milliseconds(),
		})
	}
	for _, a := range i.answers {
		out.Answers = append(out.Answers, &wire.RunAnswer{Digest: a.request[:], Caller: uint64(a.caller), EndedAgoMilli: now.Sub(a.at).Milliseconds()})
	}
	i.ends, i.answers = nil, nil
	return out
}

func (i *isolation) setList(list []quarantine.Entry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.SetList(list)
	i.idle.Store(i.guard.IsIdle())
}

func (i *isolation) forget(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Forget(now)
	i.idle.Store(i.guard.IsIdle())
}

func (i *isolation) suspects() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Suspects()
}

func (i *isolation) admit(d quarantine.Digest, c quarantine.Caller) quarantine.Verdict {
	now, wall := boottime.Now(), time.Now() // time of day: the list tells by it until when it holds
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Admit(now, wall, d, c)
}

func (i *isolation) finish(d quarantine.Digest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Finish(d)
}

func (i *isolation) mayRepeat(d quarantine.Digest, c quarantine.Caller) bool {
	now, wall := boottime.Now(), time.Now() // time of day: the list tells by it until when it holds
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.MayRepeat(now, wall, d, c)
}

// connectIsolation gives the isolation its ways out.
func (d *Daemon) connectIsolation() {
	d.isolation.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return d.connections.dial(ctx, "tcp4", address)
	}
	d.isolation.leaving = d.isLeaving
	d.isolation.tell = d.tellEvidence
	d.isolation.noted = func(l looked) {
		d.metrics.looks.WithLabelValues(lookName(l)).Inc()
	}
	d.isolation.ended = d.noteEnded
}

func lookName(l looked) string {
	switch {
	case l.ended:
		return "ended"
	case l.err != nil:
		return "unknown"
	}
	return "serves"
}

// tellEvidence tells all control replicas: any may lead, now or next.
func (d *Daemon) tellEvidence(ctx context.Context, e *wire.Evidence) error {
	pause(ctx, tellPause)
	var running sync.WaitGroup
	for _, address := range d.controls.all() {
		running.Go(func() {
			for range tellTries {
				if d.tellReplica(ctx, address, e) == nil || ctx.Err() != nil {
					return
				}
				pause(ctx, tellRetry)
			}
			d.metrics.evidenceLost.Inc()
		})
	}
	running.Wait()
	return ctx.Err()
}

func (d *Daemon) tellReplica(ctx context.Context, address string, e *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	_, err := d.node.Call(ctx, address, &wire.CallRequest{Evidence: e})
	return err
}

func (d *Daemon) noteEnded(r brokenRun) {
	d.metrics.endedRuns.Inc()
	if !d.otherLines.Take(boottime.Now()) {
		return
	}
	d.log.Warn().Str("kind", "targetEnded").Str("request", r.request).Str("digest", r.end.Request.String()).
		Str("target", r.end.Life).Str("route", r.end.Route).Str("service", r.end.Service).
		Dur("ran", r.end.Ended.Sub(r.end.Began)).Msg("a target ended while it ran a request")
}

// putQuarantine takes the requests that are watched or held.
func (d *Daemon) putQuarantine(list []*wire.Quarantined, version uint64) {
	entries := quarantine.EntriesOf(list)
	d.isolation.setList(entries)
	held := 0
	for _, e := range entries {
		if e.Held {
			held++
		}
	}
	d.metrics.held.Set(float64(held))
	line := d.log.Info().Str("kind", "quarantine").Int("held", held).Int("watched", len(entries)-held).
		Uint64("stateVersion", version).Dur("controlAge", d.following.Age())
	if n := len(entries); n > 0 {
		line = line.Str("latestDigest", entries[n-1].Request.String()).Bool("latestHeld", entries[n-1].Held)
	}
	line.Msg("quarantined requests in force")
}

// identity is what a request is known by when it comes again.
type identity struct {
	digest quarantine.Digest
	caller quarantine.Caller
}

// identity works out the digests of the request; it takes a microsecond and one for each
// 2 KB of the body (BenchmarkDigest of package quarantine).
func (c *call) identity() identity {
	if c.known != nil {
		return *c.known
	}
	r := quarantine.Request{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI,
		Length: c.body.length, Body: c.body.data,
	}
	c.known = &identity{r.Digest(), quarantine.CallerOf(c.callerName())}
	return *c.known
}

// callerName is what tells callers apart that ask for the same: the workspace, or the
// address where there is none.
func (c *call) callerName() string {
	if c.workspace != nil {
		return c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.request.RemoteAddr)
	if err != nil {
		return c.request.RemoteAddr
	}
	return host
}

// passQuarantine reports whether the request may reach a target; if not, it has been
// answered: it has not run, and comes back in vain before it is let go. It costs nothing
// while nothing is known of any request.
func (c *call) passQuarantine() bool {
	if c.gateway.isolation.idle.Load() {
		return true
	}
	if !c.takeBody() {
		return false
	}
	id := c.identity()
	v := c.gateway.isolation.admit(id.digest, id.caller)
	switch v.Decision {
	case quarantine.OnProbation:
		c.probation = true
	case quarantine.Busy, quarantine.Held:
		c.verdict = &v
		c.refuse(v.Decision.String(), v.Wait)
		return false
	}
	return true
}

// takeBody reads the body if that has not been done, and reports whether it is there; if
// not, the caller has been answered.
func (c *call) takeBody() bool {
	if c.body != nil {
		return true
	}
	var err error
	if c.body, err = readBody(c.request); err != nil {
		c.fail(http.StatusBadRequest, "bodyBroken", err)
		return false
	}
	return true
}

func (c *call) leaveQuarantine() {
	if c.probation {
		c.gateway.isolation.finish(c.known.digest)
	}
}

// mayRepeat reports whether the request may go to a further target as far as targets
// that ended under it are concerned.
func (c *call) mayRepeat() bool {
	if c.gateway.isolation.idle.Load() {
		return true
	}
	id := c.identity()
	return !c.probation && c.gateway.isolation.mayRepeat(id.digest, id.caller)
}

// noteBroken takes that the connection of an attempt broke: its target may have ended.
func (c *call) noteBroken(e attemptEnd) {
	id := c.identity()
	now := boottime.Now()
	c.gateway.isolation.broke(brokenRun{
		end: quarantine.End{
			Request: id.digest, Caller: id.caller, Life: e.choice.Target.ID, Route: c.route.Name, Service: c.service,
			Began: e.began, Ended: now,
		},
		address: e.choice.Target.Address,
		request: c.id,
	})
}

// noteWhole takes that a target gave a whole answer.
func (c *call) noteWhole() {
	if c.gateway.isolation.idle.Load() {
		return
	}
	id := c.identity()
	c.gateway.isolation.answered(id.digest, id.caller)
}

// otherTargets are the targets that got the request besides the last one, and what became
// of it there.
func (c *call) otherTargets() []string {
	var out []string
	for _, r := range c.records {
		name := r.target.ID + " " + r.outcome.String()
		if r.target.ID != c.last.target.ID && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
