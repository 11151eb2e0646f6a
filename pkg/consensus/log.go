package consensus

import (
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// entryLog holds the latest snapshot and the entries after an offset. The offset
// may lie below the snapshot's index, so that a follower that is only slightly
// behind receives entries instead of a snapshot.
type entryLog struct {
	offsetIndex uint64
	offsetTerm  uint64
	entries     []*wire.Entry
	snapshot    *wire.Snapshot
}

func (l *entryLog) lastIndex() uint64 { return l.offsetIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index; ok is false if the log does not
// hold that entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offsetIndex {
		return l.offsetTerm, true
	}
	if index < l.offsetIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offsetIndex-1].Term, true
}

// entriesFrom returns up to limit entries starting at index.
func (l *entryLog) entriesFrom(index uint64, limit int) []*wire.Entry {
	if index <= l.offsetIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.offsetIndex-1:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return rest[:len(rest):len(rest)]
}

// entriesBetween returns the entries with indexes in (low, high].
func (l *entryLog) entriesBetween(low, high uint64) []*wire.Entry {
	if high <= low {
		return nil
	}
	return l.entriesFrom(low+1, int(high-low))
}

func (l *entryLog) append(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncateFrom drops the entry at index and all later ones.
func (l *entryLog) truncateFrom(index uint64) {
	l.entries = l.entries[: index-l.offsetIndex-1 : index-l.offsetIndex-1]
}

// compact records a snapshot and drops the entries up to its index except the last
// trailing ones.
func (l *entryLog) compact(s *wire.Snapshot, trailing uint64) {
	if l.snapshot != nil && s.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = s
	if s.Index <= l.offsetIndex+trailing {
		return
	}
	index := s.Index - trailing
	term, ok := l.term(index)
	if !ok {
		return
	}
	kept := l.entriesBetween(index, l.lastIndex())
	l.entries = append([]*wire.Entry(nil), kept...)
	l.offsetIndex = index
	l.offsetTerm = term
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	*l = entryLog{offsetIndex: s.Index, offsetTerm: s.Term, snapshot: s}
}

// snapshotIsSmaller reports whether the snapshot has fewer bytes than the entries
// that it would replace, from index on.
func (l *entryLog) snapshotIsSmaller(index uint64) bool {
	if l.snapshot == nil || l.snapshot.Index < index {
		return false
	}
	bytes := 0
	for _, e := range l.entriesBetween(index-1, l.snapshot.Index) {
		bytes += proto.Size(e)
	}
	return bytes > len(l.snapshot.Data)
}

// isUpToDate reports whether a log that ends at index and term is at least as
// up-to-date as this one, as Raft defines it for votes.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// firstOfTerm returns the first index in the log whose entry has the same term as
// the entry at index.
func (l *entryLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.offsetIndex+1 {
		before, ok := l.term(index - 1)
		if !ok || before != term {
			break
		}
		index--
	}
	return index
}
