package targetstatus

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// relaySlack is how much earlier than told a relayed update may have been sent: it
	// waited on its way, which its ages don't count.
	relaySlack = 300 * time.Millisecond
	// longestAge bounds the ages that are told. It is longer than any request is in flight.
	longestAge = time.Hour
)

// Message returns an update as it is told to another process.
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
	if at.Before(now.Add(-longestAge)) {
		return longestAge.Milliseconds()
	}
	return now.Sub(at).Milliseconds()
}

// Messages returns updates as they are told to another process.
func Messages(now time.Time, updates []Update) []*wire.TargetLimit {
	out := make([]*wire.TargetLimit, 0, len(updates))
	for _, u := range updates {
		out = append(out, u.Message(now))
	}
	return out
}

// UpdateOf returns an update that another process told.
func UpdateOf(now time.Time, m *wire.TargetLimit) Update {
	u := Update{
		Incarnation: m.GetLife(), Limit: NoLimit, Leaving: m.GetLeaving(),
		Sent:     now.Add(-time.Duration(max(m.GetSentAgoMilli(), 0))*time.Millisecond - relaySlack),
		Received: now.Add(-time.Duration(max(m.GetHeardAgoMilli(), 0)) * time.Millisecond),
	}
	if m.GetLimited() {
		u.Limit = max(m.GetPerSecond(), 0)
	}
	return u
}
