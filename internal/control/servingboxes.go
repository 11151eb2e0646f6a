package control

import (
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// servingListTTL is for how long the list of boxes that serve is kept for look-ups, unless
// a report changes it: a twentieth of the time for which callers keep an answer. Look-ups
// come more often, and each would make the list anew.
const servingListTTL = 50 * time.Millisecond

// servingBoxes keeps the boxes that serve callers.
type servingBoxes struct {
	mu        sync.Mutex
	listedAt  time.Time
	list      []lookup.BoxLocation
	addresses map[string]bool
}

// get returns the list, made anew by a function if it is old.
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
		s.addresses[b.Address] = true
	}
	return s.list
}

// invalidateIfChanged takes a report: one of a box that stops or is new makes the list old.
func (s *servingBoxes) invalidateIfChanged(b *wire.BoxReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := b.CallerAddress != "" && !s.addresses[b.CallerAddress]
	if b.Stopping || isNew {
		s.addresses = nil
	}
}
