package targetpath

import (
	"math"
	"time"
)

// DialTimeout bounds a connection attempt of the box itself, and with it the time after which a
// hedged attempt is due: two of the longest round trips between regions, 70 ms each, and the target's
// handshake, with room for one lost packet on the shorter paths.
const DialTimeout = 300 * time.Millisecond

const (
	// hedgeQuantile is the quantile of a zone's connection times at which a hedged attempt is due: one
	// connection in a hundred would get one if nothing changed, a fifth of hedgeShare.
	hedgeQuantile = 0.99
	// minAboveMedian is the least time between the median and a hedged attempt. A box without enough
	// processor time stalls for up to 90 ms, which delays its connections as a slow link does; in a
	// zone whose times vary by less than that, the quantile alone would be passed by each stall.
	minAboveMedian = 60 * time.Millisecond
	// minSamples is how many connections to a zone are needed for a learned delay. With fewer, the
	// highest of them is below the 0.9 quantile in more than one of eight cases.
	minSamples = 20
	// connectTimeHalfLife is the time in which the weight of a connection halves. After a slow-down that
	// lasted long, the 0.99 quantile is back once the slow connections have a hundredth of the
	// weight: after 6.6 half-lives, 33 s.
	connectTimeHalfLife = 5 * time.Second
	// A bucket's upper bound is bucketGrowth times that of the one before, the first 1 ms, the last
	// DialTimeout: a quantile is too high by at most a fifth, which only makes a hedged attempt later.
	bucketCount       = 33
	bucketGrowth      = 1.2
	firstBucketMillis = 1
)

// bucketBounds holds the upper bounds of the buckets.
var bucketBounds = func() (out [bucketCount]time.Duration) {
	for i := range out {
		out[i] = time.Duration(firstBucketMillis * math.Pow(bucketGrowth, float64(i)) * float64(time.Millisecond))
	}
	out[bucketCount-1] = DialTimeout
	return out
}()

// connectTimes is an exponential histogram of the times that the box's own connections to a zone
// took, in which older ones count less. It takes 160 bytes.
type connectTimes struct {
	weights  [bucketCount]float32
	samples  uint8
	recorded time.Time
}

// record adds a connection. A pause before it counts as at most one half-life: the times of a zone
// with little traffic are forgotten as newer ones arrive, not all at once.
func (c *connectTimes) record(now time.Time, took time.Duration) {
	pause := min(max(now.Sub(c.recorded), 0), connectTimeHalfLife)
	factor := float32(math.Exp2(-pause.Seconds() / connectTimeHalfLife.Seconds()))
	for i := range c.weights {
		c.weights[i] *= factor
	}
	c.recorded = now
	c.weights[bucketOf(took)]++
	c.samples = min(c.samples+1, minSamples)
}

// bucketOf returns the index of the first bucket whose bound is not below a time, or the last.
func bucketOf(took time.Duration) int {
	for i, bound := range bucketBounds {
		if took <= bound {
			return i
		}
	}
	return bucketCount - 1
}

// quantile returns the upper bound of the bucket that holds a quantile.
func (c *connectTimes) quantile(q float64) time.Duration {
	total := 0.0
	for _, w := range c.weights {
		total += float64(w)
	}
	sum := 0.0
	for i, w := range c.weights {
		if sum += float64(w); w > 0 && sum >= q*total {
			return bucketBounds[i]
		}
	}
	return DialTimeout
}

// hedgeDelay returns the time after which a connection attempt that has neither succeeded nor failed
// gets another one beside it.
func (c *connectTimes) hedgeDelay() time.Duration {
	if c.samples < minSamples {
		return DialTimeout
	}
	return min(max(c.quantile(hedgeQuantile), c.quantile(0.5)+minAboveMedian), DialTimeout)
}
