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
	// quarantineSubmitTimeout bounds the wait for one order: what was not settled is due again.
	quarantineSubmitTimeout = 2 * time.Second
	// supportCheckValidity is for how long it counts that all replicas know the orders, and
	// versionsTimeout bounds the question: several round trips between regions.
	supportCheckValidity = 10 * time.Second
	supportCheckTimeout  = 400 * time.Millisecond
)

// evidence hosts the ledger of requests under which targets ended.
type evidence struct {
	// hello asks another replica who it is.
	hello func(ctx context.Context, address string) (*wire.HelloAnswer, error)
	// supportedAt is when all replicas that answered knew the orders, and refused when one
	// did not. Only the loop uses both.
	supportedAt, unsupportedAt time.Time

	mu      sync.Mutex
	store   *quarantine.EvidenceStore
	pending chan struct{}
}

func newEvidence() *evidence {
	return &evidence{store: quarantine.NewEvidenceStore(), pending: make(chan struct{}, 1)}
}

func (s *evidence) wake() {
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// record takes what a box tells.
func (s *evidence) record(now time.Time, e *wire.Evidence) {
	ago := func(milli int64) time.Time { return now.Add(-time.Duration(max(milli, 0)) * time.Millisecond) }
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range e.Ends {
		end := quarantine.Crash{
			Caller: quarantine.Caller(r.Caller), Incarnation: r.Life, Route: r.Route, Service: r.Service,
			Began: ago(r.BeganAgoMilli), Ended: ago(r.EndedAgoMilli),
		}
		copy(end.Request[:], r.Digest)
		s.store.RecordCrash(now, end)
	}
	for _, a := range e.Answers {
		var d quarantine.Digest
		copy(d[:], a.Digest)
		s.store.RecordAnswer(now, d, quarantine.Caller(a.Caller), ago(a.EndedAgoMilli))
	}
	s.wake()
}

// pendingChanges returns what is due, given the list in force; wall is the time of day.
func (s *evidence) pendingChanges(now, wall time.Time, list []*wire.Quarantined) []quarantine.ListChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.Len() == 0 && len(list) == 0 {
		return nil
	}
	return s.store.PendingChanges(now, wall, quarantine.EntriesOf(list))
}

func (s *evidence) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Len()
}

// serveEvidence takes what a box tells of requests under which targets ended.
func (d *Daemon) serveEvidence(e *wire.Evidence) *wire.CallAnswer {
	d.evidence.record(d.clock.Now(), e)
	return &wire.CallAnswer{}
}

// runQuarantine has what is due put on the list, while this replica leads.
func (d *Daemon) runQuarantine(ctx context.Context) error {
	ticker := time.NewTicker(quarantineInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.evidence.pending:
		}
		d.applyQuarantineChanges(ctx)
	}
}

// applyQuarantineChanges looks what is due, also where another replica leads: what left the
// list is forgotten by all.
func (d *Daemon) applyQuarantineChanges(ctx context.Context) {
	if d.evidence.len() > 0 && !d.allReplicasSupportQuarantine(ctx) {
		return
	}
	wall := time.Now() // time of day: boxes go by it too
	orders := d.evidence.pendingChanges(d.clock.Now(), wall, d.latest().Catalog().Quarantined())
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineSubmitTimeout)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return // the leader knows as much
	}
	for _, o := range orders {
		if !d.submitListChange(ctx, o) {
			return
		}
	}
}

// allReplicasSupportQuarantine reports whether no replica is known that does not know the orders. One of
// the version before passes over them, and its state would differ from the others' for
// good; while there is one, each box holds requests by itself. A replica that does not
// answer is not waited for.
func (d *Daemon) allReplicasSupportQuarantine(ctx context.Context) bool {
	s := d.evidence
	now := d.clock.Now()
	if now.Sub(s.supportedAt) < supportCheckValidity {
		return true
	}
	if now.Sub(s.unsupportedAt) < supportCheckValidity {
		return false
	}
	v, err := d.replica.view(ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, supportCheckTimeout)
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
		s.supportedAt = now
		return true
	}
	s.unsupportedAt = now
	d.process.Log.Warn().Str("kind", "quarantine").Strs("replicas", old).Msg("no request is held by all: replicas of an earlier version don't know such orders")
	return false
}

// askHello asks another replica who it is.
func (d *Daemon) askHello(ctx context.Context, address string) (*wire.HelloAnswer, error) {
	answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	return answer.GetHello(), err
}

// submitListChange has an order settled and reports whether that is known.
func (d *Daemon) submitListChange(ctx context.Context, o quarantine.ListChange) bool {
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
			EndedTargets: e.CrashedTargets, UntilUnixMilli: e.Until.UnixMilli(),
		})
	}
	_ = c.JSON(out) // the client sees a broken answer
}

// releaseCommand lets a request go, whoever the caller.
func releaseCommand(d quarantine.Digest) *wire.QuarantineCommand {
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
	command := &wire.Command{Quarantine: releaseCommand(digest)}
	if err := d.withSubmitTimeout(c, func(ctx context.Context) error { return d.Submit(ctx, command) }); err != nil {
		d.failCatalogCall(c, err)
		return
	}
	d.process.Log.Warn().Str("kind", "quarantine").Str("digest", digest.String()).Str("action", "release").
		Str("reason", "an operator asked for it").Msg("a request under which targets ended")
	_ = c.JSON(operator.Quarantined{Digest: digest.String()}) // the client sees a broken answer
}
