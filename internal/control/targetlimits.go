package control

import (
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxLimitLogsPerSecond bounds the log lines on rate limits of targets.
	maxLimitLogsPerSecond = 20
	// pruneLimitsInterval is how often targets whose incarnation has ended are dropped.
	pruneLimitsInterval = 10 * time.Second
)

// targetLimits issues permits for targets that report a rate limit, and holds what this replica
// knows of those limits. It needs no leader and stores nothing on disk: boxes pass on to each
// replica what targets reported to them, and each permit request repeats it.
type targetLimits struct {
	clock      *boottime.Clock
	mu         lockorder.Mutex
	issuer     *quota.TargetIssuer
	logLimiter *process.LineLimiter
	// prunedAt is when ended incarnations were last dropped.
	prunedAt time.Time
}

func newTargetLimits(ownAddress string) *targetLimits {
	return &targetLimits{issuer: quota.NewTargetIssuer(ownAddress), logLimiter: process.NewLineLimiter(maxLimitLogsPerSecond)}
}

// setReplicas sets the addresses of the replicas from a membership.
func (t *targetLimits) setReplicas(now time.Time, m *wire.Membership) {
	var addresses []string
	for _, list := range [][]*wire.Replica{m.GetVoters(), m.GetLearners()} {
		for _, r := range list {
			addresses = append(addresses, r.Address)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuer.SetReplicas(now, addresses)
}

// apply applies updates of rate limits and returns what changed.
func (t *targetLimits) apply(now time.Time, updates []*wire.TargetLimit) (changes []targetstatus.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, update := range updates {
		if c, changed := t.issuer.Apply(now, targetstatus.UpdateOf(now, update)); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// issue grants or denies a box's permit requests for targets.
func (t *targetLimits) issue(now time.Time, requests []*wire.TargetPermitAsk) []quota.Grant {
	subjects := make([]quota.SubjectRequest, 0, len(requests))
	for _, a := range requests {
		subjects = append(subjects, quota.SubjectRequest{Subject: a.GetLimit().GetLife(), Count: int(a.Count)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, subjects)
}

// since returns the limits that changed after the given change number, for subscribers.
func (t *targetLimits) since(change uint64) ([]*wire.TargetLimit, uint64) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	updates, last := t.issuer.Targets().ChangedSince(change)
	return targetstatus.Messages(now, updates), last
}

// prune drops targets whose incarnation has ended.
func (t *targetLimits) prune(now time.Time, s steering.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) < pruneLimitsInterval {
		return
	}
	t.prunedAt = now
	current := make(map[string]bool, len(s.Catalog().Targets()))
	for _, r := range s.Catalog().Targets() {
		current[catalog.IncarnationOf(r).String()] = true
	}
	t.issuer.Prune(now, func(incarnation string) bool { return current[incarnation] })
}

// view returns what is known of a target incarnation.
func (t *targetLimits) view(target string) (known targetView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := t.issuer.Targets()
	return targetView{targets.Limit(target), targets.ReceivedAt(target), targets.IsLeaving(target), t.issuer.Counters(target)}
}

// targetView is what a replica knows of one target from its responses.
type targetView struct {
	limit      float64
	receivedAt time.Time
	isLeaving  bool
	counters   quota.TargetCounters
}

func (t *targetLimits) limitedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Targets().LimitedCount()
}

// applyLimitUpdates applies what targets reported to boxes and publishes changes to subscribers.
func (d *Daemon) applyLimitUpdates(updates []*wire.TargetLimit) {
	if len(updates) == 0 {
		return
	}
	changes := d.targetLimits.apply(d.clock.Now(), updates)
	if len(changes) == 0 {
		return
	}
	d.publisher.LimitsChanged()
	for _, c := range changes {
		d.logLimitChange(c)
	}
}

func (d *Daemon) logLimitChange(c targetstatus.Change) {
	if !d.targetLimits.logLimiter.Allow(d.clock.Now()) {
		return
	}
	if c.Leaving {
		d.process.Log.Info().Str("kind", "targetLeaving").Str("target", c.Incarnation).Msg("a box reported that a target is shutting down")
	}
	if !c.LimitChanged() {
		return
	}
	entry := d.process.Log.Info().Str("kind", "targetLimit").Str("target", c.Incarnation)
	if c.Before < targetstatus.NoLimit {
		entry = entry.Float64("before", c.Before)
	}
	if c.After < targetstatus.NoLimit {
		entry = entry.Float64("perSecond", c.After)
	}
	entry.Msg("a box reported that a target's rate limit changed")
}

// issueForTargets grants or denies a box's permit requests for targets.
func (d *Daemon) issueForTargets(requests []*wire.TargetPermitAsk) []*wire.PermitGrant {
	updates := make([]*wire.TargetLimit, 0, len(requests))
	for _, a := range requests {
		if a.Limit != nil {
			updates = append(updates, a.Limit)
			updates = append(updates, a.Further...)
		}
	}
	d.applyLimitUpdates(updates)
	return grantMessages(d.targetLimits.issue(d.clock.Now(), requests))
}
