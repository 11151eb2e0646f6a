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
	BoxLocation
	rank uint64
}

// Peers returns the boxes that may connect to targets for the box of a name, with the digest of the
// list. Boxes that are cut off from the targets themselves are left out. Which ones a box gets is
// ranked by a hash of both names, so that boxes that are cut off together spread over the others.
func Peers(boxes []BoxLocation, name, region, zone string) *wire.PeerBoxes {
	candidates := make([]rankedPeer, 0, len(boxes))
	for _, b := range boxes {
		if b.Name != name && b.PeerAddress != "" && !b.CutOff {
			candidates = append(candidates, rankedPeer{b, hash(name, b.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b rankedPeer) int { return cmp.Compare(b.rank, a.rank) })
	var inZone, inRegion, remote int
	out := &wire.PeerBoxes{}
	for _, c := range candidates {
		count, limit := &remote, maxRemotePeers
		switch {
		case c.Zone == zone:
			count, limit = &inZone, maxZonePeers
		case c.Region == region:
			count, limit = &inRegion, maxRegionPeers
		}
		if *count == limit {
			continue
		}
		*count++
		out.Boxes = append(out.Boxes, &wire.PeerBox{Name: c.Name, Zone: c.Zone, Region: c.Region, Address: c.PeerAddress})
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
