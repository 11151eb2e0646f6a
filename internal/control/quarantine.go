package control

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// quarantineInterval is how often a leader looks what is due. Evidence is looked at
	// at once.
	quarantineInterval = 200 * time.Millisecond
	// quarantineSubmit bounds the wait for one order: what was not settled is due again.
	quarantineSubmit = 2 * time.Second
	// versionsFor is for how long it counts that all replicas know the orders, and
	// versionsTimeout bounds the question: several round trips between regions.
	versionsFor     = 10 * time.Second
	versionsTimeout = 400 * time.Millisecond
)

// suspicions hosts the ledger of requests under which targets ended.
type suspicions struct {
	// hello asks another replica who it is.
	hello func(ctx context.Context, address string) (*wire.HelloAnswer, error)
	// knownAt is when all replicas that answered knew the orders, and refused when one
	// did not. Only the loop uses both.
	knownAt, refusedAt time.Time

	mu     sync.Mutex
	ledger *quarantine.EvidenceStore
	due    chan struct{}
}

func newSuspicions() *suspicions {
	return &suspicions{ledger: quarantine.NewEvidenceStore(), due: make(chan struct{}, 1)}
}

func (s *suspicions) wake() {
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// take takes what a box tells.
func (s *suspicions) take(now time.Time, e *wire.Evidence) {
	ago := func(milli int64) time.Time { return now.Add(-time.Duration(max(milli, 0)) * time.Millisecond) }
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range e.Ends {
		end := quarantine.Crash{
			Caller: quarantine.Caller(r.Caller), Incarnation: r.Life, Route: r.Route, Service: r.Service,
			Began: ago(r.BeganAgoMilli), Ended: ago(r.EndedAgoMilli),
		}
		copy(end.Request[:], r.Digest)
		s.ledger.RecordCrash(now, end)
	}
	for _, a := range e.Answers {
		var d quarantine.Digest
		copy(d[:], a.Digest)
		s.ledger.RecordAnswer(now, d, quarantine.Caller(a.Caller), ago(a.EndedAgoMilli))
	}
	s.wake()
}

// orders returns what is due, given the list in force; wall is the time of day.
func (s *suspicions) orders(now, wall time.Time, list []*wire.Quarantined) []quarantine.ListChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Len() == 0 && len(list) == 0 {
		return nil
	}
	return s.ledger.PendingChanges(now, wall, quarantine.EntriesOf(list))
}

func (s *suspicions) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Len()
}

// serveEvidence takes what a box tells of requests under which targets ended.
func (d *Daemon) serveEvidence(e *wire.Evidence) *wire.CallAnswer {
	d.suspicions.take(d.clock.Now(), e)
	return &wire.CallAnswer{}
}

// keepQuarantine has what is due put on the list, while this replica leads.
func (d *Daemon) keepQuarantine(ctx context.Context) error {
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.suspicions.due:
		}
		d.orderQuarantine(ctx)
	}
}

// orderQuarantine looks what is due, also where another replica leads: what left the
// list is forgotten by all.
func (d *Daemon) orderQuarantine(ctx context.Context) {
	if d.suspicions.len() > 0 && !d.allTakeOrders(ctx) {
		return
	}
	wall := time.Now() // time of day: boxes go by it too
	orders := d.suspicions.orders(d.clock.Now(), wall, d.latest().Catalog().Quarantined())
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineSubmit)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return // the leader knows as much
	}
	for _, o := range orders {
		if !d.settleOrder(ctx, o) {
			return
		}
	}
}

