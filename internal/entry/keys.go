package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/requestkey"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	maxKeys        = 200_000
	witnessTimeout = 500 * time.Millisecond
	// resultTries is how often the end of a key is sent to the witness.
	resultTries = 3
)

// keys hosts the owner of this box's request keys and the witness of others.
type keys struct {
	box *Daemon
	// call asks another box.
	call func(ctx context.Context, address string, r *wire.CallRequest) (*wire.CallAnswer, error)

	mu      sync.Mutex
	owner   *requestkey.Owner[*request]
	witness *requestkey.Witness
	token   uint64
	waiting map[uint64]chan requestkey.Reply
}

func newKeys(d *Daemon) *keys {
	keep := settings.Tree{}.Values(settings.Path{}).KeyRetention
	return &keys{
		box: d,
		call: func(ctx context.Context, address string, r *wire.CallRequest) (*wire.CallAnswer, error) {
			return d.node.Call(ctx, address, r)
		},
		owner: requestkey.NewOwner[*request](requestkey.OwnerConfig{
			Name:        d.config.Name,
			Incarnation: d.process.Incarnation,
			Retention:   keep,
			MaxKeys:     maxKeys,
		}),
		witness: requestkey.NewWitness(d.config.Name, d.process.Incarnation, keep, maxKeys),
		waiting: make(map[uint64]chan requestkey.Reply),
	}
}

func (k *keys) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner.Len()
}

// scope issues a scope for request keys.
func (k *keys) scope() string {
	s := requestkey.Scope{Owner: k.box.config.Name, OwnerIncarnation: k.box.process.Incarnation, IssuedAt: time.Now()} // time of day: keys tell by it when they were issued
	if w, ok := k.box.peers.witness(); ok {
		s.Witness = w.name
		s.WitnessIncarnation = w.incarnation
	}
	return s.String()
}

// testify answers another box's questions as its witness.
func (k *keys) testify(m *wire.WitnessRequest) *wire.WitnessAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.witness.Handle(time.Now(), m) // time of day: keys tell by it when they were issued
}

// serve runs a request that carries a key, or returns what became of it.
func (k *keys) serve(ctx context.Context, r *request) *answer {
	key, err := requestkey.Parse(r.key)
	if err != nil {
		return invalid(err)
	}
	if key.Scope.Owner != k.box.config.Name {
		return k.atOwner(ctx, key, r)
	}
	if key.Scope.OwnerIncarnation != k.box.process.Incarnation {
		return k.askWitness(ctx, key, r)
	}
	return k.begin(ctx, key, r)
}

// atOwner passes a request to the owner of its key. If the owner can't be
// reached, or its answer is lost, the witness is asked.
func (k *keys) atOwner(ctx context.Context, key requestkey.Key, r *request) *answer {
	b, ok := k.box.current.Load().boxes[key.Scope.Owner]
	if !ok || r.hops >= maxHops {
		return k.askWitness(ctx, key, r)
	}
	a := k.box.forward(ctx, b, r)
	if a.outcome == caller.Ran || a.header != nil {
		return a
	}
	return k.askWitness(ctx, key, r)
}

// begin hands a request to the owner machine and waits for its answer.
func (k *keys) begin(ctx context.Context, key requestkey.Key, r *request) *answer {
	reply := make(chan requestkey.Reply, 1)
	k.mu.Lock()
	k.token++
	e := requestkey.Begin[*request]{Token: k.token, Key: key, Digest: r.digest(), Request: r}
	k.waiting[e.Token] = reply
	k.handle(e)
	k.mu.Unlock()
	defer k.leave(key, e.Token)
	select {
	case got := <-reply:
		return k.answer(got)
	case <-ctx.Done():
		return unknown("the caller left while the request may run")
	}
}

func (k *keys) leave(key requestkey.Key, token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiting, token)
	k.handle(requestkey.CallerLeft{Key: key, Token: token})
}

func (k *keys) answer(r requestkey.Reply) *answer {
	switch r.State {
	case wire.KeyState_KEY_STATE_RAN:
		return fromStored(r.Answer)
	case wire.KeyState_KEY_STATE_NOT_RUN:
		return refusal(r.Reason, minRetryAfter)
	}
	if r.Answer != nil {
		a := fromStored(r.Answer)
		a.outcome = caller.Unknown
		return a
	}
	return unknown(r.Reason)
}

// handle gives an event to the owner machine and carries out what it asks for.
// The lock is held.
func (k *keys) handle(e requestkey.Event) {
	out := k.owner.Handle(time.Now(), e) // time of day: keys tell by it when they were issued
	for _, r := range out.Replies {
		if reply, ok := k.waiting[r.Token]; ok {
			delete(k.waiting, r.Token)
			reply <- r
		}
	}
	if out.Record != nil {
		go k.record(out.Record)
	}
	if out.Run != nil {
		go k.run(out.Run.Key, out.Run.Request)
	}
}

