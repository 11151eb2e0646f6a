package consensus

import (
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// clockDriftDivisor bounds how much the clocks of two replicas drift apart: by a 500th of the
// time that passes. Clocks that are being adjusted run up to 500 parts in a million too fast or
// too slow each.
const clockDriftDivisor = 500

// clock encodes the times of one start of a replica for other replicas.
type clock struct {
	// id distinguishes the clock from those of earlier starts, whose times other replicas
	// may still send.
	id     uint64
	origin time.Time
}

func newClock(now time.Time, seed uint64) clock {
	return clock{id: rand.NewPCG(seed, uint64(now.UnixNano())).Uint64(), origin: now}
}

func (c clock) encode(t time.Time) *wire.ReplicaTime {
	return &wire.ReplicaTime{Clock: c.id, Nanos: int64(t.Sub(c.origin))}
}

// decode returns the local time of a reading; ok is false if it is not one of this clock.
func (c clock) decode(t *wire.ReplicaTime) (at time.Time, ok bool) {
	if t.Clock != c.id {
		return time.Time{}, false
	}
	return c.origin.Add(time.Duration(t.Nanos)), true
}

// peerClock is the last reading of another replica's clock. The zero value is a clock that is
// not known.
type peerClock struct {
	reading *wire.ReplicaTime
	// arrivedAt is the local time at which the reading arrived, so it was made before.
	arrivedAt time.Time
}

// timeAt returns a time of the peer's clock that is not after the local time t, or one without
// a clock if that is not known.
func (c peerClock) timeAt(t time.Time) *wire.ReplicaTime {
	if c.reading == nil {
		return &wire.ReplicaTime{}
	}
	elapsed := t.Sub(c.arrivedAt)
	elapsed -= elapsed.Abs() / clockDriftDivisor
	return &wire.ReplicaTime{Clock: c.reading.Clock, Nanos: c.reading.Nanos + int64(elapsed)}
}
