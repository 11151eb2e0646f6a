package requestkey

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxClockSkew is the largest tolerated difference between the clocks of two boxes.
	maxClockSkew = time.Minute
	// maxStoredBodyBytes limits the body of a stored answer. A larger answer is not
	// stored, and a resend learns only that the request ran.
	maxStoredBodyBytes = 64 << 10
)

// OwnerConfig configures an Owner.
type OwnerConfig struct {
	Name        string
	Incarnation string
	// Retention is how long a key is kept after its scope was issued.
	Retention time.Duration
	// MaxKeys limits the number of kept keys. New keys are refused at the limit.
	MaxKeys int
}

// Event is an input of an Owner: Begin, WitnessResult, Finished or CallerLeft.
type Event interface{ event() }

// Begin reports the arrival of a request with a key. Token identifies the arrival;
// Request is what the host needs to run it.
type Begin[R any] struct {
	Token   uint64
	Key     Key
	Digest  uint64
	Request R
}

// WitnessResult reports whether the witness has recorded the start of a key.
type WitnessResult struct {
	Key Key
	// Refused is true if the witness has closed the key, Failed if it could not be
	// reached.
	Refused bool
	Failed  bool
}

// Finished reports the result of a key's attempt.
type Finished struct {
	Key    Key
	State  wire.KeyState
	Answer *wire.StoredAnswer
}

// CallerLeft reports that the caller of an arrival has disconnected. An attempt that
// has started continues.
type CallerLeft struct {
	Key   Key
	Token uint64
}

func (Begin[R]) event()      {}
func (WitnessResult) event() {}
func (Finished) event()      {}
func (CallerLeft) event()    {}

// Reply is the final answer to an arrival.
type Reply struct {
	Token  uint64
	State  wire.KeyState
	Answer *wire.StoredAnswer
	// Reason explains any state other than ran.
	Reason string
}

// Run starts the single attempt of a key, with the request of the waiting arrival
// Token. It contains the request, since the host may already have dropped its own data
// of that arrival.
type Run[R any] struct {
	Token   uint64
	Key     Key
	Request R
}

// Output lists what the host must do after an event.
type Output[R any] struct {
	// Run is nil unless an attempt must be started.
	Run     *Run[R]
	Replies []Reply
	// Record is a message to send to the witness. If it records a start, the host must
	// report the outcome in a WitnessResult.
	Record *wire.WitnessRequest
}

// arrival is a request that waits for the end of its key's attempt.
type arrival[R any] struct {
	token   uint64
	request R
}

type record[R any] struct {
	digest  uint64
	state   wire.KeyState
	answer  *wire.StoredAnswer
	attempt uint64
	running bool
	waiting []arrival[R]
	expires time.Time
}

// Owner keeps the keys whose scopes were issued by one incarnation of a box. R is the
// host's type for a request.
type Owner[R any] struct {
	config    OwnerConfig
	keys      map[string]*record[R]
	nextSweep time.Time
}

// NewOwner returns an owner without keys.
func NewOwner[R any](c OwnerConfig) *Owner[R] {
	return &Owner[R]{config: c, keys: make(map[string]*record[R])}
}

// SetRetention changes the retention of new keys. Keys that are already kept retain
// their expiry time.
func (o *Owner[R]) SetRetention(retention time.Duration) { o.config.Retention = retention }

// Len returns the number of kept keys.
func (o *Owner[R]) Len() int { return len(o.keys) }

// Handle processes an event at now and returns what the host must do.
func (o *Owner[R]) Handle(now time.Time, e Event) Output[R] {
	o.expire(now)
	switch e := e.(type) {
	case Begin[R]:
		return o.handleBegin(now, e)
	case WitnessResult:
		return o.handleWitnessResult(e)
	case Finished:
		return o.handleFinished(e)
	case CallerLeft:
		if r := o.keys[e.Key.String()]; r != nil {
			r.waiting = slices.DeleteFunc(r.waiting, func(a arrival[R]) bool { return a.token == e.Token })
		}
	}
	return Output[R]{}
}

// expire drops expired keys, at most once a second.
func (o *Owner[R]) expire(now time.Time) {
	if now.Before(o.nextSweep) {
		return
	}
	o.nextSweep = now.Add(time.Second)
	for key, r := range o.keys {
		if !r.running && now.After(r.expires) {
			delete(o.keys, key)
		}
	}
}

