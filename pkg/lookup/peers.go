package lookup

import (
	"cmp"
	"slices"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// maxZonePeers, maxRegionPeers and maxRemotePeers bound the peers of a box in its own
	// availability zone, in the others of its region and in other regions. The list is sent to every
	// box again whenever one of its own peers changes, so it must not grow with the number of boxes.
	maxZonePeers   = 3
	maxRegionPeers = 3
	maxRemotePeers = 4
)

// rankedPeer is a candidate with its rank for one box.
type rankedPeer struct {
	box  *BoxLocation
	rank uint64
}

// peerClass holds the highest-ranked candidates of one class, best first.
type peerClass struct {
	limit int
	best  []rankedPeer
}

// add adds a candidate if it is among the best.
func (c *peerClass) add(candidate rankedPeer) {
	if len(c.best) == c.limit && candidate.rank <= c.best[c.limit-1].rank {
		return
	}
	i, _ := slices.BinarySearchFunc(c.best, candidate, func(a, b rankedPeer) int { return cmp.Compare(b.rank, a.rank) })
	c.best = slices.Insert(c.best, i, candidate)
	c.best = c.best[:min(len(c.best), c.limit)]
}

// Peers returns the boxes that may connect to targets for the box of a name, with the digest of the
// list. Boxes that are cut off from the targets themselves are left out. Which ones a box gets is
// ranked by a hash of both names, so that boxes that are cut off together spread over the others.
func Peers(boxes []BoxLocation, name, region, zone string) *wire.PeerBoxes {
	inZone, inRegion, remote := peerClass{limit: maxZonePeers}, peerClass{limit: maxRegionPeers}, peerClass{limit: maxRemotePeers}
	for i := range boxes {
		b := &boxes[i]
		if b.Name == name || b.PeerAddress == "" || b.CutOff {
			continue
		}
		class := &remote
		switch {
		case b.Zone == zone:
			class = &inZone
		case b.Region == region:
			class = &inRegion
		}
		class.add(rankedPeer{b, hash(name, b.Name)})
	}
	out := &wire.PeerBoxes{}
	for _, c := range slices.Concat(inZone.best, inRegion.best, remote.best) {
		out.Boxes = append(out.Boxes, &wire.PeerBox{Name: c.box.Name, Zone: c.box.Zone, Region: c.box.Region, Address: c.box.PeerAddress})
	}
	out.Digest = digestOf(out.Boxes)
	return out
}

// digestOf returns a digest of a list of peers, which is not zero.
func digestOf(boxes []*wire.PeerBox) uint64 {
	parts := make([]string, 0, 2*len(boxes))
	for _, b := range boxes {
		parts = append(parts, b.Name, b.Address)
	}
	return max(hash(parts...), 1)
}
