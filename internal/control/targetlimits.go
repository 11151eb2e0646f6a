package control

import (
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxLimitLogsPerSecond bounds the log lines on limits of targets.
	maxLimitLogsPerSecond = 20
	// pruneLimitsInterval is how often targets whose lives are over are forgotten.
	pruneLimitsInterval = 10 * time.Second
)

// targetLimits hosts a replica's issuer of permits of targets that name limits, and what it
// knows of those limits. It needs no leader and keeps nothing on disk: boxes tell each
// replica what targets told them, and each ask tells it again.
type targetLimits struct {
	clock      *boottime.Clock
	mu         sync.Mutex
	issuer     *quota.TargetIssuer
	logLimiter *process.LineLimit
	// prunedAt is when lives that are over were forgotten last.
	prunedAt time.Time
}

func newTargetLimits(ownAddress string) *targetLimits {
	return &targetLimits{issuer: quota.NewTargetIssuer(ownAddress), logLimiter: process.NewLineLimit(maxLimitLogsPerSecond)}
}

// setReplicas takes the membership.
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

// apply takes registration updates and returns the changes.
func (t *targetLimits) apply(now time.Time, updates []*wire.TargetLimit) (changes []targetstatus.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range updates {
		if c, changed := t.issuer.Apply(now, targetstatus.UpdateOf(now, w)); changed {
			changes = append(changes, c)
		}
	}
	return changes
}

// issue answers what a box asks for targets.
func (t *targetLimits) issue(now time.Time, asks []*wire.TargetPermitAsk) []quota.Grant {
	list := make([]quota.SubjectRequest, 0, len(asks))
	for _, a := range asks {
		list = append(list, quota.SubjectRequest{Subject: a.GetLimit().GetLife(), Count: int(a.Count)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issuer.Issue(now, list)
}

// since returns the limits that changed after a change, for subscribers.
func (t *targetLimits) since(change uint64) ([]*wire.TargetLimit, uint64) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	updates, last := t.issuer.Targets().ChangedSince(change)
	return targetstatus.Messages(now, updates), last
}

// prune forgets targets whose lives are over.
func (t *targetLimits) prune(now time.Time, s steering.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.prunedAt) < pruneLimitsInterval {
		return
	}
	t.prunedAt = now
	lives := make(map[string]bool, len(s.Catalog().Targets()))
	for _, r := range s.Catalog().Targets() {
		lives[catalog.IncarnationOf(r).String()] = true
	}
	t.issuer.Prune(now, func(life string) bool { return lives[life] })
}

// view returns what is known view one target.
func (t *targetLimits) view(target string) (known targetView) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.issuer.Targets()
	return targetView{r.Limit(target), r.ReceivedAt(target), r.IsLeaving(target), t.issuer.Counters(target)}
}

// targetView is what a replica knows of one target from its answers.
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

// applyLimitUpdates takes what targets told boxes and has the subscribers told.
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
	if !d.targetLimits.logLimiter.Take(d.clock.Now()) {
		return
	}
	if c.Leaving {
		d.process.Log.Info().Str("kind", "targetLeaving").Str("target", c.Incarnation).Msg("a box reported that a target leaves")
	}
	if !c.LimitChanged() {
		return
	}
	line := d.process.Log.Info().Str("kind", "targetLimit").Str("target", c.Incarnation)
	if c.Before < targetstatus.NoLimit {
		line = line.Float64("before", c.Before)
	}
	if c.After < targetstatus.NoLimit {
		line = line.Float64("perSecond", c.After)
	}
	line.Msg("a box reported that a target's rate limit changed")
}

// issueForTargets answers what a box asks for targets.
func (d *Daemon) issueForTargets(asks []*wire.TargetPermitAsk) []*wire.PermitGrant {
	updates := make([]*wire.TargetLimit, 0, len(asks))
	for _, a := range asks {
		if a.Limit != nil {
			updates = append(updates, a.Limit)
			updates = append(updates, a.Further...)
		}
	}
	d.applyLimitUpdates(updates)
	return grantMessages(d.targetLimits.issue(d.clock.Now(), asks))
}
