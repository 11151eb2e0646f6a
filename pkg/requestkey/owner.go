package requestkey

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// clockMargin is how far the clocks of boxes may differ.
	clockMargin = time.Minute
	// maxStoredBody bounds the body of a stored answer; a larger one is not
	// kept and a resend learns only that the request ran.
	maxStoredBody = 64 << 10
)

// OwnerConfig is what an Owner is told.
type OwnerConfig struct {
	Name        string
	Incarnation string
	// Retention is how long keys are kept after their scope was issued.
	Retention time.Duration
	// MaxKeys bounds the memory; when it is reached new keys are refused.
	MaxKeys int
}

// Event is one input of an Owner.
type Event interface{ event() }

// Begin is a request with a key that has arrived. Token names the arrival, Request is what
// the host needs to run it.
type Begin[R any] struct {
	Token   uint64
	Key     Key
	Digest  uint64
	Request R
}

// WitnessResult tells whether the witness has recorded the start of a key.
type WitnessResult struct {
	Key Key
	// Refused: the witness has closed the key; Failed: it could not be asked.
	Refused bool
	Failed  bool
}

// Finished tells how the one attempt has ended.
type Finished struct {
	Key    Key
	State  wire.KeyState
	Answer *wire.StoredAnswer
}

// CallerLeft tells that the caller of an arrival is gone; a started attempt goes on.
type CallerLeft struct {
	Key   Key
	Token uint64
}

func (Begin[R]) event()      {}
func (WitnessResult) event() {}
func (Finished) event()      {}
func (CallerLeft) event()    {}

// Reply is the final answer to one arrival.
type Reply struct {
	Token  uint64
	State  wire.KeyState
	Answer *wire.StoredAnswer
	// Reason explains a state other than ran.
	Reason string
}

// Run asks for the one attempt of a key, with the request of the arrival Token, which waits.
// It holds the request itself: the host may have dropped what it kept of an arrival.
type Run[R any] struct {
	Token   uint64
	Key     Key
	Request R
}

// Output is what to carry out after an event.
type Output[R any] struct {
	// Run is nil unless the attempt of a key is to be made.
	Run     *Run[R]
	Replies []Reply
	// Record asks for a message to the witness. After a start is recorded a
	// Witnessed event must follow.
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

// Owner keeps the keys whose scopes one incarnation of a box has issued. R is the host's type
// of a request.
type Owner[R any] struct {
	config OwnerConfig
	keys   map[string]*record[R]
	sweep  time.Time
}

// NewOwner returns an owner without keys.
func NewOwner[R any](c OwnerConfig) *Owner[R] {
	return &Owner[R]{config: c, keys: make(map[string]*record[R])}
}

// SetRetention changes how long keys are kept. Keys already kept stay as long as
// they were promised.
func (o *Owner[R]) SetRetention(keep time.Duration) { o.config.Retention = keep }

// Len returns the number of kept keys.
func (o *Owner[R]) Len() int { return len(o.keys) }

// Handle takes one event at now and returns what to carry out.
func (o *Owner[R]) Handle(now time.Time, e Event) Output[R] {
	o.expire(now)
	switch e := e.(type) {
	case Begin[R]:
		return o.begin(now, e)
	case WitnessResult:
		return o.witnessed(e)
	case Finished:
		return o.finished(e)
	case CallerLeft:
		if r := o.keys[e.Key.String()]; r != nil {
			r.waiting = slices.DeleteFunc(r.waiting, func(a arrival[R]) bool { return a.token == e.Token })
		}
	}
	return Output[R]{}
}

// expire drops keys that are past their time, at most once a second.
func (o *Owner[R]) expire(now time.Time) {
	if now.Before(o.sweep) {
		return
	}
	o.sweep = now.Add(time.Second)
	for key, r := range o.keys {
		if !r.running && now.After(r.expires) {
			delete(o.keys, key)
		}
	}
}

func (o *Owner[R]) reply(token uint64, state wire.KeyState, answer *wire.StoredAnswer, reason string) Output[R] {
	return Output[R]{Replies: []Reply{{Token: token, State: state, Answer: answer, Reason: reason}}}
}

func (o *Owner[R]) begin(now time.Time, e Begin[R]) Output[R] {
	s := e.Key.Scope
	if s.Owner != o.config.Name {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key belongs to another entry box")
	}
	if s.OwnerIncarnation != o.config.Incarnation {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the entry box of the key has restarted")
	}
	if s.IssuedAt.After(now.Add(clockMargin)) {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key's time is in the future")
	}
	if r := o.keys[e.Key.String()]; r != nil {
		return o.resend(e, r)
	}
	if now.After(s.IssuedAt.Add(o.config.Retention)) {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key is older than keys are kept")
	}
	if len(o.keys) >= o.config.MaxKeys {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "too many keys are kept")
	}
	r := &record[R]{digest: e.Digest, expires: s.IssuedAt.Add(o.config.Retention + 2*clockMargin)}
	o.keys[e.Key.String()] = r
	return o.start(e, r)
}

