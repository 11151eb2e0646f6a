package hedging

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave makes a bucket 12 percent wide; values are interpolated within it.
	bucketsPerOctave = 6
	// bucketCount covers 4 ms to 16 s in 288 bytes.
	bucketCount    = 12 * bucketsPerOctave
	shortestBucket = 4 * time.Millisecond
	// decayHalfLife lets a quantile follow a change within seconds. A slowdown is followed faster, as
	// a twentieth of new observations is enough to move the 0.95 quantile.
	decayHalfLife = 5 * time.Second
	// decayFloor is the number of observations below which nothing is forgotten: a box that gets few
	// requests would otherwise never know a quantile.
	decayFloor = 50
	// minObservations is the number of observations that a 0.95 quantile needs.
	minObservations = 20
)

// histogram is an exponential histogram whose observations lose weight with time.
type histogram struct {
	buckets [bucketCount]float32
	total   float64
	at      time.Duration
}

// observe records a value at a time since the start of the process.
func (h *histogram) observe(at, value time.Duration) {
	h.decay(at)
	h.buckets[bucketOf(value)]++
	h.total++
}

func (h *histogram) decay(at time.Duration) {
	elapsed := at - h.at
	// Decay in steps bounds the cost at high rates.
	if elapsed < decayHalfLife/20 {
		return
	}
	h.at = at
	if h.total <= decayFloor {
		return
	}
	factor := max(math.Exp2(-elapsed.Seconds()/decayHalfLife.Seconds()), decayFloor/h.total)
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] *= float32(factor)
		h.total += float64(h.buckets[i])
	}
}

func bucketOf(value time.Duration) int {
	if value <= shortestBucket {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(float64(value)/float64(shortestBucket))), bucketCount-1)
}

// quantile returns the value below which a share of the observations lies. It is unknown for fewer
// than minObservations.
func (h *histogram) quantile(share float64) (value time.Duration, known bool) {
	if h.total < minObservations {
		return 0, false
	}
	wanted := share * h.total
	for i, n := range h.buckets {
		weight := float64(n)
		if weight > 0 && weight >= wanted {
			octaves := (float64(i) + wanted/weight) / bucketsPerOctave
			return time.Duration(float64(shortestBucket) * math.Exp2(octaves)), true
		}
		wanted -= weight
	}
	return time.Duration(float64(shortestBucket) * math.Exp2(bucketCount/bucketsPerOctave)), true
}
