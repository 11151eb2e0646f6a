package retry

import "time"

// Window bounds the retries of one process so that those of all processes
// together stay within a share of the requests of a sliding time and a fixed
// number more. It is a state machine without I/O.
type Window struct {
	share  float64
	length time.Duration
	slots  [windowSlots]windowSlot
}

type windowSlot struct {
	number  int64
	firsts  int
	retries int
}

const (
	// windowSlots is how many parts a window is counted in. One more than its
	// length is looked at, so that every span of that length is covered.
	windowSlots = 11
	// windowMargin is the part of the bound that is used: clocks and counts of
	// several processes differ by a little.
	windowMargin = 0.8
)

// NewWindow returns a window without requests.
func NewWindow(share float64, length time.Duration) *Window {
	return &Window{share: share, length: length}
}

func (w *Window) slot(at time.Duration) *windowSlot {
	number := int64(at / (w.length / (windowSlots - 1)))
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// First notes a first attempt at a time since the start of the process.
func (w *Window) First(at time.Duration) { w.slot(at).firsts++ }

// Allows reports whether the window allows one more retry. Extra is this
// process's part of the retries that are free.
func (w *Window) Allows(at time.Duration, extra float64) bool {
	now := w.slot(at)
	firsts, retries := 0, 0
	for i := range w.slots {
		s := &w.slots[i]
		if now.number-s.number >= windowSlots {
			continue
		}
		firsts += s.firsts
		retries += s.retries
	}
	return float64(retries+1) <= windowMargin*(w.share*float64(firsts)+extra)
}

// Take takes a retry if the window allows one more.
func (w *Window) Take(at time.Duration, extra float64) bool {
	if !w.Allows(at, extra) {
		return false
	}
	w.slot(at).retries++
	return true
}
