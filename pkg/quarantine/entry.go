package quarantine

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// probationTime is how long a request stays on probation, and quarantineTime how long it
	// stays in quarantine. The latter bounds the harm of a wrong decision, and what a request
	// that does crash its targets can still do: three episodes in an hour. An operator may
	// release a request earlier.
	probationTime  = EvidenceRetention
	quarantineTime = time.Hour
	// turnThreshold is the number of crashed targets from which the boxes take turns to run a
	// request on probation, so that one that does crash its targets reaches one of them in
	// turnLength: the time within which all boxes are informed of a crash.
	turnThreshold = 3
	turnLength    = 2 * time.Second
)

// Entry is a request on the replicated list.
type Entry struct {
	Request Digest
	// Caller is the caller whose requests are affected, or AnyCaller.
	Caller Caller
	// Held is true if the request is quarantined and reaches no target. Otherwise it is on
	// probation.
	Held    bool
	Route   string
	Service string
	// CrashedTargets are the incarnations of targets that crashed while they ran it.
	CrashedTargets []string
	// Until is the wall clock time at which the entry is removed.
	Until time.Time
}

// Covers reports whether the entry applies to requests of a caller.
func (e Entry) Covers(c Caller) bool { return e.Caller == AnyCaller || e.Caller == c }

// takesTurns reports whether the boxes take turns to run the request on probation.
func (e Entry) takesTurns() bool { return !e.Held && len(e.CrashedTargets) >= turnThreshold }

// EntryOf converts a message to an entry.
func EntryOf(m *wire.Quarantined) Entry {
	e := Entry{
		Caller: Caller(m.Caller), Held: m.Held, Route: m.Route, Service: m.Service,
		CrashedTargets: slices.Clone(m.Lives), Until: time.UnixMilli(m.UntilUnixMilli),
	}
	copy(e.Request[:], m.Digest)
	return e
}

// EntriesOf converts a list of messages.
func EntriesOf(list []*wire.Quarantined) []Entry {
	out := make([]Entry, 0, len(list))
	for _, m := range list {
		out = append(out, EntryOf(m))
	}
	return out
}

// Message converts the entry to a message.
func (e Entry) Message() *wire.Quarantined {
	return &wire.Quarantined{
		Digest: e.Request[:], Caller: uint64(e.Caller), Held: e.Held, Route: e.Route, Service: e.Service,
		Lives: e.CrashedTargets, UntilUnixMilli: e.Until.UnixMilli(),
	}
}

func groupByDigest(list []Entry) map[Digest][]Entry {
	out := make(map[Digest][]Entry, len(list))
	for _, e := range list {
		out[e.Request] = append(out[e.Request], e)
	}
	return out
}
