package control

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// quarantineInterval is how often a replica checks for pending changes. New evidence triggers a
	// check at once.
	quarantineInterval = 200 * time.Millisecond
	// quarantineSubmitTimeout bounds the wait for the changes of one check. Changes that were not
	// committed are pending again.
	quarantineSubmitTimeout = 2 * time.Second
	// supportCheckValidity is how long the result of asking all replicas for quarantine support
	// counts, and supportCheckTimeout bounds the calls: several round trips between regions.
	supportCheckValidity = 10 * time.Second
	supportCheckTimeout  = 400 * time.Millisecond
)

// evidence hosts the store of evidence against requests that crashed targets.
type evidence struct {
	// hello asks another replica for its identity and features.
	hello func(ctx context.Context, address string) (*wire.HelloAnswer, error)
	// supportedAt is when all replicas that answered supported quarantine commands, and
	// unsupportedAt when one did not. Only the worker runQuarantine uses them.
	supportedAt, unsupportedAt time.Time

	mu      lockorder.Mutex
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

// record stores the evidence that a box sends.
func (s *evidence) record(now time.Time, e *wire.Evidence) {
	ago := func(milli int64) time.Time { return now.Add(-time.Duration(max(milli, 0)) * time.Millisecond) }
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range e.Ends {
		crash := quarantine.Crash{
			Caller: quarantine.Caller(r.Caller), Incarnation: r.Life, Route: r.Route, Service: r.Service,
			Began: ago(r.BeganAgoMilli), Ended: ago(r.EndedAgoMilli),
		}
		copy(crash.Request[:], r.Digest)
		s.store.RecordCrash(now, crash)
	}
	for _, a := range e.Answers {
		var d quarantine.Digest
		copy(d[:], a.Digest)
		s.store.RecordAnswer(now, d, quarantine.Caller(a.Caller), ago(a.EndedAgoMilli))
	}
	s.wake()
}

// pendingChanges returns the pending changes to the active quarantine list; wall is the time of
// day.
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

// serveEvidence stores the evidence that a box sends about requests that crashed targets.
func (d *Daemon) serveEvidence(e *wire.Evidence) *wire.CallAnswer {
	d.evidence.record(d.clock.Now(), e)
	return &wire.CallAnswer{}
}

// runQuarantine submits pending changes to the quarantine list while this replica leads.
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

// applyQuarantineChanges computes the pending changes and submits them if this replica leads. It
// computes them on followers too, so that every replica drops the evidence of requests that have
// left the list.
func (d *Daemon) applyQuarantineChanges(ctx context.Context) {
	if d.evidence.len() > 0 && !d.allReplicasSupportQuarantine(ctx) {
		return
	}
	wall := time.Now() // time of day: boxes compare expiry times with it too
	changes := d.evidence.pendingChanges(d.clock.Now(), wall, d.latest().Catalog().Quarantined())
	if len(changes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineSubmitTimeout)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return // the leader has the same evidence
	}
	for _, change := range changes {
		if !d.submitListChange(ctx, change) {
			return
		}
	}
}

// allReplicasSupportQuarantine reports whether no replica is known to lack support for quarantine
// commands. A replica of the previous version ignores them, so its state would differ from the
// others' permanently; while there is one, each box quarantines requests on its own evidence.
// Replicas that do not answer are not waited for.
func (d *Daemon) allReplicasSupportQuarantine(ctx context.Context) bool {
	s := d.evidence
	now := d.clock.Now()
	if now.Sub(s.supportedAt) < supportCheckValidity {
		return true
	}
	if now.Sub(s.unsupportedAt) < supportCheckValidity {
		return false
	}
	unsupported, err := d.replicasWithout(ctx, (*wire.HelloAnswer).GetTakesQuarantine)
	if err != nil {
		return false
	}
	if len(unsupported) == 0 {
		s.supportedAt = now
		return true
	}
	s.unsupportedAt = now
	d.process.Log.Warn().Str("kind", "quarantine").Strs("replicas", unsupported).Msg("requests are not quarantined at all boxes: replicas of an earlier version don't support it")
	return false
}

// replicasWithout returns the addresses of the replicas that answer and lack a feature.
func (d *Daemon) replicasWithout(ctx context.Context, feature func(*wire.HelloAnswer) bool) (unsupported []string, err error) {
	v, err := d.replica.view(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, supportCheckTimeout)
	defer cancel()
	results := make(chan string)
	asked := 0
	for _, r := range slices.Concat(v.membership.GetVoters(), v.membership.GetLearners()) {
		if r.Id == d.replica.id {
			continue
		}
		asked++
		go func() {
			answer, err := d.evidence.hello(ctx, r.Address)
			if err != nil || feature(answer) {
				results <- ""
				return
			}
			results <- r.Address
		}()
	}
	for range asked {
		if address := <-results; address != "" {
			unsupported = append(unsupported, address)
		}
	}
	return unsupported, nil
}

// askHello asks another replica for its identity and features.
func (d *Daemon) askHello(ctx context.Context, address string) (*wire.HelloAnswer, error) {
	answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	return answer.GetHello(), err
}

// submitListChange submits a change to the quarantine list and reports whether it is known to be
// committed.
func (d *Daemon) submitListChange(ctx context.Context, change quarantine.ListChange) bool {
	command := &wire.QuarantineCommand{Request: change.Entry.Message(), Release: change.Release}
	_, err := d.replica.submit(ctx, &wire.Command{Quarantine: command})
	entry := d.process.Log.Warn()
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Str("kind", "quarantine").Str("digest", change.Entry.Request.String()).Str("action", actionName(change)).Str("reason", change.Reason).
		Str("route", change.Entry.Route).Str("service", change.Entry.Service).Bool("allCallers", change.Entry.Caller == quarantine.AnyCaller).
		Strs("endedTargets", change.Entry.CrashedTargets).Time("until", change.Entry.Until).Msg("quarantine list change submitted")
	return err == nil
}

func actionName(change quarantine.ListChange) string {
	switch {
	case change.Release:
		return "release"
	case change.Entry.Held:
		return "hold"
	}
	return "watch"
}

// getQuarantine lists the requests on probation and in quarantine.
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
	_ = c.JSON(out) // the client notices a failed write
}

// releaseCommand returns the command that releases a request for all callers.
func releaseCommand(d quarantine.Digest) *wire.QuarantineCommand {
	return &wire.QuarantineCommand{Request: &wire.Quarantined{Digest: d[:]}, Release: true, Every: true}
}

// deleteQuarantined releases a request for all callers.
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
		Str("reason", "an operator asked for it").Msg("quarantined request released")
	_ = c.JSON(operator.Quarantined{Digest: digest.String()}) // the client notices a failed write
}
