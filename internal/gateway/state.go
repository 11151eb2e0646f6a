package gateway

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// putInForce takes the next state from control.
func (d *Daemon) putInForce(s steering.State, _ []*wire.Command) {
	c := s.Catalog()
	d.putRoutes(c, s.Version())
	d.putTargets(c, s.Version())
}

func (d *Daemon) putRoutes(c catalog.State, version uint64) {
	text := c.Document()
	if text == nil {
		return
	}
	before := d.rules.Load()
	if before != nil && before.document.Number == text.Number {
		d.rules.Store(&inForce{document: before.document, version: version, urgent: before.urgent})
		return
	}
	document, err := d.config.DecodeRoutes(text.Text)
	if err != nil {
		d.log.Error().Str("kind", "routes").Uint64("number", text.Number).Err(err).Msg("can't read the document of routes; the one before stays in force")
		return
	}
	next := &inForce{document: document, version: version, urgent: mostUrgent(document)}
	d.balancing.Lock()
	for _, s := range document.Services {
		d.balancing.balancer.SetCold(s.Name, balance.ColdLimit{Time: s.ColdTime, Rate: s.ColdRate})
	}
	clear(d.balancing.shares)
	d.balancing.Unlock()
	d.rules.Store(next)
	d.log.Info().Str("kind", "routes").Uint64("number", document.Number).Uint64("stateVersion", version).
		Dur("controlAge", d.following.Age()).Msg("document of routes in force")
}

// mostUrgent returns the highest rank of a document's routes, where it has
// several ranks; else no route is urgent.
func mostUrgent(document catalog.Document) int {
	var ranks []int
	for _, h := range document.Hosts {
		for _, r := range h.Routes {
			ranks = append(ranks, r.Priority)
		}
	}
	if len(ranks) == 0 || slices.Min(ranks) == slices.Max(ranks) {
		return -1
	}
	return slices.Min(ranks)
}

func (d *Daemon) putTargets(c catalog.State, version uint64) {
	targets := make([]balance.Target, 0, len(c.Targets()))
	draining := 0
	for _, r := range c.Targets() {
		targets = append(targets, balance.Target{
			ID:       r.Id,
			Service:  r.Service,
			Address:  r.Address,
			Zone:     r.Zone,
			Region:   d.config.RegionOf[r.Zone],
			Slots:    int(r.Slots),
			Draining: r.Draining,
			Cold:     r.ColdMilli > 0,
			ColdLeft: time.Duration(r.ColdMilli) * time.Millisecond,
		})
		if r.Draining {
			draining++
		}
	}
	now := time.Now()
	d.balancing.Lock()
	d.balancing.balancer.SetTargets(now, targets)
	d.balancing.balancer.SetEvacuated(now, c.Evacuated())
	d.balancing.Unlock()
	d.log.Info().Str("kind", "targets").Int("targets", len(targets)).Int("draining", draining).Strs("evacuated", c.Evacuated()).
		Uint64("stateVersion", version).Dur("controlAge", d.following.Age()).Msg("targets in force")
}

// knows reports whether a target is registered.
func (d *Daemon) knows(target string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.Knows(target)
}

// setBoxes takes the entry boxes that serve.
func (d *Daemon) setBoxes(boxes []*wire.EntryBox) {
	out := make([]balance.Box, 0, len(boxes))
	for _, b := range boxes {
		out = append(out, balance.Box{Name: b.Name, Region: b.Region})
	}
	d.balancing.Lock()
	d.balancing.balancer.SetBoxes(out)
	d.balancing.boxes = len(out)
	d.balancing.Unlock()
	d.log.Info().Str("kind", "entryBoxes").Int("boxes", len(out)).Msg("entry boxes that serve")
}

func (d *Daemon) choose(r balance.Request) (balance.Choice, error) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.Choose(time.Now(), r)
}

func (d *Daemon) done(r balance.Report) {
	d.metrics.attempts.WithLabelValues(r.Outcome.String()).Inc()
	d.balancing.Lock()
	change := d.balancing.balancer.Done(time.Now(), r)
	d.balancing.Unlock()
	d.noteTarget(change, r)
}

// noteTarget tells that a target was lost or is back.
func (d *Daemon) noteTarget(change balance.Change, r balance.Report) {
	if change == balance.Unchanged || !d.otherLines.take(time.Now()) {
		return
	}
	line := d.log.Warn().Str("kind", "target").Str("target", r.TargetID).Str("outcome", r.Outcome.String()).Dur("took", r.Took)
	if change == balance.LeftOut {
		line.Msg("target is left out for a while")
		return
	}
	line.Msg("target answers again")
}

func (d *Daemon) noteCold(target string, left time.Duration) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.balancing.balancer.NoteCold(time.Now(), target, left)
}

func (d *Daemon) budget(service string) *retry.Window {
	w := d.balancing.budgets[service]
	if w == nil {
		w = retry.NewWindow(d.config.RetryShare, d.config.RetryWindow)
		d.balancing.budgets[service] = w
	}
	return w
}

func (d *Daemon) countFirst(service string) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.budget(service).First(time.Since(d.started))
}

// takeRetry takes a retry from this box's part of the budget of all boxes.
func (d *Daemon) takeRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	if d.balancing.boxes == 0 {
		return false
	}
	extra := d.config.RetryExtra / float64(d.balancing.boxes)
	return d.budget(service).Take(time.Since(d.started), extra)
}

// retryAfter is when a request that was turned away may come back: about the
// time in which a slot becomes free.
func (d *Daemon) retryAfter() time.Duration { return turnedAwayWait }

const turnedAwayWait = 100 * time.Millisecond

// destination returns the service that the next request of a route is for.
func (d *Daemon) destination(r catalog.Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	d.balancing.Lock()
	defer d.balancing.Unlock()
	w := d.balancing.shares[r.Name]
	if w == nil {
		w = newWeights(r.Destinations)
		d.balancing.shares[r.Name] = w
	}
	return w.next()
}

// weights spreads the requests of a route over its destinations so that at
// any time each has had its share, give or take one request.
type weights struct {
	destinations []catalog.Destination
	due          []float64
	sum          float64
}

func newWeights(destinations []catalog.Destination) *weights {
	w := &weights{destinations: destinations, due: make([]float64, len(destinations))}
	for _, d := range destinations {
		w.sum += d.Weight
	}
	return w
}

func (w *weights) next() string {
	best := 0
	for i, d := range w.destinations {
		w.due[i] += d.Weight / w.sum
		if w.due[i] > w.due[best] {
			best = i
		}
	}
	w.due[best]--
	return w.destinations[best].Service
}