// run makes the one attempt of a key. It goes on if the caller leaves.
func (k *keys) run(key requestkey.Key, r *request) {
	f := k.attempt(key, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handle(f)
}

// attempt runs the request of a key. A panic ends it as one that may have run: the box goes on,
// and arrivals of the key must not wait for an end that never comes.
func (k *keys) attempt(key requestkey.Key, r *request) (f requestkey.Finished) {
	defer func() {
		if p := recover(); p != nil {
			k.box.process.RecordPanic("keys", r.id, p)
			f = requestkey.Finished{Key: key, State: wire.KeyState_KEY_STATE_UNKNOWN}
		}
	}()
	ctx, cancel := k.box.clock.WithDeadline(context.Background(), r.deadline)
	defer cancel()
	a := k.box.dispatch(ctx, r.withoutKey())
	if a.stream != nil {
		a = readWhole(a)
	}
	f = requestkey.Finished{Key: key}
	switch a.outcome {
	case caller.Ran:
		f.State = wire.KeyState_KEY_STATE_RAN
		f.Answer = a.stored()
	case caller.NotRun:
		f.State = wire.KeyState_KEY_STATE_NOT_RUN
	default:
		f.State = wire.KeyState_KEY_STATE_UNKNOWN
		if a.header != nil {
			f.Answer = a.stored()
		}
	}
	return f
}

// readWhole reads the rest of a large answer, since an answer under a key is
// given whole to every arrival that waits for it.
func readWhole(a *answer) *answer {
	defer a.discard()
	rest, err := io.ReadAll(io.LimitReader(a.stream, maxBody))
	if err != nil {
		return unknown(fmt.Sprintf("the answer broke off: %v", err))
	}
	whole := *a
	whole.stream = nil
	whole.body = append(whole.body, rest...)
	return &whole
}

// record tells the witness of a key and, if it is about the start, the owner
// machine what the witness said.
func (k *keys) record(m *wire.WitnessRequest) {
	key, err := requestkey.Parse(m.Key)
	if err != nil {
		return // the owner machine holds only keys that were read
	}
	starts := m.State == wire.KeyState_KEY_STATE_STARTED
	tries := resultTries
	if starts {
		tries = 1
	}
	var a *wire.WitnessAnswer
	for range tries {
		if a, err = k.ask(context.Background(), key, m); err == nil {
			break
		}
	}
	if !starts {
		k.reportLoss(m, err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handle(requestkey.WitnessResult{Key: key, Failed: err != nil, Refused: err == nil && a.Refused})
}

// reportLoss tells that the witness was not told the end of a key: if this box ends, a resend
// is answered unknown.
func (k *keys) reportLoss(m *wire.WitnessRequest, err error) {
	if err != nil {
		k.box.process.Event(&wire.TimelineEvent{Kind: "keyNotWitnessed", Box: k.box.config.Name, Detail: fmt.Sprintf("key %s, %s: %v", m.Key, m.State, err)})
	}
}

func (k *keys) ask(ctx context.Context, key requestkey.Key, m *wire.WitnessRequest) (*wire.WitnessAnswer, error) {
	if key.Scope.Witness == k.box.config.Name {
		return k.testify(m), nil
	}
	b, ok := k.box.current.Load().boxes[key.Scope.Witness]
	if !ok {
		return nil, errNoAddress
	}
	return k.callWitness(ctx, b.PeerAddress, m)
}

// panicError says that a call panicked.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// callWitness asks a witness at another box. A panic of the call is its error.
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

// askWitness answers a resend whose owner has died or can't be reached.
func (k *keys) askWitness(ctx context.Context, key requestkey.Key, r *request) *answer {
	if key.Scope.Witness == "" {
		return unknown("the entry box of the key is gone and no other knew of the request")
	}
	m := &wire.WitnessRequest{Action: wire.WitnessRequest_ACTION_ASK, Key: r.key, Digest: r.digest()}
	a, err := k.ask(ctx, key, m)
	if err != nil {
		return unknown(fmt.Sprintf("neither the entry box of the key nor its witness can be reached: %v", err))
	}
	switch a.State {
	case wire.KeyState_KEY_STATE_RAN:
		return fromStored(a.Answer)
	case wire.KeyState_KEY_STATE_ABSENT, wire.KeyState_KEY_STATE_NOT_RUN:
		return refusal("it did not run; look up again for a new key scope", minRetryAfter)
	}
	return unknown("the entry box of the key is gone and the request may have run")
}
