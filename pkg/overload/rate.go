package overload

import (
	"math"
	"time"
)

// rate is a count with exponential decay. All calls for a rate state the same half-life.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(now time.Time, halfLife time.Duration) {
	r.count, r.at = r.countAt(now, halfLife)+1, now
}

func (r *rate) countAt(now time.Time, halfLife time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * math.Exp2(-max(now.Sub(r.at), 0).Seconds()/halfLife.Seconds())
}
