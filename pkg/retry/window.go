package retry

import "time"

// WindowBudget bounds the retries of one process so that those of all processes
// together stay within a share of the requests of a sliding time and a fixed
// number more. Each first attempt earns a part of a retry, which expires soon:
// so the sum over all processes follows from the sum of their first attempts,
// whichever process the callers ask next. It is a state machine without I/O.
type WindowBudget struct {
	share  float64
	length time.Duration
	slots  [windowSlots]windowSlot
}

// windowSlot is what happened in one slot of time.
type windowSlot struct {
	number int64
	// earned is how many retries the first attempts of the slot still allow.
	earned float64
	// extra is how many of the fixed retries were taken in the slot.
	extra float64
}

const (
	// slotsOfLength is how many slots the length of a window is counted in.
	slotsOfLength = 20
	// windowSlots is one more, so that every span of the window's length is
	// covered.
	windowSlots = slotsOfLength + 1
	// earnedSlots is for how many slots a first attempt's part can be used: 0.3
	// of the window's length. A failure comes within a service time of its first
	// attempt, so a part that is older belongs to callers who may ask elsewhere by
	// now. Shorter would allow less at once when many targets fail together; this
	// allows the retries of 0.45 s of all requests at once where the share is 0.2
	// of 10 s.
	earnedSlots = 6
	// earnedMargin is the part of the share that is handed out. In a window count
	// the retries that were earned in it and up to earnedSlots before it, so at a
	// steady rate 0.75 * (1 + 0.3) = 0.975 of the bound is the most that all
	// processes together use.
	earnedMargin = 0.75
	// extraMargin is the part of the fixed retries that is used: processes that
	// come and go learn of each other's number a little late.
	extraMargin = 0.8
)

// NewWindowBudget returns a window without requests.
func NewWindowBudget(share float64, length time.Duration) *WindowBudget {
	return &WindowBudget{share: share, length: length}
}

func (w *WindowBudget) number(at time.Duration) int64 {
	return int64(at / (w.length / slotsOfLength))
}

func (w *WindowBudget) slot(at time.Duration) *windowSlot {
	number := w.number(at)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = windowSlot{number: number}
	}
	return s
}

// RecordFirst notes a first attempt at a time since the start of the process.
func (w *WindowBudget) RecordFirst(at time.Duration) { w.slot(at).earned += earnedMargin * w.share }

// Allows reports whether the window allows one more retry. Extra is this
// process's part of the retries that are free.
func (w *WindowBudget) Allows(at time.Duration, extra float64) bool {
	earned, taken := w.sums(at)
	return earned+extraMargin*extra-taken >= 1
}

// sums returns the retries that are earned and have not expired, and the fixed
// ones taken within the window's length.
func (w *WindowBudget) sums(at time.Duration) (earned, taken float64) {
	now := w.number(at)
	for i := range w.slots {
		s := &w.slots[i]
		age := now - s.number
		if age < earnedSlots {
			earned += s.earned
		}
		if age < windowSlots {
			taken += s.extra
		}
	}
	return earned, taken
}

// Take takes a retry if the window allows one more: what expires first, and a
// fixed one for what is not earned.
func (w *WindowBudget) Take(at time.Duration, extra float64) bool {
	if !w.Allows(at, extra) {
		return false
	}
	left := 1.0
	now := w.slot(at).number
	for number := max(now-earnedSlots+1, 0); number <= now; number++ {
		s := &w.slots[number%windowSlots]
		if s.number != number {
			continue
		}
		used := min(left, s.earned)
		s.earned -= used
		left -= used
	}
	w.slot(at).extra += left
	return true
}
