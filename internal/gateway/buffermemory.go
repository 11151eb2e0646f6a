package gateway

import (
	"math"
	"runtime/debug"

	"ledgesill.dev/ledgesill/pkg/pipelining"
)

const (
	// bufferShare is the share of the box's soft memory limit that buffered bodies and long response
	// heads may take together, defaultBufferMemory what they may take if there is no limit, in bytes.
	bufferShare         = 1.0 / 4
	defaultBufferMemory = 64 << 20
	// unreservedBuffer is the size, in bytes, up to which a body is buffered in any case, and
	// unreservedHead that up to which a response head is read.
	unreservedBuffer = 16 << 10
	unreservedHead   = 4 << 10
	// headCopies is how often the bytes of a response head are held while it is read.
	headCopies = 4
)

// newBufferMemory returns the limit on what a box buffers for requests and responses.
func newBufferMemory() *pipelining.Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return pipelining.NewBudget(defaultBufferMemory)
	}
	return pipelining.NewBudget(int64(bufferShare * float64(limit)))
}

// bufferMemory is what one body or head takes of the limit. Without a limit it takes nothing.
type bufferMemory struct {
	limit    *pipelining.Budget
	reserved int64
}

// grow reserves memory for a buffer of a size, and reports false if there is not enough. The first free
// bytes need no reservation.
func (m *bufferMemory) grow(size, free int) bool {
	extra := int64(size) - m.reserved
	if m.limit == nil || size <= free || extra <= 0 {
		return true
	}
	if !m.limit.Reserve(extra) {
		return false
	}
	m.reserved += extra
	return true
}

// release gives back what was reserved.
func (m *bufferMemory) release() {
	if m.reserved > 0 {
		m.limit.Release(m.reserved)
		m.reserved = 0
	}
}
