package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/requestkey"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	maxKeys        = 200_000
	witnessTimeout = 500 * time.Millisecond
	// maxResultTries is how often the result of a key is sent to the witness.
	maxResultTries = 3
)

// keys hosts the owner of this box's request keys, and the witness for keys of other boxes.
type keys struct {
	box *Daemon
	// call sends a request to another box.
	call func(ctx context.Context, address string, r *wire.CallRequest) (*wire.CallAnswer, error)

	mu      lockorder.Mutex
	owner   *requestkey.Owner[*request]
	witness *requestkey.Witness
	token   uint64
	waiting map[uint64]chan requestkey.Reply
}

func newKeys(d *Daemon) *keys {
	retention := settings.Tree{}.Values(settings.Path{}).KeyRetention
	return &keys{
		box: d,
		call: func(ctx context.Context, address string, r *wire.CallRequest) (*wire.CallAnswer, error) {
			return d.node.Call(ctx, address, r)
		},
		owner: requestkey.NewOwner[*request](requestkey.OwnerConfig{
			Name:        d.config.Name,
			Incarnation: d.process.Incarnation,
			Retention:   retention,
			MaxKeys:     maxKeys,
		}),
		witness: requestkey.NewWitness(d.config.Name, d.process.Incarnation, retention, maxKeys),
		waiting: make(map[uint64]chan requestkey.Reply),
	}
}

func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner.Len()
}

// scope issues a new scope for request keys.
func (k *keys) scope() string {
	s := requestkey.Scope{Owner: k.box.config.Name, OwnerIncarnation: k.box.process.Incarnation, IssuedAt: time.Now()} // time of day: keys contain the time at which they were issued
	if w, ok := k.box.peers.witness(); ok {
		s.Witness = w.name
		s.WitnessIncarnation = w.incarnation
	}
	return s.String()
}

// answerAsWitness handles a request to this box as the witness of another.
func (k *keys) answerAsWitness(m *wire.WitnessRequest) *wire.WitnessAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Handle(time.Now(), m) // time of day: keys contain the time at which they were issued
}

// serve runs a request that carries a key, or returns the result of its earlier run.
func (k *keys) serve(ctx context.Context, r *request) *answer {
	key, err := requestkey.Parse(r.key)
	if err != nil {
		return invalid(err)
	}
	if key.Scope.Owner != k.box.config.Name {
		return k.forwardToOwner(ctx, key, r)
	}
	if key.Scope.OwnerIncarnation != k.box.process.Incarnation {
		return k.answerFromWitness(ctx, key, r)
	}
	return k.runAsOwner(ctx, key, r)
}

// forwardToOwner forwards a request to the owner of its key. If the owner is unreachable or
// its answer is lost, the witness is asked instead.
func (k *keys) forwardToOwner(ctx context.Context, key requestkey.Key, r *request) *answer {
	b, ok := k.box.current.Load().boxes[key.Scope.Owner]
	if !ok || r.hops >= maxHops {
		return k.answerFromWitness(ctx, key, r)
	}
	a := k.box.forward(ctx, b, r)
	if a.outcome == caller.Ran || a.header != nil {
		return a
	}
	return k.answerFromWitness(ctx, key, r)
}

// runAsOwner passes a request to the owner state machine and waits for the reply.
func (k *keys) runAsOwner(ctx context.Context, key requestkey.Key, r *request) *answer {
	reply := make(chan requestkey.Reply, 1)
	k.mu.Lock()
	k.token++
	e := requestkey.Begin[*request]{Token: k.token, Key: key, Digest: r.digest(), Request: r}
	k.waiting[e.Token] = reply
	k.handle(e)
	k.mu.Unlock()
	defer k.callerLeft(key, e.Token)
	select {
	case got := <-reply:
		return k.answer(got)
	case <-ctx.Done():
		return unknown("the caller left while the request may run")
	}
}

func (k *keys) callerLeft(key requestkey.Key, token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, token)
	k.handle(requestkey.CallerLeft{Key: key, Token: token})
}

func (k *keys) answer(r requestkey.Reply) *answer {
	switch r.State {
	case wire.KeyState_KEY_STATE_RAN:
		return answerFromStored(r.Answer)
	case wire.KeyState_KEY_STATE_NOT_RUN:
		return refusal(r.Reason, minRetryAfter)
	}
	if r.Answer != nil {
		a := answerFromStored(r.Answer)
		a.outcome = caller.Unknown
		return a
	}
	return unknown(r.Reason)
}

// handle passes an event to the owner state machine and executes its output. The caller must
// hold k.mu.
func (k *keys) handle(e requestkey.Event) {
	out := k.owner.Handle(time.Now(), e) // time of day: keys contain the time at which they were issued
	for _, r := range out.Replies {
		if reply, ok := k.waiting[r.Token]; ok {
			delete(k.waiting, r.Token)
			reply <- r
		}
	}
	if out.Record != nil {
		go k.recordAtWitness(out.Record)
	}
	if out.Run != nil {
		go k.run(out.Run.Key, out.Run.Request)
	}
}

