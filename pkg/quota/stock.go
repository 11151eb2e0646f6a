package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// silentTime is for how long an issuer that did not answer is not asked. An ask
	// that gets no answer costs waiting requests askPatience.
	silentTime = 500 * time.Millisecond
	// behindTime is for how long an issuer that has an older document than the box is
	// not asked: a document reaches all replicas within about the longest way.
	behindTime = 40 * time.Millisecond
	// askPatience is how long an ask is waited for before the next issuer is asked
	// beside it: the way between regions and back takes 70 ms.
	askPatience = 90 * time.Millisecond
	// demandTime is the time over which a workspace's requests are counted.
	demandTime = 2 * time.Second
	// stockShare is the part of a permit's life for which a box keeps permits in
	// stock, rounded up by stockRounding: it keeps one from 1.2 requests in a life on,
	// of which 0.3 then end unused. Requests that find none wait for an answer.
	stockShare    = 0.6
	stockRounding = 0.3
	// farLatency is the mean time to answer from which an issuer is far: half of the
	// way between regions and back.
	farLatency = 35 * time.Millisecond
	// latencyWeight is the weight of one answer in an issuer's mean time to answer.
	latencyWeight = 0.2
	// returnSpread is the time over which refused callers come back: a fifth of the
	// window of the users' deployments, in which a fifth of a limit comes free.
	returnSpread = time.Second
	// goldenPart spreads any number of turns evenly: each falls into the widest gap.
	goldenPart = 0.6180339887
	// idleTime is when a workspace without requests is forgotten.
	idleTime = 30 * time.Second
)

// PermitCache is the permits of one entry box. It is not safe for concurrent use.
type PermitCache struct {
	issuers []*issuerState
	// ranked tells that not all of the issuers issue, but those of TargetIssuers.
	ranked     bool
	workspaces map[string]*held
	// low are the workspaces of which permits may have to be asked for.
	low map[string]*held
}

// issuerState is what the box knows of one issuer.
type issuerState struct {
	address string
	latency time.Duration
	// silentUntil is until when it is not asked, because it did not answer, and
	// behindUntil because its document was older.
	silentUntil time.Time
	behindUntil time.Time
}

// held is what the box holds of one workspace.
type held struct {
	lots []lot
	// waiting is how many requests wait for a permit.
	waiting int
	// pending are the asks that have not been answered.
	pending []pendingAsk
	// emptyUntil is until when an issuer has nothing, as it told.
	emptyUntil map[string]time.Time
	// demand is the mean of the requests a second, as of demandAt.
	demand   float64
	demandAt time.Time
	life     time.Duration
	// turn is where in returnSpread the caller that was refused last comes back.
	turn float64
}

// lot is permits that end at the same time.
type lot struct {
	count int
	until time.Time
}

type pendingAsk struct {
	address string
	count   int
	at      time.Time
}

// IssuerCall are the asks to one issuer. Answered, Unanswered or Behind must
// follow.
type IssuerCall struct {
	Address  string
	SentAt   time.Time
	Requests []SubjectRequest
}

// NewPermitCache returns a stock of permits of workspaces, without permits and issuers.
func NewPermitCache() *PermitCache {
	return &PermitCache{workspaces: make(map[string]*held), low: make(map[string]*held)}
}

// NewTargetPermitCache returns a stock of permits of targets, named by their lives in place of
// workspaces, without permits and issuers.
func NewTargetPermitCache() *PermitCache {
	s := NewPermitCache()
	s.ranked = true
	return s
}

// issuersOf returns who issues permits of a workspace or target.
func (s *PermitCache) issuersOf(workspace string) []*issuerState {
	if !s.ranked {
		return s.issuers
	}
	addresses := make([]string, 0, len(s.issuers))
	for _, i := range s.issuers {
		addresses = append(addresses, i.address)
	}
	out := make([]*issuerState, 0, targetIssuers)
	for _, a := range TargetIssuers(workspace, addresses) {
		out = append(out, s.issuer(a))
	}
	return out
}

// SetIssuers names the issuers. What is known of those that stay is kept.
func (s *PermitCache) SetIssuers(addresses []string) {
	next := make([]*issuerState, 0, len(addresses))
	for _, a := range addresses {
		i := slices.IndexFunc(s.issuers, func(k *issuerState) bool { return k.address == a })
		if i >= 0 {
			next = append(next, s.issuers[i])
			continue
		}
		next = append(next, &issuerState{address: a})
	}
	s.issuers = next
}

