package control

import (
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// servingListTTL is how long the list of serving boxes is cached for lookups unless a report
// changes it: a twentieth of the time for which callers cache an answer. Lookups are more frequent
// than that, and each would otherwise rebuild the list.
const servingListTTL = 50 * time.Millisecond

// servingBoxes caches the list of boxes that serve callers.
type servingBoxes struct {
	mu       lockorder.Mutex
	listedAt time.Time
	list     []lookup.BoxLocation
	// addresses are those of the list, each with whether its box is cut off from the targets.
	addresses map[string]bool
}

// get returns the cached list, rebuilt with fill if it has expired.
func (s *servingBoxes) get(now time.Time, fill func() []lookup.BoxLocation) []lookup.BoxLocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addresses != nil && now.Sub(s.listedAt) < servingListTTL {
		return s.list
	}
	s.list = fill()
	s.listedAt = now
	s.addresses = make(map[string]bool, len(s.list))
	for _, b := range s.list {
		s.addresses[b.Address] = b.CutOff
	}
	return s.list
}

// invalidateIfChanged drops the cached list if a box reports that it is stopping, reports for the first
// time or reports another state of its links to targets.
func (s *servingBoxes) invalidateIfChanged(b *wire.BoxReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutOff, known := s.addresses[b.CallerAddress]
	if b.Stopping || b.CallerAddress != "" && (!known || cutOff != b.CutOff) {
		s.addresses = nil
	}
}
