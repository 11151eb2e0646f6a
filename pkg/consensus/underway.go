package consensus

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// leastRate is what a link between replicas carries at least, in bytes a
	// second: 4 Mbit/s.
	leastRate = 4_000_000 / 8
	// maxUnderWay bounds the bytes of entries that are under way to a replica,
	// a single entry aside. Heartbeats travel behind them: at leastRate 0.5 s,
	// half of the default election timeout.
	maxUnderWay = 256 << 10
)

// underWay returns the bytes that were sent to a replica and not acknowledged.
func (r *Replica) underWay(p *progress) int {
	if p.snapshot != 0 {
		return len(r.log.snapshot.GetData())
	}
	return bytesOf(r.log.between(max(p.match, p.queued-1, r.log.offsetIndex), p.next-1))
}

func bytesOf(entries []*wire.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

// resendAfter returns how long nothing need be acknowledged while all that is
// under way may still arrive. What is lost is seen sooner: a heartbeat behind
// it is rejected.
func (r *Replica) resendAfter(p *progress) time.Duration {
	return r.config.HeartbeatInterval + time.Duration(r.underWay(p))*time.Second/leastRate
}

// nextEntries returns the entries to be sent next, as far as there is room for
// them under way.
func (r *Replica) nextEntries(p *progress) []*wire.Entry {
	entries := r.log.from(p.next, r.config.MaxBatch)
	if len(entries) == 0 {
		return nil
	}
	under := r.underWay(p)
	room := maxUnderWay - under
	n := 0
	for n < len(entries) && len(entries[n].Data) <= room {
		room -= len(entries[n].Data)
		n++
	}
	if n == 0 && under == 0 {
		n = 1
	}
	return entries[:n:n]
}

// isFull reports whether entries wait until others are acknowledged.
func (r *Replica) isFull(p *progress) bool {
	waits := p.snapshot == 0 && p.next <= r.log.lastIndex()
	return waits && r.underWay(p) > 0 && len(r.nextEntries(p)) == 0
}
