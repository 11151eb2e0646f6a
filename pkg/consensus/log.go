package consensus

import (
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// entryLog holds the entries after an offset, and the latest snapshot. The
// offset may lie below the snapshot, so that a follower that is only a little
// behind can be served entries.
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

// term returns the term of the entry at index; ok is false if it is not held.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.offsetIndex {
		return l.offsetTerm, true
	}
	if index < l.offsetIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offsetIndex-1].Term, true
}

// from returns up to limit entries starting at index.
func (l *entryLog) from(index uint64, limit int) []*wire.Entry {
	if index <= l.offsetIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.offsetIndex-1:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return rest[:len(rest):len(rest)]
}

// between returns the entries after low up to and including high.
func (l *entryLog) between(low, high uint64) []*wire.Entry {
	if high <= low {
		return nil
	}
	return l.from(low+1, int(high-low))
}

func (l *entryLog) append(entries ...*wire.Entry) {
	l.entries = append(l.entries, entries...)
}

// cut drops all entries from index on.
func (l *entryLog) cut(index uint64) {
	l.entries = l.entries[: index-l.offsetIndex-1 : index-l.offsetIndex-1]
}

// compact takes a snapshot and drops the entries more than trailing below it.
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
	kept := l.between(index, l.lastIndex())
	l.entries = append([]*wire.Entry(nil), kept...)
	l.offsetIndex = index
	l.offsetTerm = term
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(s *wire.Snapshot) {
	*l = entryLog{offsetIndex: s.Index, offsetTerm: s.Term, snapshot: s}
}

// snapshotIsSmaller reports whether sending the snapshot costs fewer bytes
// than the entries from index up to it.
func (l *entryLog) snapshotIsSmaller(index uint64) bool {
	if l.snapshot == nil || l.snapshot.Index < index {
		return false
	}
	bytes := 0
	for _, e := range l.between(index-1, l.snapshot.Index) {
		bytes += proto.Size(e)
	}
	return bytes > len(l.snapshot.Data)
}

// upToDate reports whether a log that ends at index and term is at least as
// long as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// firstOfTerm returns the first held index that has the term of index.
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
