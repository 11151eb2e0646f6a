package timeline

import (
	"slices"
	"strings"
	"sync"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Ring is a ring buffer of the latest events of one process. It is safe for concurrent
// use.
type Ring struct {
	mu       sync.Mutex
	process  string
	clock    *Clock
	events   []*wire.TimelineEvent
	next     int
	sequence uint64
	sink     func(*wire.TimelineEvent)
}

// NewRing returns a ring of at most size events. If sink is not nil it is called with
// every event, for longer retention.
func NewRing(process string, clock *Clock, size int, sink func(*wire.TimelineEvent)) *Ring {
	return &Ring{process: process, clock: clock, events: make([]*wire.TimelineEvent, 0, size), sink: sink}
}

// Add stamps and stores an event; a full ring drops its oldest one.
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

// Events returns the stored events that match the filter, oldest first, and how many
// events of the process were dropped.
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

// Matches reports whether an event matches a filter. Empty fields of the filter match
// everything.
func Matches(e *wire.TimelineEvent, f *wire.TimelineRequest) bool {
	return matchesField(e.Request, f.GetRequest()) &&
		matchesField(e.Change, f.GetChange()) &&
		matchesField(e.Shift, f.GetShift()) &&
		(matchesField(e.Box, f.GetBox()) || e.Process == f.GetBox())
}

func matchesField(have, want string) bool { return want == "" || have == want }

// GapKind is the kind of event that Merge inserts where events are missing.
const GapKind = "gap"

// Merge sorts the events of several processes by their timestamps. If a process has
// dropped events, a gap event is inserted before its first one.
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
