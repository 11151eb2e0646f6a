package balance

import "github.com/cespare/xxhash/v2"

// splitStep moves a split along by the golden ratio's fraction: of all steps it
// spreads any number of requests most evenly over weights that are not known
// beforehand.
const splitStep = 0.6180339887498949

// Split divides the requests of one route among its services. The share of each
// follows its weight over a few dozen requests of a box. Boxes begin at
// different points, so that all together also hold the shares when each of them
// has had a few requests only.
type Split struct{ position float64 }

// NewSplit returns the split of a route at an entry box.
func NewSplit(box, route string) *Split {
	const mantissa = 1 << 53
	return &Split{position: float64(mix(xxhash.Sum64String(box)^xxhash.Sum64String(route))%mantissa) / mantissa}
}

// Next returns the index of the service that the next request is for. Weights
// are not negative and one at least is above zero.
func (s *Split) Next(weights []float64) int {
	s.position += splitStep
	if s.position >= 1 {
		s.position--
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	due := s.position * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		if due < w {
			return i
		}
		due -= w
		last = i
	}
	return last // rounding may leave a little of the sum
}