// RecordRequest notes a request of a workspace; it is what the stock is reckoned by.
func (s *PermitCache) RecordRequest(now time.Time, workspace string) {
	h := s.of(workspace)
	h.demand = h.demandNow(now) + 1/demandTime.Seconds()
	h.demandAt = now
}

func (h *held) demandNow(now time.Time) float64 {
	age := min(max(now.Sub(h.demandAt), 0), demandTime)
	return h.demand * (1 - age.Seconds()/demandTime.Seconds())
}

// Take takes a permit and returns until when it may be used.
func (s *PermitCache) Take(now time.Time, workspace string) (until time.Time, ok bool) {
	h := s.of(workspace)
	h.drop(now)
	s.low[workspace] = h
	if len(h.lots) == 0 {
		return time.Time{}, false
	}
	until = h.lots[0].until
	h.lots[0].count--
	if h.lots[0].count == 0 {
		h.lots = h.lots[1:]
	}
	return until, true
}

// PutBack returns a permit that was not used.
func (s *PermitCache) PutBack(workspace string, until time.Time) { s.of(workspace).add(lot{1, until}) }

// AddWaiter counts a request that waits for a permit until RemoveWaiter.
func (s *PermitCache) AddWaiter(workspace string) {
	h := s.of(workspace)
	h.waiting++
	s.low[workspace] = h
}

// RemoveWaiter ends a Wait.
func (s *PermitCache) RemoveWaiter(workspace string) { s.of(workspace).waiting-- }

// HasWaiters reports whether requests wait for permits that are still to be asked for.
func (s *PermitCache) HasWaiters() bool {
	for _, h := range s.low {
		if h.waiting > 0 {
			return true
		}
	}
	return false
}

// Refusal returns why a request can't get a permit now: an OverLimitError if each
// issuer that answers has told that it is empty, a NoIssuerError if none answers, nil
// if one can be asked or has been.
func (s *PermitCache) Refusal(now time.Time, workspace string) error {
	h := s.of(workspace)
	if h.isAsked(now) {
		return nil
	}
	var soonest, heard time.Time
	for _, i := range s.issuersOf(workspace) {
		if now.Before(i.silentUntil) {
			heard = earlier(heard, i.silentUntil)
			continue
		}
		empty := h.emptyUntil[i.address]
		if now.Before(i.behindUntil) || !now.Before(empty) {
			return nil
		}
		soonest = earlier(soonest, empty)
	}
	if soonest.IsZero() {
		return &NoIssuerError{Subject: workspace, RetryAfter: max(heard.Sub(now), 0)}
	}
	return &OverLimitError{Subject: workspace, AvailableIn: soonest.Sub(now), RetryAfter: h.nextReturn(now, soonest)}
}

// nextReturn spreads the callers that are refused over returnSpread from when there
// may be room.
func (h *held) nextReturn(now, soonest time.Time) time.Duration {
	_, h.turn = math.Modf(h.turn + goldenPart)
	return soonest.Sub(now) + time.Duration(h.turn*float64(returnSpread))
}

// StartCalls returns what is to be asked now, for requests that wait and for the stock.
func (s *PermitCache) StartCalls(now time.Time) []IssuerCall {
	var out []IssuerCall
	for name, h := range s.low {
		count := h.wanted(now)
		if count <= 0 {
			delete(s.low, name)
			continue
		}
		for _, i := range s.toAsk(now, name, h) {
			h.pending = append(h.pending, pendingAsk{i.address, count, now})
			at := slices.IndexFunc(out, func(a IssuerCall) bool { return a.Address == i.address })
			if at < 0 {
				at = len(out)
				out = append(out, IssuerCall{Address: i.address, SentAt: now})
			}
			out[at].Requests = append(out[at].Requests, SubjectRequest{name, count})
		}
	}
	return out
}

// wanted is how many permits are to be asked for.
func (h *held) wanted(now time.Time) int {
	h.drop(now)
	stock := 0
	for _, l := range h.lots {
		stock += l.count
	}
	for _, p := range h.pending {
		if now.Sub(p.at) < askPatience {
			stock += p.count
		}
	}
	keep := int(h.demandNow(now)*stockShare*h.life.Seconds() + stockRounding)
	if h.waiting <= stock && stock > keep/2 {
		return 0
	}
	return h.waiting + keep - stock
}

