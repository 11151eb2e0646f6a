package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// ControlThreshold and boxThreshold are the log-likelihoods at which evidence against a version
	// suffices, at control and at a single box. A good version reaches ControlThreshold in one test
	// with a probability of at most exp(-ControlThreshold), 1e-6. A roll-out of 30 s takes 150 tests
	// of 3 windows of 5 routes: the union bound for a false alarm is 0.2 percent. The threshold of a
	// box allows for hundreds of boxes.
	ControlThreshold = 13.8
	boxThreshold     = 18.4
	// A version is bad if its share of failures, or of failures and slow responses together, is above
	// toleratedFactor times that of the other versions plus toleratedFailures or toleratedBad.
	toleratedFactor   = 1.5
	toleratedFailures = 0.02
	toleratedBad      = 0.04
	// uncachedFactor and uncachedMargin allow for the error of ObjectSet and for requests about one
	// object that arrive at the same time.
	uncachedFactor = 1.05
	uncachedMargin = 3
	// minPreviousAnswers is how many responses of other versions make a comparison, and assumedShare
	// their share of bad responses while there are fewer.
	minPreviousAnswers = 20
	assumedShare       = 0.1
	// With more than maxUndistinguished targets of a version, the worst one counts as a fault of its
	// own and not of the version, and so does one more for each targetsPerExclusion targets with bad
	// responses.
	maxUndistinguished  = 3
	targetsPerExclusion = 20
	// bucketTime is the time that one bucket of recent responses covers.
	bucketTime = time.Second
)

// windows are the times over which recent responses are summed. A version may turn bad at any time,
// after which its earlier responses no longer count in its favor.
var windows = []time.Duration{3 * time.Second, 10 * time.Second, math.MaxInt64}

// Finding is the evidence by which a version is bad.
type Finding struct {
	// Route is the route with the bad responses, or empty for all routes together.
	Route string
	Counts
}

// String returns the reason shown to operators.
func (f Finding) String() string {
	where := "all routes"
	if f.Route != "" {
		where = "route " + f.Route
	}
	return fmt.Sprintf("%s: %d of %d responses of the version failed or were slow, of the other versions %d of %d",
		where, f.Bad, f.Answers, f.PreviousBad, f.PreviousAnswers)
}

// Judge decides from the responses of a version and of those that it replaces whether it is bad. It
// compares responses on the same route in the same time, so that a burst of requests that slows
// both versions is no evidence.
type Judge struct {
	buckets []bucket
	total   map[string]Counts
}

// bucket holds the responses of one bucketTime.
type bucket struct {
	start  time.Time
	counts map[string]Counts
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge { return &Judge{total: make(map[string]Counts)} }

// Add adds responses on a route that have arrived lately.
func (j *Judge) Add(now time.Time, route string, c Counts) {
	last := len(j.buckets) - 1
	if last < 0 || now.Sub(j.buckets[last].start) >= bucketTime {
		j.dropOld(now)
		j.buckets = append(j.buckets, bucket{now, make(map[string]Counts)})
		last = len(j.buckets) - 1
	}
	j.buckets[last].counts[route] = j.buckets[last].counts[route].With(c)
	j.total[route] = j.total[route].With(c)
}

func (j *Judge) dropOld(now time.Time) {
	longest := windows[len(windows)-2]
	j.buckets = slices.DeleteFunc(j.buckets, func(b bucket) bool { return now.Sub(b.start) > longest })
}

// Total returns the counts of all responses by route.
func (j *Judge) Total() map[string]Counts { return maps.Clone(j.total) }

// Sum returns the counts of all responses.
func (j *Judge) Sum() Counts { return sum(j.total) }

func sum(routes map[string]Counts) (out Counts) {
	for _, c := range routes {
		out = out.With(c)
	}
	return out
}

// Finding returns the evidence by which the version is bad, if it reaches the threshold. targets is
// the number of targets of the version.
func (j *Judge) Finding(now time.Time, targets int, threshold float64) (f Finding, bad bool) {
	for _, w := range windows {
		routes := j.within(now, w)
		for _, name := range slices.Sorted(maps.Keys(routes)) {
			if j.isBad(name, routes[name], targets, threshold) {
				return Finding{name, routes[name]}, true
			}
		}
		if all := sum(routes); j.isBad("", all, targets, threshold) {
			return Finding{"", all}, true
		}
	}
	return Finding{}, false
}

// within returns the counts of a window by route.
func (j *Judge) within(now time.Time, window time.Duration) map[string]Counts {
	if window == math.MaxInt64 {
		return j.total
	}
	out := make(map[string]Counts)
	for _, b := range j.buckets {
		if now.Sub(b.start) > window {
			continue
		}
		for route, c := range b.counts {
			out[route] = out[route].With(c)
		}
	}
	return out
}

// isBad tests whether the share of failures or of bad responses exceeds the tolerated one. The
// first response about each object may be slow.
func (j *Judge) isBad(route string, c Counts, targets int, threshold float64) bool {
	if c.Bad == 0 {
		return false
	}
	worst := c.badOfWorst(excludedTargets(targets, len(c.BadTargets)))
	baseline := j.previous(route, c)
	if exceeds(c.Failed-min(worst, c.Failed), c.Answers, baseline.failures, toleratedFailures, threshold) {
		return true
	}
	uncached := uint64(uncachedFactor*float64(c.Objects)) + uncachedMargin
	bad := c.Bad - min(worst+uncached, c.Bad)
	return exceeds(bad, c.Answers-min(uncached, c.Answers), baseline.bad, toleratedBad, threshold)
}

// exceeds reports whether n responses with a number of bad ones show that the probability of a bad
// one is above what the share of the other versions allows. By the Chernoff bound, n responses of
// which each is bad with a probability of at most p have a share q > p of bad ones with a probability
// of at most exp(-n * divergence(q, p)).
func exceeds(bad, n uint64, previousShare, margin, threshold float64) bool {
	tolerated := min(toleratedFactor*previousShare+margin, 1)
	if n == 0 {
		return false
	}
	share := float64(bad) / float64(n)
	return share > tolerated && float64(n)*divergence(share, tolerated) >= threshold
}

// excludedTargets returns how many of a version's targets may be bad by themselves.
func excludedTargets(targets, badTargets int) int {
	if targets <= maxUndistinguished {
		return 0
	}
	return 1 + badTargets/targetsPerExclusion
}

// previousShares are the shares of failures and of all bad responses of the other versions.
type previousShares struct{ failures, bad float64 }

// previous returns the shares of the other versions: in the same window, or if these responses are too
// few, on the route or on all routes at any time.
func (j *Judge) previous(route string, c Counts) previousShares {
	for _, candidate := range []Counts{c, j.total[route], j.Sum()} {
		if candidate.PreviousAnswers < minPreviousAnswers {
			continue
		}
		// Half a response avoids a share of zero.
		n := float64(candidate.PreviousAnswers + 1)
		return previousShares{(float64(candidate.PreviousFailed) + 0.5) / n, (float64(candidate.PreviousBad) + 0.5) / n}
	}
	return previousShares{assumedShare, assumedShare}
}

// divergence returns the Kullback-Leibler divergence between two Bernoulli distributions, for q > p.
func divergence(q, p float64) float64 {
	if p >= 1 {
		return 0
	}
	out := q * math.Log(q/p)
	if q < 1 {
		out += (1 - q) * math.Log((1-q)/(1-p))
	}
	return out
}
