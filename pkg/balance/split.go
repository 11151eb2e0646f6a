package balance

import "github.com/cespare/xxhash/v2"

// splitStep is the fractional part of the golden ratio. Of all step sizes it spreads any number of
// requests most evenly over weights that are not known beforehand.
const splitStep = 0.6180339887498949

// Split divides the requests of one route among its services. Within a few dozen requests of a box,
// each service's share matches its weight. Boxes start at different positions, so that the shares
// also hold over all boxes when each has had only a few requests.
type Split struct{ position float64 }

// NewSplit returns the split of a route at an entry box.
func NewSplit(box, route string) *Split {
	const mantissa = 1 << 53
	return &Split{position: float64(mix(xxhash.Sum64String(box)^xxhash.Sum64String(route))%mantissa) / mantissa}
}

// Next returns the index of the service for the next request. No weight may be negative, and at
// least one must be positive.
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
	return last // rounding may leave a small remainder
}
