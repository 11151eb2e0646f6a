package requestkey

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

type witnessRecord struct {
	state   wire.KeyState
	answer  *wire.StoredAnswer
	digest  uint64
	attempt uint64
	closed  bool
	expires time.Time
}

// Witness remembers the state of another box's keys, in case that box fails.
type Witness struct {
	name        string
	incarnation string
	retention   time.Duration
	maxKeys     int
	keys        map[string]*witnessRecord
	nextSweep   time.Time
}

// NewWitness returns a witness without keys.
func NewWitness(name, incarnation string, retention time.Duration, maxKeys int) *Witness {
	return &Witness{name: name, incarnation: incarnation, retention: retention, maxKeys: maxKeys, keys: make(map[string]*witnessRecord)}
}

// Handle answers a request received at now. A query for a key whose start was not
// recorded, or whose attempt ended as not run, closes the key: from then on the witness
// refuses to record a start, so that its answer stays true.
func (w *Witness) Handle(now time.Time, m *wire.WitnessRequest) *wire.WitnessAnswer {
	w.expire(now)
	k, err := Parse(m.Key)
	if err != nil || k.Scope.Witness != w.name || k.Scope.WitnessIncarnation != w.incarnation {
		return &wire.WitnessAnswer{Refused: true, State: wire.KeyState_KEY_STATE_UNKNOWN}
	}
	t := w.keys[m.Key]
	if t == nil {
		late := now.After(k.Scope.IssuedAt.Add(w.retention)) || k.Scope.IssuedAt.After(now.Add(maxClockSkew))
		if late || len(w.keys) >= w.maxKeys {
			return &wire.WitnessAnswer{Refused: true, State: wire.KeyState_KEY_STATE_UNKNOWN}
		}
		t = &witnessRecord{expires: k.Scope.IssuedAt.Add(w.retention + 2*maxClockSkew)}
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
	return w.applyRecord(t, m)
}

// applyRecord stores the state of a key as its owner reports it. An outdated report,
// such as a delayed duplicate, is refused.
func (w *Witness) applyRecord(t *witnessRecord, m *wire.WitnessRequest) *wire.WitnessAnswer {
	starts := m.State == wire.KeyState_KEY_STATE_STARTED
	if starts && t.closed {
		return &wire.WitnessAnswer{Refused: true, State: t.state}
	}
	older := m.Attempt < t.attempt || (m.Attempt == t.attempt && starts)
	if older {
		return &wire.WitnessAnswer{Refused: true, State: t.state}
	}
	t.state = m.State
	t.answer = storable(m.Answer)
	t.digest = m.Digest
	t.attempt = m.Attempt
	return &wire.WitnessAnswer{State: t.state}
}

func (w *Witness) expire(now time.Time) {
	if now.Before(w.nextSweep) {
		return
	}
	w.nextSweep = now.Add(time.Second)
	for key, t := range w.keys {
		if now.After(t.expires) {
			delete(w.keys, key)
		}
	}
}