func (o *Owner[R]) reply(token uint64, state wire.KeyState, answer *wire.StoredAnswer, reason string) Output[R] {
	return Output[R]{Replies: []Reply{{Token: token, State: state, Answer: answer, Reason: reason}}}
}

func (o *Owner[R]) handleBegin(now time.Time, e Begin[R]) Output[R] {
	s := e.Key.Scope
	if s.Owner != o.config.Name {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key belongs to another entry box")
	}
	if s.OwnerIncarnation != o.config.Incarnation {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the entry box of the key has restarted")
	}
	if s.IssuedAt.After(now.Add(maxClockSkew)) {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key's time is in the future")
	}
	if r := o.keys[e.Key.String()]; r != nil {
		return o.handleResend(e, r)
	}
	if now.After(s.IssuedAt.Add(o.config.Retention)) {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key is older than keys are kept")
	}
	if len(o.keys) >= o.config.MaxKeys {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "too many keys are kept")
	}
	r := &record[R]{digest: e.Digest, expires: s.IssuedAt.Add(o.config.Retention + 2*maxClockSkew)}
	o.keys[e.Key.String()] = r
	return o.startAttempt(e, r)
}

// handleResend answers an arrival whose key is already kept.
func (o *Owner[R]) handleResend(e Begin[R], r *record[R]) Output[R] {
	if r.digest != e.Digest {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key was used before for another request")
	}
	if r.running {
		r.waiting = append(r.waiting, arrival[R]{e.Token, e.Request})
		return Output[R]{}
	}
	if r.state == wire.KeyState_KEY_STATE_NOT_RUN {
		return o.startAttempt(e, r)
	}
	return o.reply(e.Token, r.state, r.answer, "")
}

// startAttempt has the witness record the start of the key, or runs the key at once if
// there is no witness.
func (o *Owner[R]) startAttempt(e Begin[R], r *record[R]) Output[R] {
	r.running = true
	r.attempt++
	r.state = wire.KeyState_KEY_STATE_STARTED
	r.waiting = []arrival[R]{{e.Token, e.Request}}
	if e.Key.Scope.Witness == "" {
		return o.runAttempt(e.Key, r)
	}
	return Output[R]{Record: o.recordRequest(e.Key, r)}
}

func (o *Owner[R]) recordRequest(k Key, r *record[R]) *wire.WitnessRequest {
	return &wire.WitnessRequest{
		Action:  wire.WitnessRequest_ACTION_RECORD,
		Key:     k.String(),
		State:   r.state,
		Answer:  r.answer,
		Digest:  r.digest,
		Attempt: r.attempt,
	}
}

// runAttempt starts the attempt of a key with the arrival that has waited longest. If
// no arrival is left, the key ends as not run.
func (o *Owner[R]) runAttempt(k Key, r *record[R]) Output[R] {
	if len(r.waiting) == 0 {
		return o.handleFinished(Finished{Key: k, State: wire.KeyState_KEY_STATE_NOT_RUN})
	}
	first := r.waiting[0]
	return Output[R]{Run: &Run[R]{Token: first.token, Key: k, Request: first.request}}
}

func (o *Owner[R]) handleWitnessResult(e WitnessResult) Output[R] {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running || r.state != wire.KeyState_KEY_STATE_STARTED {
		return Output[R]{}
	}
	switch {
	case e.Refused:
		return o.endAttempt(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness has closed the key; look up again for a new scope")
	case e.Failed:
		return o.endAttempt(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness can't be reached; look up again for a new scope")
	}
	return o.runAttempt(e.Key, r)
}

func (o *Owner[R]) handleFinished(e Finished) Output[R] {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running {
		return Output[R]{}
	}
	out := o.endAttempt(r, e.State, e.Answer, "")
	if e.Key.Scope.Witness != "" {
		out.Record = o.recordRequest(e.Key, r)
	}
	return out
}

// endAttempt answers all arrivals that wait for the attempt.
func (o *Owner[R]) endAttempt(r *record[R], state wire.KeyState, answer *wire.StoredAnswer, reason string) Output[R] {
	var out Output[R]
	for _, a := range r.waiting {
		out.Replies = append(out.Replies, Reply{Token: a.token, State: state, Answer: answer, Reason: reason})
	}
	r.running = false
	r.waiting = nil
	r.state = state
	r.answer = storable(answer)
	return out
}

// storable returns the answer if it is small enough to store, otherwise nil.
func storable(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil || len(a.Body) <= maxStoredBodyBytes {
		return a
	}
	return nil
}