// run makes the only attempt of a keyed request. It continues if the caller leaves.
func (k *keys) run(key requestkey.Key, r *request) {
	result := k.dispatchKeyed(key, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handle(result)
}

// dispatchKeyed runs a keyed request and returns its result. After a panic the state is
// unknown, since the request may have run. The result must be returned even then, because
// requests with the same key wait for it.
func (k *keys) dispatchKeyed(key requestkey.Key, r *request) (result requestkey.Finished) {
	defer func() {
		if p := recover(); p != nil {
			k.box.process.RecordPanic("keys", r.id, p)
			result = requestkey.Finished{Key: key, State: wire.KeyState_KEY_STATE_UNKNOWN}
		}
	}()
	ctx, cancel := k.box.clock.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	a := k.box.dispatch(ctx, r.withoutKey())
	if a.stream != nil {
		a = readFully(a)
	}
	result = requestkey.Finished{Key: key}
	switch a.outcome {
	case caller.Ran:
		result.State = wire.KeyState_KEY_STATE_RAN
		result.Answer = a.stored()
	case caller.NotRun:
		result.State = wire.KeyState_KEY_STATE_NOT_RUN
	default:
		result.State = wire.KeyState_KEY_STATE_UNKNOWN
		if a.header != nil {
			result.Answer = a.stored()
		}
	}
	return result
}

// readFully reads the rest of a large response, since every waiting request with the same key
// gets the complete response. One that is longer than maxBody is not kept.
func readFully(a *answer) *answer {
	defer a.discard()
	rest, err := io.ReadAll(io.LimitReader(a.stream, maxBody+1))
	if err != nil {
		return unknown(fmt.Sprintf("the answer broke off: %v", err))
	}
	if len(rest) > maxBody {
		return unknown((&responseTooLongError{maxBody}).Error())
	}
	whole := *a
	whole.stream = nil
	whole.body = append(whole.body, rest...)
	return &whole
}

// recordAtWitness sends the start or the result of a keyed request to the witness. The owner
// state machine gets the reply if it is about the start.
func (k *keys) recordAtWitness(m *wire.WitnessRequest) {
	key, err := requestkey.Parse(m.Key)
	if err != nil {
		return // the owner state machine only holds keys that have been parsed
	}
	isStart := m.State == wire.KeyState_KEY_STATE_STARTED
	tries := maxResultTries
	if isStart {
		tries = 1
	}
	var a *wire.WitnessAnswer
	for range tries {
		if a, err = k.sendToWitness(context.Background(), key, m); err == nil {
			break
		}
	}
	if !isStart {
		k.reportUnwitnessed(m, err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handle(requestkey.WitnessResult{Key: key, Failed: err != nil, Refused: err == nil && a.Refused})
}

// reportUnwitnessed records that the witness does not know the result of a key. If this box
// fails, a resend of the request is answered with an unknown outcome.
func (k *keys) reportUnwitnessed(m *wire.WitnessRequest, err error) {
	if err != nil {
		k.box.process.Event(&wire.TimelineEvent{Kind: "keyNotWitnessed", Box: k.box.config.Name, Detail: fmt.Sprintf("key %s, %s: %v", m.Key, m.State, err)})
	}
}

func (k *keys) sendToWitness(ctx context.Context, key requestkey.Key, m *wire.WitnessRequest) (*wire.WitnessAnswer, error) {
	if key.Scope.Witness == k.box.config.Name {
		return k.answerAsWitness(m), nil
	}
	b, ok := k.box.current.Load().boxes[key.Scope.Witness]
	if !ok {
		return nil, errUnknownBox
	}
	return k.callWitness(ctx, b.PeerAddress, m)
}

// panicError is returned for a call that panicked.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// callWitness calls a witness on another box. A panic is returned as an error.
func (k *keys) callWitness(ctx context.Context, address string, m *wire.WitnessRequest) (answer *wire.WitnessAnswer, err error) {
	defer func() {
		if p := recover(); p != nil {
			k.box.process.RecordPanic("witness", m.Key, p)
			answer, err = nil, &panicError{p}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	a, err := k.call(ctx, address, &wire.CallRequest{Witness: m})
	if err != nil {
		return nil, err
	}
	if a.Witness == nil {
		return nil, errors.New("the witness gave no answer")
	}
	return a.Witness, nil
}

// answerFromWitness answers a resend whose owner has failed or is unreachable.
func (k *keys) answerFromWitness(ctx context.Context, key requestkey.Key, r *request) *answer {
	if key.Scope.Witness == "" {
		return unknown("the entry box of the key is gone and no other knew of the request")
	}
	m := &wire.WitnessRequest{Action: wire.WitnessRequest_ACTION_ASK, Key: r.key, Digest: r.digest()}
	a, err := k.sendToWitness(ctx, key, m)
	if err != nil {
		return unknown(fmt.Sprintf("neither the entry box of the key nor its witness can be reached: %v", err))
	}
	switch a.State {
	case wire.KeyState_KEY_STATE_RAN:
		return answerFromStored(a.Answer)
	case wire.KeyState_KEY_STATE_ABSENT, wire.KeyState_KEY_STATE_NOT_RUN:
		return refusal("it did not run; look up again for a new key scope", minRetryAfter)
	}
	return unknown("the entry box of the key is gone and the request may have run")
}
