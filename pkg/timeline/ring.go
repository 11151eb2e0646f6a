package timeline

import (
	"slices"
	"strings"
	"sync"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Ring keeps the latest events of one process. It is safe for concurrent use.
type Ring struct {
	mu       sync.Mutex
	process  string
	clock    *Clock
	events   []*wire.TimelineEvent
	next     int
	sequence uint64
	sink     func(*wire.TimelineEvent)
}

// NewRing returns a ring of at most size events. If sink is not nil it gets
// every event, to keep it longer.
func NewRing(process string, clock *Clock, size int, sink func(*wire.TimelineEvent)) *Ring {
	return &Ring{process: process, clock: clock, events: make([]*wire.TimelineEvent, 0, size), sink: sink}
}

// Add stamps an event and keeps it, letting go of the oldest if need be.
func (r *Ring) Add(e *wire.TimelineEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	e.Sequence = r.sequence
	e.Process = r.process
	e.Clock = r.clock.Stamp()
	if r.sink != nil {
		r.sink(e)
	}
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the kept events that the filter lets pass, oldest first, and
// how many of the process's events are no longer kept.
func (r *Ring) Events(filter *wire.TimelineRequest) *wire.TimelineAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &wire.TimelineAnswer{Lost: r.sequence - uint64(len(r.events))}
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if Matches(e, filter) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

// Matches reports whether an event passes a filter; an empty field of the
// filter lets everything pass.
func Matches(e *wire.TimelineEvent, f *wire.TimelineRequest) bool {
	return matches(e.Request, f.GetRequest()) &&
		matches(e.Change, f.GetChange()) &&
		matches(e.Shift, f.GetShift()) &&
		(matches(e.Box, f.GetBox()) || e.Process == f.GetBox())
}

func matches(have, want string) bool { return want == "" || have == want }

// GapKind is the kind of the event that Merge puts where events were lost.
const GapKind = "gap"

// Merge puts the events of several processes into one order by their clocks.
// Events that a process had to let go are shown as one gap before its first.
func Merge(answers ...*wire.TimelineAnswer) []*wire.TimelineEvent {
	var out []*wire.TimelineEvent
	for _, a := range answers {
		if a.Lost > 0 && len(a.Events) > 0 {
			first := a.Events[0]
			out = append(out, &wire.TimelineEvent{Clock: first.Clock, Process: first.Process, Kind: GapKind})
		}
		out = append(out, a.Events...)
	}
	slices.SortStableFunc(out, func(a, b *wire.TimelineEvent) int {
		if Before(a.Clock, b.Clock) {
			return -1
		}
		if Before(b.Clock, a.Clock) {
			return 1
		}
		if c := strings.Compare(a.Process, b.Process); c != 0 {
			return c
		}
		return int(a.Sequence) - int(b.Sequence)
	})
	return out
}
