package quarantine

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// watchTime is for how long a request is watched, and holdTime for how long it is
	// held. The second bounds what a wrong verdict costs and what a right one lets
	// through: three targets in an hour. An operator may let a request go before.
	watchTime = EvidenceRetention
	holdTime  = time.Hour
)

// Entry is a request on the replicated list.
type Entry struct {
	Request Digest
	// Caller is whose requests are meant; AnyCaller for all.
	Caller Caller
	// Held tells that it reaches no target; until then it is watched.
	Held    bool
	Route   string
	Service string
	// CrashedTargets are those of targets that ended under it.
	CrashedTargets []string
	// Until is when it is let go, by the time of day.
	Until time.Time
}

// Covers reports whether the entry is about requests of a caller.
func (e Entry) Covers(c Caller) bool { return e.Caller == AnyCaller || e.Caller == c }

// EntryOf reads an entry from its message.
func EntryOf(m *wire.Quarantined) Entry {
	e := Entry{
		Caller: Caller(m.Caller), Held: m.Held, Route: m.Route, Service: m.Service,
		CrashedTargets: slices.Clone(m.Lives), Until: time.UnixMilli(m.UntilUnixMilli),
	}
	copy(e.Request[:], m.Digest)
	return e
}

// EntriesOf reads a list of entries.
func EntriesOf(list []*wire.Quarantined) []Entry {
	out := make([]Entry, 0, len(list))
	for _, m := range list {
		out = append(out, EntryOf(m))
	}
	return out
}

// Message returns the entry as a message.
func (e Entry) Message() *wire.Quarantined {
	return &wire.Quarantined{
		Digest: e.Request[:], Caller: uint64(e.Caller), Held: e.Held, Route: e.Route, Service: e.Service,
		Lives: e.CrashedTargets, UntilUnixMilli: e.Until.UnixMilli(),
	}
}

func byDigest(list []Entry) map[Digest][]Entry {
	out := make(map[Digest][]Entry, len(list))
	for _, e := range list {
		out[e.Request] = append(out[e.Request], e)
	}
	return out
}
