package pipelining

import "sync/atomic"

// Budget limits the bytes that all connections of a box buffer: responses, and heads that were read ahead. It is safe for
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

// Reserve takes bytes, or reports false and takes none if there are not as many left.
func (b *Budget) Reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// Release gives bytes back.
func (b *Budget) Release(bytes int64) { b.used.Add(-bytes) }
