package targetstatus

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxRelayDelay is how much earlier than reported a relayed update may have been sent:
	// its ages don't include the time that the message was in transit.
	maxRelayDelay = 300 * time.Millisecond
	// maxAge bounds the ages in messages. It is longer than any request is in flight.
	maxAge = time.Hour
)

// Message converts an update to a message for another process.
func (u Update) Message(now time.Time) *wire.TargetLimit {
	m := &wire.TargetLimit{
		Life: u.Incarnation, Limited: u.HasLimit(), Leaving: u.Leaving,
		SentAgoMilli: ageMilli(now, u.Sent), HeardAgoMilli: ageMilli(now, u.Received),
	}
	if m.Limited {
		m.PerSecond = u.Limit
	}
	return m
}

func ageMilli(now, at time.Time) int64 {
	if at.Before(now.Add(-maxAge)) {
		return maxAge.Milliseconds()
	}
	return now.Sub(at).Milliseconds()
}

// Messages converts updates to messages for another process.
func Messages(now time.Time, updates []Update) []*wire.TargetLimit {
	out := make([]*wire.TargetLimit, 0, len(updates))
	for _, u := range updates {
		out = append(out, u.Message(now))
	}
	return out
}

// UpdateOf converts a message of another process to an update.
func UpdateOf(now time.Time, m *wire.TargetLimit) Update {
	u := Update{
		Incarnation: m.GetLife(), Limit: NoLimit, Leaving: m.GetLeaving(),
		Sent:     now.Add(-time.Duration(max(m.GetSentAgoMilli(), 0))*time.Millisecond - maxRelayDelay),
		Received: now.Add(-time.Duration(max(m.GetHeardAgoMilli(), 0)) * time.Millisecond),
	}
	if m.GetLimited() {
		u.Limit = max(m.GetPerSecond(), 0)
	}
	return u
}
