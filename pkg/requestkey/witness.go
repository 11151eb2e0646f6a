package requestkey

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

type testimony struct {
	state   wire.KeyState
	answer  *wire.StoredAnswer
	digest  uint64
	attempt uint64
	closed  bool
	expires time.Time
}

// Witness remembers the keys of another box, in case that box dies.
type Witness struct {
	name        string
	incarnation string
	keep        time.Duration
	maxKeys     int
	keys        map[string]*testimony
	sweep       time.Time
}

// NewWitness returns a witness without keys.
func NewWitness(name, incarnation string, keep time.Duration, maxKeys int) *Witness {
	return &Witness{name: name, incarnation: incarnation, keep: keep, maxKeys: maxKeys, keys: make(map[string]*testimony)}
}

// Handle answers a request that arrived at now. A key that the witness is
// asked about before its start was recorded is closed: the start is refused
// from then on, so the answer "absent" stays true.
func (w *Witness) Handle(now time.Time, m *wire.WitnessRequest) *wire.WitnessAnswer {
	w.expire(now)
	k, err := Parse(m.Key)
	if err != nil || k.Scope.Witness != w.name || k.Scope.WitnessIncarnation != w.incarnation {
		return &wire.WitnessAnswer{Refused: true, State: wire.KeyState_KEY_STATE_UNKNOWN}
	}
	t := w.keys[m.Key]
	if t == nil {
		late := now.After(k.Scope.IssuedAt.Add(w.keep)) || k.Scope.IssuedAt.After(now.Add(clockMargin))
		if late || len(w.keys) >= w.maxKeys {
			return &wire.WitnessAnswer{Refused: true, State: wire.KeyState_KEY_STATE_UNKNOWN}
		}
		t = &testimony{expires: k.Scope.IssuedAt.Add(w.keep + 2*clockMargin)}
		w.keys[m.Key] = t
	}
	if m.Action == wire.WitnessRequest_ACTION_ASK {
		if t.attempt > 0 && t.digest != m.Digest {
			return &wire.WitnessAnswer{Refused: true, State: wire.KeyState_KEY_STATE_NOT_RUN}
		}
		if t.state == wire.KeyState_KEY_STATE_ABSENT || t.state == wire.KeyState_KEY_STATE_NOT_RUN {
			t.closed = true
		}
		return &wire.WitnessAnswer{State: t.state, Answer: t.answer}
	}
	return w.record(t, m)
}

// record takes news of a key from its owner. News that is older than what is
// known, such as a late copy, changes nothing.
func (w *Witness) record(t *testimony, m *wire.WitnessRequest) *wire.WitnessAnswer {
	starts := m.State == wire.KeyState_KEY_STATE_STARTED
	if starts && t.closed {
		return &wire.WitnessAnswer{Refused: true, State: t.state}
	}
	older := m.Attempt < t.attempt || (m.Attempt == t.attempt && starts)
	if older {
		return &wire.WitnessAnswer{Refused: true, State: t.state}
	}
	t.state = m.State
	t.answer = bounded(m.Answer)
	t.digest = m.Digest
	t.attempt = m.Attempt
	return &wire.WitnessAnswer{State: t.state}
}

func (w *Witness) expire(now time.Time) {
	if now.Before(w.sweep) {
		return
	}
	w.sweep = now.Add(time.Second)
	for key, t := range w.keys {
		if now.After(t.expires) {
			delete(w.keys, key)
		}
	}
}
