package distribution

import (
	"fmt"
	"time"
)

const (
	// transferLimit is how long an update may arrive before another source is
	// tried: 5 MB take 20 s over 2 Mbit/s, half of a box's link. It doubles with
	// each update that takes longer, up to maxTransferLimit, in which the longest
	// message, 64 MB, arrives at 0.9 Mbit/s; else a slow link would never carry
	// a state that takes longer.
	transferLimit    = 20 * time.Second
	maxTransferLimit = 32 * transferLimit
)

// transfer is an update of which bytes have come; without bytes there is none.
type transfer struct {
	bytes uint64
	began time.Time
}

// progress takes that bytes have come. They are a sign of life, not a word of
// control: that is as old as the last whole update.
func (f *Follower) progress(now time.Time, e Progress) {
	if e.Attempt != f.attempt || e.Bytes == f.arriving.bytes {
		return
	}
	if f.arriving.bytes == 0 {
		f.arriving.began = now
	}
	f.arriving.bytes = e.Bytes
	f.lastSign = now
}

// arrives reports whether an update is on its way and neither stands still nor
// takes too long.
func (f *Follower) arrives(now time.Time) bool {
	return f.arriving.bytes > 0 && now.Sub(f.lastSign) <= f.staleAfter && !f.overdue(now)
}

// overdue reports whether an update has been on its way for too long.
func (f *Follower) overdue(now time.Time) bool {
	return f.arriving.bytes > 0 && now.Sub(f.arriving.began) > f.limit
}

// endTransfer lets go of an update that has not come whole.
func (f *Follower) endTransfer(now time.Time) {
	if f.overdue(now) {
		f.limit = min(2*f.limit, maxTransferLimit)
	}
	f.arriving = transfer{}
}

// why tells what the follower knows of a source that it no longer follows.
func (f *Follower) why(now time.Time, does string) string {
	text := fmt.Sprintf("%s %s: word of control %d ms old", does, f.sources[f.current].Name, f.ControlAge(now).Milliseconds())
	if f.arriving.bytes == 0 {
		return text + ", no update arriving"
	}
	return fmt.Sprintf("%s, %d bytes of an update in %d ms, none for %d ms", text, f.arriving.bytes,
		now.Sub(f.arriving.began).Milliseconds(), now.Sub(f.lastSign).Milliseconds())
}
