package consensus

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// minLinkRate is the minimum throughput of a link between replicas, in bytes
	// per second: 4 Mbit/s.
	minLinkRate = 4_000_000 / 8
	// maxInFlightBytes limits the bytes of entries in flight to a replica; a single
	// larger entry is sent on its own. Heartbeats queue behind these bytes, which take
	// 0.5 s at minLinkRate, half of the default election timeout.
	maxInFlightBytes = 256 << 10
)

// inFlightBytes returns the number of bytes sent to a replica and not yet
// acknowledged.
func (r *Replica) inFlightBytes(p *progress) int {
	if p.pendingSnapshot != 0 {
		return len(r.log.snapshot.GetData())
	}
	return dataSize(r.log.entriesBetween(max(p.match, p.windowStart-1, r.log.offsetIndex), p.next-1))
}

func dataSize(entries []*wire.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

// resendTimeout returns how long the leader waits for an acknowledgement before it
// resends: the data in flight may take that long to arrive over the slowest link. A
// loss is usually detected sooner, since the replica rejects the next heartbeat.
func (r *Replica) resendTimeout(p *progress) time.Duration {
	return r.config.HeartbeatInterval + time.Duration(r.inFlightBytes(p))*time.Second/minLinkRate
}

// nextEntries returns the next entries that fit into the send window. If nothing is
// in flight it returns at least one, however large.
func (r *Replica) nextEntries(p *progress) []*wire.Entry {
	entries := r.log.entriesFrom(p.next, r.config.MaxBatch)
	if len(entries) == 0 {
		return nil
	}
	inFlight := r.inFlightBytes(p)
	room := maxInFlightBytes - inFlight
	n := 0
	for n < len(entries) && len(entries[n].Data) <= room {
		room -= len(entries[n].Data)
		n++
	}
	if n == 0 && inFlight == 0 {
		n = 1
	}
	return entries[:n:n]
}

// windowFull reports whether there are entries to send that must wait for an
// acknowledgement.
func (r *Replica) windowFull(p *progress) bool {
	pending := p.pendingSnapshot == 0 && p.next <= r.log.lastIndex()
	return pending && r.inFlightBytes(p) > 0 && len(r.nextEntries(p)) == 0
}
