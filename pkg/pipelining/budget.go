package pipelining

import "sync/atomic"

// Budget limits the bytes of buffered responses of all connections of a box. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) full() bool { return b.used.Load() >= b.limit }

func (b *Budget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *Budget) release(bytes int64) { b.used.Add(-bytes) }
