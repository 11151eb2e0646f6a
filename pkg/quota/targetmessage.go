package quota

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Message returns a word as it is told to another process.
func (l TargetLimit) Message(now time.Time) *wire.TargetLimit {
	m := &wire.TargetLimit{
		Life: l.Life, Limited: l.Named(), SentAgoMilli: now.Sub(l.Sent).Milliseconds(), HeardAgoMilli: now.Sub(l.Heard).Milliseconds(),
	}
	if m.Limited {
		m.PerSecond = l.PerSecond
	}
	return m
}

// TargetLimitOf returns a word that another process told.
func TargetLimitOf(now time.Time, m *wire.TargetLimit) TargetLimit {
	l := TargetLimit{
		Life: m.GetLife(), PerSecond: NoLimit,
		Sent:  now.Add(-time.Duration(max(m.GetSentAgoMilli(), 0)) * time.Millisecond),
		Heard: now.Add(-time.Duration(max(m.GetHeardAgoMilli(), 0)) * time.Millisecond),
	}
	if m.GetLimited() {
		l.PerSecond = max(m.GetPerSecond(), 0)
	}
	return l.Relayed()
}