// resend answers an arrival of a key that is kept.
func (o *Owner[R]) resend(e Begin[R], r *record[R]) Output[R] {
	if r.digest != e.Digest {
		return o.reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key was used before for another request")
	}
	if r.running {
		r.waiting = append(r.waiting, arrival[R]{e.Token, e.Request})
		return Output[R]{}
	}
	if r.state == wire.KeyState_KEY_STATE_NOT_RUN {
		return o.start(e, r)
	}
	return o.reply(e.Token, r.state, r.answer, "")
}

// start has the witness record the key, or runs it at once if there is none.
func (o *Owner[R]) start(e Begin[R], r *record[R]) Output[R] {
	r.running = true
	r.attempt++
	r.state = wire.KeyState_KEY_STATE_STARTED
	r.waiting = []arrival[R]{{e.Token, e.Request}}
	if e.Key.Scope.Witness == "" {
		return o.run(e.Key, r)
	}
	return Output[R]{Record: o.message(e.Key, r)}
}

func (o *Owner[R]) message(k Key, r *record[R]) *wire.WitnessRequest {
	return &wire.WitnessRequest{
		Action:  wire.WitnessRequest_ACTION_RECORD,
		Key:     k.String(),
		State:   r.state,
		Answer:  r.answer,
		Digest:  r.digest,
		Attempt: r.attempt,
	}
}

// run asks for the attempt of a key, with the request of the arrival that has waited longest.
// If all arrivals have left, the key ends as not run.
func (o *Owner[R]) run(k Key, r *record[R]) Output[R] {
	if len(r.waiting) == 0 {
		return o.finished(Finished{Key: k, State: wire.KeyState_KEY_STATE_NOT_RUN})
	}
	first := r.waiting[0]
	return Output[R]{Run: &Run[R]{Token: first.token, Key: k, Request: first.request}}
}

func (o *Owner[R]) witnessed(e WitnessResult) Output[R] {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running || r.state != wire.KeyState_KEY_STATE_STARTED {
		return Output[R]{}
	}
	switch {
	case e.Refused:
		return o.end(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness has closed the key; look up again for a new scope")
	case e.Failed:
		return o.end(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness can't be reached; look up again for a new scope")
	}
	return o.run(e.Key, r)
}

func (o *Owner[R]) finished(e Finished) Output[R] {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running {
		return Output[R]{}
	}
	out := o.end(r, e.State, e.Answer, "")
	if e.Key.Scope.Witness != "" {
		out.Record = o.message(e.Key, r)
	}
	return out
}

// end answers all arrivals that wait for the attempt.
func (o *Owner[R]) end(r *record[R], state wire.KeyState, answer *wire.StoredAnswer, reason string) Output[R] {
	var out Output[R]
	for _, a := range r.waiting {
		out.Replies = append(out.Replies, Reply{Token: a.token, State: state, Answer: answer, Reason: reason})
	}
	r.running = false
	r.waiting = nil
	r.state = state
	r.answer = bounded(answer)
	return out
}

func bounded(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil || len(a.Body) <= maxStoredBody {
		return a
	}
	return nil
}
