package batch

import (
	"math"
	"time"
)

const (
	// itemTimeShare is the share of NominalDuration that the items of a batch may take beyond its
	// fixed cost.
	itemTimeShare = 1.0 / 3
	// sampleDecay is by how much an older batch counts less than the next one.
	sampleDecay = 0.85
	// minSamples is the weight of batches that make an estimate, and minSpread the spread of their
	// sizes, as a share of the mean size.
	minSamples = 2.0
	minSpread  = 0.2
)

// sizer chooses the maximum number of items in a batch. A batch has a fixed cost, which larger ones
// spread over more items, and a cost for each item, which delays what waits behind the batch. The sizer
// estimates the latter by a linear regression of the durations of recent batches on their sizes, and
// grows as long as the items of a batch take a small part of NominalDuration.
type sizer struct {
	config Config
	limit  int
	// probe is set if batches of another size are needed for an estimate.
	probe bool
	// weight and the sums are those of recent batches; times are in seconds.
	weight, sizes, times, sizesSquared, products float64
}

func newSizer(c Config) sizer { return sizer{config: c, limit: c.minItems()} }

// next returns the maximum number of items of the next batch. A probe takes fewer, as a smaller batch
// delays nothing.
func (s *sizer) next() int {
	if s.probe {
		return max(s.limit/2, 1)
	}
	return s.limit
}

// record records the duration of a batch and adapts the limit. It grows by at most a factor of two, and
// only if the batch was about as large as it allows.
func (s *sizer) record(items int, took time.Duration) {
	s.addSample(float64(items), took.Seconds())
	itemTime, ok := s.itemTime()
	s.probe = !ok && items >= s.config.minItems()
	if !ok {
		return
	}
	wanted := float64(s.config.MaxItems)
	if itemTime > 0 {
		wanted = min(wanted, itemTimeShare*s.config.NominalDuration.Seconds()/itemTime)
	}
	most := float64(s.limit)
	if 2*items >= s.limit {
		most *= 2
	}
	s.limit = max(int(min(wanted, most)), s.config.minItems())
}

// addSample adds the size and duration of a batch to the sums.
func (s *sizer) addSample(size, seconds float64) {
	s.weight = s.weight*sampleDecay + 1
	s.sizes = s.sizes*sampleDecay + size
	s.times = s.times*sampleDecay + seconds
	s.sizesSquared = s.sizesSquared*sampleDecay + size*size
	s.products = s.products*sampleDecay + size*seconds
}

// itemTime estimates what an item adds to the duration of a batch, in seconds. ok is false if recent
// batches do not tell.
func (s *sizer) itemTime() (seconds float64, ok bool) {
	meanSize, meanTime := s.sizes/s.weight, s.times/s.weight
	variance := s.sizesSquared/s.weight - meanSize*meanSize
	if s.weight < minSamples || variance < math.Pow(minSpread*meanSize, 2) {
		return 0, false
	}
	return (s.products/s.weight - meanSize*meanTime) / variance, true
}
