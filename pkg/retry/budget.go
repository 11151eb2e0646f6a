// Package retry decides when a request is tried again. A Budget bounds the
// retries of a process to a share of its first attempts, so that failures
// can't multiply load; a Plan is the course of one request. Both are state
// machines without I/O.
package retry

// Budget is a bucket of tokens: a first attempt adds a share of a token, a
// retry or hedge takes a whole one.
type Budget struct {
	tokens float64
	share  float64
}

// MaxTokens bounds how many retries may follow at once on a quiet time.
const MaxTokens = 10

// NewBudget returns a full budget that earns sharePercent of a token by each
// first attempt.
func NewBudget(sharePercent int) *Budget {
	b := &Budget{tokens: MaxTokens}
	b.SetShare(sharePercent)
	return b
}

// SetShare changes the share; at zero percent no token is given out.
func (b *Budget) SetShare(sharePercent int) { b.share = float64(sharePercent) / 100 }

// RecordFirst notes a first attempt.
func (b *Budget) RecordFirst() { b.tokens = min(b.tokens+b.share, MaxTokens) }

// Take takes a token for a retry if there is one.
func (b *Budget) Take() bool {
	if b.share == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
