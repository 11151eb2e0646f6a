// Package retry decides when a request is retried. A Budget bounds the retries of a
// process to a share of its first attempts, so that failures can't multiply load. A
// WindowBudget does so for several processes together. A Plan drives the attempts of one
// request. All are state machines without I/O.
package retry

// Budget is a token bucket: a first attempt adds a fraction of a token, a retry or hedge
// takes a whole one.
type Budget struct {
	tokens float64
	share  float64
}

// MaxTokens bounds how many retries may follow at once after a quiet period.
const MaxTokens = 10

// NewBudget returns a full budget that earns sharePercent of a token for each first
// attempt.
func NewBudget(sharePercent int) *Budget {
	b := &Budget{tokens: MaxTokens}
	b.SetShare(sharePercent)
	return b
}

// SetShare changes the share. At zero percent no retry is allowed.
func (b *Budget) SetShare(sharePercent int) { b.share = float64(sharePercent) / 100 }

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() { b.tokens = min(b.tokens+b.share, MaxTokens) }

// Take takes a token for a retry, if there is one.
func (b *Budget) Take() bool {
	if b.share == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