// allTakeOrders reports whether no replica is known that does not know the orders. One of
// the version before passes over them, and its state would differ from the others' for
// good; while there is one, each box holds requests by itself. A replica that does not
// answer is not waited for.
func (d *Daemon) allTakeOrders(ctx context.Context) bool {
	s := d.suspicions
	now := d.clock.Now()
	if now.Sub(s.knownAt) < versionsFor {
		return true
	}
	if now.Sub(s.refusedAt) < versionsFor {
		return false
	}
	v, err := d.replica.view(ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	before := make(chan string)
	asked := 0
	for _, r := range slices.Concat(v.membership.GetVoters(), v.membership.GetLearners()) {
		if r.Id == d.replica.id {
			continue
		}
		asked++
		go func() {
			answer, err := s.hello(ctx, r.Address)
			if err != nil || answer.GetTakesQuarantine() {
				before <- ""
				return
			}
			before <- r.Address
		}()
	}
	var old []string
	for range asked {
		if address := <-before; address != "" {
			old = append(old, address)
		}
	}
	if len(old) == 0 {
		s.knownAt = now
		return true
	}
	s.refusedAt = now
	d.process.Log.Warn().Str("kind", "quarantine").Strs("replicas", old).Msg("no request is held by all: replicas of an earlier version don't know such orders")
	return false
}

// askHello asks another replica who it is.
func (d *Daemon) askHello(ctx context.Context, address string) (*wire.HelloAnswer, error) {
	answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	return answer.GetHello(), err
}

// settleOrder has an order settled and reports whether that is known.
func (d *Daemon) settleOrder(ctx context.Context, o quarantine.ListChange) bool {
	command := &wire.QuarantineCommand{Request: o.Entry.Message(), Release: o.Release}
	_, err := d.replica.submit(ctx, &wire.Command{Quarantine: command})
	line := d.process.Log.Warn()
	if err != nil {
		line = line.Err(err)
	}
	line.Str("kind", "quarantine").Str("digest", o.Entry.Request.String()).Str("action", actionName(o)).Str("reason", o.Reason).
		Str("route", o.Entry.Route).Str("service", o.Entry.Service).Bool("allCallers", o.Entry.Caller == quarantine.AnyCaller).
		Strs("endedTargets", o.Entry.CrashedTargets).Time("until", o.Entry.Until).Msg("a request under which targets ended")
	return err == nil
}

func actionName(o quarantine.ListChange) string {
	switch {
	case o.Release:
		return "release"
	case o.Entry.Held:
		return "hold"
	}
	return "watch"
}

// getQuarantine lists the requests that are watched or held.
func (d *Daemon) getQuarantine(c iris.Context) {
	state, ok := d.catalogState(c)
	if !ok {
		return
	}
	out := []operator.Quarantined{}
	for _, e := range quarantine.EntriesOf(state.Quarantined()) {
		out = append(out, operator.Quarantined{
			Digest: e.Request.String(), AllCallers: e.Caller == quarantine.AnyCaller, Held: e.Held, Route: e.Route, Service: e.Service,
			CrashedTargets: e.CrashedTargets, UntilUnixMilli: e.Until.UnixMilli(),
		})
	}
	_ = c.JSON(out) // the client sees a broken answer
}

// releaseOf lets a request go, whoever the caller.
func releaseOf(d quarantine.Digest) *wire.QuarantineCommand {
	return &wire.QuarantineCommand{Request: &wire.Quarantined{Digest: d[:]}, Release: true, Every: true}
}

// deleteQuarantined lets a request go, for all callers.
func (d *Daemon) deleteQuarantined(c iris.Context) {
	digest, err := quarantine.ParseDigest(c.Params().Get("digest"))
	if err != nil {
		fail(c, http.StatusBadRequest, operator.CodeBadRequest, err.Error())
		return
	}
	state, ok := d.catalogState(c)
	if !ok {
		return
	}
	listed := slices.ContainsFunc(quarantine.EntriesOf(state.Quarantined()), func(e quarantine.Entry) bool { return e.Request == digest })
	if !listed {
		fail(c, http.StatusNotFound, operator.CodeNotFound, "no request with this digest is watched or held")
		return
	}
	command := &wire.Command{Quarantine: releaseOf(digest)}
	if err := d.settle(c, func(ctx context.Context) error { return d.Submit(ctx, command) }); err != nil {
		d.failCatalog(c, err)
		return
	}
	d.process.Log.Warn().Str("kind", "quarantine").Str("digest", digest.String()).Str("action", "release").
		Str("reason", "an operator asked for it").Msg("a request under which targets ended")
	_ = c.JSON(operator.Quarantined{Digest: digest.String()}) // the client sees a broken answer
}