// toAsk returns the issuers to ask: of those that answer and are not empty the one
// that answers soonest. If that is far, all are asked at once: one after the other would
// answer when the request is too late. What comes beyond what is wanted stays in stock. One that has an ask for the workspace under way for too
// long is not asked again.
func (s *PermitCache) toAsk(now time.Time, workspace string, h *held) []*issuerState {
	var all []*issuerState
	var best *issuerState
	for _, i := range s.issuersOf(workspace) {
		if now.Before(i.silentUntil) || now.Before(i.behindUntil) || now.Before(h.emptyUntil[i.address]) {
			continue
		}
		if slices.ContainsFunc(h.pending, func(p pendingAsk) bool { return p.address == i.address && now.Sub(p.at) >= askPatience }) {
			continue
		}
		all = append(all, i)
		if best == nil || i.latency < best.latency {
			best = i
		}
	}
	switch {
	case best == nil:
		return nil
	case best.latency < farLatency:
		return []*issuerState{best}
	}
	return all
}

// HandleGrants takes an issuer's answer.
func (s *PermitCache) HandleGrants(now time.Time, a IssuerCall, grants []Grant) {
	if i := s.issuer(a.Address); i != nil {
		took := now.Sub(a.SentAt)
		if i.latency == 0 {
			i.latency = took
		}
		i.latency += time.Duration(latencyWeight * float64(took-i.latency))
	}
	s.settle(a)
	for _, g := range grants {
		h := s.of(g.Subject)
		if g.Count == 0 {
			h.emptyUntil[a.Address] = now.Add(g.RetryAfter)
			continue
		}
		h.life = g.TTL
		// The life counts from before the ask: when the issuer took it is not known.
		h.add(lot{g.Count, a.SentAt.Add(g.TTL)})
	}
}

// HandleStale takes that an issuer has an older document than the box.
func (s *PermitCache) HandleStale(now time.Time, a IssuerCall) {
	if i := s.issuer(a.Address); i != nil {
		i.behindUntil = now.Add(behindTime)
	}
	s.settle(a)
}

// HandleFailure takes that an issuer did not answer.
func (s *PermitCache) HandleFailure(now time.Time, a IssuerCall) {
	if i := s.issuer(a.Address); i != nil {
		i.silentUntil = now.Add(silentTime)
	}
	s.settle(a)
}

func (s *PermitCache) settle(a IssuerCall) {
	for _, ask := range a.Requests {
		h := s.of(ask.Subject)
		s.low[ask.Subject] = h
		h.pending = slices.DeleteFunc(h.pending, func(p pendingAsk) bool { return p.address == a.Address && p.at.Equal(a.SentAt) })
	}
}

// RemoveIdle drops workspaces without requests for long, and returns how many are
// left.
func (s *PermitCache) RemoveIdle(now time.Time) int {
	for name, h := range s.workspaces {
		if h.waiting == 0 && len(h.pending) == 0 && now.Sub(h.demandAt) > idleTime {
			delete(s.workspaces, name)
			delete(s.low, name)
		}
	}
	return len(s.workspaces)
}

func (s *PermitCache) issuer(address string) *issuerState {
	i := slices.IndexFunc(s.issuers, func(k *issuerState) bool { return k.address == address })
	if i < 0 {
		return nil
	}
	return s.issuers[i]
}

func (s *PermitCache) of(workspace string) *held {
	h := s.workspaces[workspace]
	if h == nil {
		h = &held{emptyUntil: make(map[string]time.Time)}
		s.workspaces[workspace] = h
	}
	return h
}

// isAsked reports whether an answer is due.
func (h *held) isAsked(now time.Time) bool {
	return slices.ContainsFunc(h.pending, func(p pendingAsk) bool { return now.Sub(p.at) < askPatience })
}

// add keeps lots in the order in which they end.
func (h *held) add(l lot) {
	i := slices.IndexFunc(h.lots, func(k lot) bool { return k.until.After(l.until) })
	if i < 0 {
		i = len(h.lots)
	}
	h.lots = slices.Insert(h.lots, i, l)
}

// drop forgets permits that have ended.
func (h *held) drop(now time.Time) {
	h.lots = slices.DeleteFunc(h.lots, func(l lot) bool { return !now.Before(l.until) })
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
