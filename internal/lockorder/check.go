package lockorder

import (
	"fmt"
	"runtime"
	"sync"
)

// checked tells that acquisitions are checked.
var checked bool

// Check makes each acquisition out of order panic with an *OrderError. It is meant for the TestMain
// of a package, before any lock is in use: each acquisition then takes microseconds.
func Check() { checked = true }

// OrderError says that a goroutine acquires a lock while it holds one that comes after it.
type OrderError struct{ Held, Acquired Rank }

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("lock of rank %s acquired while one of rank %s is held", e.Acquired, e.Held)
}

// maxHeld bounds the locks that a goroutine may hold at once, which saves allocations.
const maxHeld = 8

// heldLocks are the locks that a goroutine holds or waits for, in the order of their acquisition.
type heldLocks struct {
	count int
	locks [maxHeld]*Mutex
}

// without returns the locks but for one. A goroutine may release those of others.
func (h heldLocks) without(m *Mutex) heldLocks {
	var left heldLocks
	for _, other := range h.locks[:h.count] {
		if other != m {
			left.locks[left.count] = other
			left.count++
		}
	}
	return left
}

// held are the locks that goroutines hold, by the number of the goroutine.
var held = holders{byGoroutine: make(map[uint64]heldLocks)}

type holders struct {
	mu          sync.Mutex
	byGoroutine map[uint64]heldLocks
	// trace is a buffer for the beginning of a stack trace.
	trace [64]byte
}

func (h *holders) acquire(m *Mutex) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.goroutineID()
	locks := h.byGoroutine[id]
	for _, other := range locks.locks[:locks.count] {
		if other.Rank <= m.Rank {
			panic(&OrderError{Held: other.Rank, Acquired: m.Rank})
		}
	}
	locks.locks[locks.count] = m
	locks.count++
	h.byGoroutine[id] = locks
}

func (h *holders) release(m *Mutex) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.goroutineID()
	left := h.byGoroutine[id].without(m)
	if left.count == 0 {
		delete(h.byGoroutine, id)
		return
	}
	h.byGoroutine[id] = left
}

// goroutineID returns the number of the calling goroutine, with which its stack trace begins:
// "goroutine 18 [running]:".
func (h *holders) goroutineID() (id uint64) {
	trace := h.trace[:runtime.Stack(h.trace[:], false)]
	for _, digit := range trace[len("goroutine "):] {
		if digit < '0' || digit > '9' {
			break
		}
		id = 10*id + uint64(digit-'0')
	}
	return id
}
