package distribution

import (
	"fmt"
	"time"
)

const (
	// minTransferTimeout bounds the time to receive an update before another source is
	// tried: 5 MB take 20 s at 2 Mbit/s, half of a box's link. It doubles with each
	// update that takes longer, up to maxTransferTimeout, in which the longest message
	// of 64 MB arrives at 0.9 Mbit/s. Otherwise a state that takes longer would never
	// get through a slow link.
	minTransferTimeout = 20 * time.Second
	maxTransferTimeout = 32 * minTransferTimeout
)

// transfer is an update that has been received in part. With zero bytes there is none.
type transfer struct {
	bytes     uint64
	startedAt time.Time
}

// handleProgress records received bytes. They show that the source is alive but are no
// contact with control, which dates from the last complete update.
func (f *Follower) handleProgress(now time.Time, e Progress) {
	if e.Attempt != f.attempt || e.Bytes == f.incoming.bytes {
		return
	}
	if f.incoming.bytes == 0 {
		f.incoming.startedAt = now
	}
	f.incoming.bytes = e.Bytes
	f.lastActivity = now
}

// isReceiving reports whether an update is being received that has neither stalled nor
// timed out.
func (f *Follower) isReceiving(now time.Time) bool {
	return f.incoming.bytes > 0 && now.Sub(f.lastActivity) <= f.staleAfter && !f.transferTimedOut(now)
}

// transferTimedOut reports whether receiving an update has taken too long.
func (f *Follower) transferTimedOut(now time.Time) bool {
	return f.incoming.bytes > 0 && now.Sub(f.incoming.startedAt) > f.transferTimeout
}

// abortTransfer discards a partly received update and doubles the timeout if it was
// exceeded.
func (f *Follower) abortTransfer(now time.Time) {
	if f.transferTimedOut(now) {
		f.transferTimeout = min(2*f.transferTimeout, maxTransferTimeout)
	}
	f.incoming = transfer{}
}

// describeUpstream returns a timeline text on an upstream that the follower leaves.
// verb is what the follower does.
func (f *Follower) describeUpstream(now time.Time, verb string) string {
	text := fmt.Sprintf("%s %s: word of control %d ms old", verb, f.sources[f.current].Name, f.ControlAge(now).Milliseconds())
	if f.incoming.bytes == 0 {
		return text + ", no update arriving"
	}
	return fmt.Sprintf("%s, %d bytes of an update in %d ms, none for %d ms", text, f.incoming.bytes,
		now.Sub(f.incoming.startedAt).Milliseconds(), now.Sub(f.lastActivity).Milliseconds())
}
