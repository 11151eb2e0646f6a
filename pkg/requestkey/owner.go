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
	// Keep is how long keys are kept after their scope was issued.
	Keep time.Duration
	// MaxKeys bounds the memory; when it is reached new keys are refused.
	MaxKeys int
}

// Event is one input of an Owner.
type Event interface{ event() }

// Begin is a request with a key that has arrived. Token names the arrival.
type Begin struct {
	Token  uint64
	Key    Key
	Digest uint64
}

// Witnessed tells whether the witness has recorded the start of a key.
type Witnessed struct {
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

// Leave tells that the caller of an arrival is gone; a started attempt goes on.
type Leave struct {
	Key   Key
	Token uint64
}

func (Begin) event()     {}
func (Witnessed) event() {}
func (Finished) event()  {}
func (Leave) event()     {}

// Reply is the final answer to one arrival.
type Reply struct {
	Token  uint64
	State  wire.KeyState
	Answer *wire.StoredAnswer
	// Reason explains a state other than ran.
	Reason string
}

// Output is what to carry out after an event.
type Output struct {
	// Run asks for the one attempt of the key, for the arrival Token, which still waits.
	Run   *Begin
	Reply []Reply
	// Record asks for a message to the witness. After a start is recorded a
	// Witnessed event must follow.
	Record *wire.WitnessRequest
}

type record struct {
	digest  uint64
	state   wire.KeyState
	answer  *wire.StoredAnswer
	begun   Begin
	attempt uint64
	running bool
	waiting []uint64
	expires time.Time
}

// Owner keeps the keys whose scopes one incarnation of a box has issued.
type Owner struct {
	config OwnerConfig
	keys   map[string]*record
	sweep  time.Time
}

// NewOwner returns an owner without keys.
func NewOwner(c OwnerConfig) *Owner {
	return &Owner{config: c, keys: make(map[string]*record)}
}

// SetKeep changes how long keys are kept. Keys already kept stay as long as
// they were promised.
func (o *Owner) SetKeep(keep time.Duration) { o.config.Keep = keep }

// Len returns the number of kept keys.
func (o *Owner) Len() int { return len(o.keys) }

// Handle takes one event at now and returns what to carry out.
func (o *Owner) Handle(now time.Time, e Event) Output {
	o.expire(now)
	switch e := e.(type) {
	case Begin:
		return o.begin(now, e)
	case Witnessed:
		return o.witnessed(e)
	case Finished:
		return o.finished(e)
	case Leave:
		if r := o.keys[e.Key.String()]; r != nil {
			r.waiting = slices.DeleteFunc(r.waiting, func(t uint64) bool { return t == e.Token })
		}
	}
	return Output{}
}

// expire drops keys that are past their time, at most once a second.
func (o *Owner) expire(now time.Time) {
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

func reply(token uint64, state wire.KeyState, answer *wire.StoredAnswer, reason string) Output {
	return Output{Reply: []Reply{{Token: token, State: state, Answer: answer, Reason: reason}}}
}

func (o *Owner) begin(now time.Time, e Begin) Output {
	s := e.Key.Scope
	if s.Owner != o.config.Name {
		return reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key belongs to another entry box")
	}
	if s.OwnerIncarnation != o.config.Incarnation {
		return reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the entry box of the key has restarted")
	}
	if s.IssuedAt.After(now.Add(clockMargin)) {
		return reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key's time is in the future")
	}
	if r := o.keys[e.Key.String()]; r != nil {
		return o.resend(e, r)
	}
	if now.After(s.IssuedAt.Add(o.config.Keep)) {
		return reply(e.Token, wire.KeyState_KEY_STATE_UNKNOWN, nil, "the key is older than keys are kept")
	}
	if len(o.keys) >= o.config.MaxKeys {
		return reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "too many keys are kept")
	}
	r := &record{digest: e.Digest, expires: s.IssuedAt.Add(o.config.Keep + 2*clockMargin)}
	o.keys[e.Key.String()] = r
	return o.start(e, r)
}

// resend answers an arrival of a key that is kept.
func (o *Owner) resend(e Begin, r *record) Output {
	if r.digest != e.Digest {
		return reply(e.Token, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the key was used before for another request")
	}
	if r.running {
		r.waiting = append(r.waiting, e.Token)
		return Output{}
	}
	if r.state == wire.KeyState_KEY_STATE_NOT_RUN {
		return o.start(e, r)
	}
	return reply(e.Token, r.state, r.answer, "")
}

// start has the witness record the key, or runs it at once if there is none.
func (o *Owner) start(e Begin, r *record) Output {
	r.running = true
	r.begun = e
	r.attempt++
	r.state = wire.KeyState_KEY_STATE_STARTED
	r.waiting = []uint64{e.Token}
	if e.Key.Scope.Witness == "" {
		return Output{Run: &r.begun}
	}
	return Output{Record: o.message(e.Key, r)}
}

func (o *Owner) message(k Key, r *record) *wire.WitnessRequest {
	return &wire.WitnessRequest{
		Action:  wire.WitnessRequest_ACTION_RECORD,
		Key:     k.String(),
		State:   r.state,
		Answer:  r.answer,
		Digest:  r.digest,
		Attempt: r.attempt,
	}
}

func (o *Owner) witnessed(e Witnessed) Output {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running || r.state != wire.KeyState_KEY_STATE_STARTED {
		return Output{}
	}
	switch {
	case e.Refused:
		return o.end(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness has closed the key; look up again for a new scope")
	case e.Failed:
		return o.end(r, wire.KeyState_KEY_STATE_NOT_RUN, nil, "the witness can't be reached; look up again for a new scope")
	}
	if len(r.waiting) == 0 {
		return o.finished(Finished{Key: e.Key, State: wire.KeyState_KEY_STATE_NOT_RUN})
	}
	r.begun.Token = r.waiting[0] // the first arrival may have left
	return Output{Run: &r.begun}
}

func (o *Owner) finished(e Finished) Output {
	r := o.keys[e.Key.String()]
	if r == nil || !r.running {
		return Output{}
	}
	out := o.end(r, e.State, e.Answer, "")
	if e.Key.Scope.Witness != "" {
		out.Record = o.message(e.Key, r)
	}
	return out
}

// end answers all arrivals that wait for the attempt.
func (o *Owner) end(r *record, state wire.KeyState, answer *wire.StoredAnswer, reason string) Output {
	var out Output
	for _, token := range r.waiting {
		out.Reply = append(out.Reply, Reply{Token: token, State: state, Answer: answer, Reason: reason})
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
