package retry

import "time"

// WindowBudget bounds the retries of one process such that the retries of all processes
// together stay within a share of the requests in a sliding window, plus a fixed number of
// extra retries. Each first attempt earns a fraction of a retry, which expires soon: the sum
// over all processes therefore follows from the sum of their first attempts, whichever
// process the callers use next. It is a state machine without I/O.
type WindowBudget struct {
	share  float64
	length time.Duration
	slots  [slotCount]timeSlot
}

// timeSlot holds the counts of one of the intervals that a window is divided into.
type timeSlot struct {
	number int64
	// earned is how many retries the first attempts of the slot still allow.
	earned float64
	// granted is what they allowed at first.
	granted float64
	// extra is how many of the extra retries were taken in the slot.
	extra float64
}

const (
	// slotsPerWindow is the number of slots that a window is divided into.
	slotsPerWindow = 20
	// slotCount is one more, so that the slots cover every span of the window's length.
	slotCount = slotsPerWindow + 1
	// earnedLifetime is the number of slots for which an earned fraction can be used: 0.3
	// of the window's length. A request fails within a service time of its first attempt, so
	// an older fraction belongs to callers that may use another process by now. A shorter
	// lifetime would allow fewer retries at once when many targets fail together; this one
	// allows the retries of 0.45 s of all requests at once, for a share of 0.2 of 10 s.
	earnedLifetime = 6
	// earnedMargin is the fraction of the share that is handed out. A window contains the
	// retries that were earned in it and up to earnedLifetime before it, so at a steady rate
	// all processes together use at most 0.75 * (1 + 0.3) = 0.975 of the bound.
	earnedMargin = 0.75
	// extraMargin is the fraction of the extra retries that is used, because processes learn
	// of the number of other processes with a delay.
	extraMargin = 0.8
)

// NewWindowBudget returns a budget without recorded requests.
func NewWindowBudget(share float64, length time.Duration) *WindowBudget {
	return &WindowBudget{share: share, length: length}
}

func (w *WindowBudget) slotNumber(at time.Duration) int64 {
	return int64(at / (w.length / slotsPerWindow))
}

func (w *WindowBudget) slotAt(at time.Duration) *timeSlot {
	number := w.slotNumber(at)
	s := &w.slots[number%slotCount]
	if s.number != number {
		*s = timeSlot{number: number}
	}
	return s
}

// RecordFirst records a first attempt at a time since the start of the process.
func (w *WindowBudget) RecordFirst(at time.Duration) {
	s := w.slotAt(at)
	s.earned += earnedMargin * w.share
	s.granted += earnedMargin * w.share
}

// EarnedLeft returns the part of the earned retries, of those that have not expired, that has not
// been taken: 0 to 1, and 0 if less than one whole retry is left.
func (w *WindowBudget) EarnedLeft(at time.Duration) float64 {
	now := w.slotNumber(at)
	var earned, granted float64
	for _, s := range w.slots {
		if now-s.number < earnedLifetime {
			earned += s.earned
			granted += s.granted
		}
	}
	if earned < 1 {
		return 0
	}
	return earned / granted
}

// Allows reports whether one more retry is allowed. Extra is this process's part of the
// extra retries.
func (w *WindowBudget) Allows(at time.Duration, extra float64) bool {
	earned, extraTaken := w.sums(at)
	return earned+extraMargin*extra-extraTaken >= 1
}

// sums returns the earned retries that have not expired, and the extra retries taken
// within the window's length.
func (w *WindowBudget) sums(at time.Duration) (earned, extraTaken float64) {
	now := w.slotNumber(at)
	for i := range w.slots {
		s := &w.slots[i]
		age := now - s.number
		if age < earnedLifetime {
			earned += s.earned
		}
		if age < slotCount {
			extraTaken += s.extra
		}
	}
	return earned, extraTaken
}

// Take takes a retry if one is allowed. It uses the earned fractions that expire first,
// and an extra retry for the rest.
func (w *WindowBudget) Take(at time.Duration, extra float64) bool {
	if !w.Allows(at, extra) {
		return false
	}
	left := 1.0
	now := w.slotAt(at).number
	for number := max(now-earnedLifetime+1, 0); number <= now; number++ {
		s := &w.slots[number%slotCount]
		if s.number != number {
			continue
		}
		used := min(left, s.earned)
		s.earned -= used
		left -= used
	}
	w.slotAt(at).extra += left
	return true
}
