package lookup

import "slices"

// BoxLocation is the address and location of a serving entry box.
type BoxLocation struct {
	Address string
	Zone    string
	Region  string
	Name    string
	// PeerAddress is where other boxes reach it.
	PeerAddress string
	// CutOff tells that the box reaches the targets of its region through other boxes only.
	CutOff bool
}

// minZoneBoxes is the number of boxes in the caller's own zone that suffices for an
// answer. With fewer, the loss of one box would leave the caller without any until its
// next lookup.
const minZoneBoxes = 2

// Nearest returns the addresses of the boxes that a caller should use: those of its
// zone; if there are fewer than minZoneBoxes, those of its region; if there are none,
// all. Boxes that are cut off from the targets are named only where all of the region are.
func Nearest(boxes []BoxLocation, region, zone string) []string {
	if connected := withoutCutOff(boxes, region); len(connected) > 0 {
		boxes = connected
	}
	inZone := filterAddresses(boxes, func(b BoxLocation) bool { return b.Zone == zone })
	if len(inZone) >= minZoneBoxes {
		return inZone
	}
	if inRegion := filterAddresses(boxes, func(b BoxLocation) bool { return b.Region == region }); len(inRegion) > 0 {
		return inRegion
	}
	return filterAddresses(boxes, func(BoxLocation) bool { return true })
}

// withoutCutOff returns the boxes that are not cut off, or none if none of the region is left.
func withoutCutOff(boxes []BoxLocation, region string) []BoxLocation {
	if !slices.ContainsFunc(boxes, func(b BoxLocation) bool { return b.CutOff }) {
		return boxes
	}
	connected := slices.DeleteFunc(slices.Clone(boxes), func(b BoxLocation) bool { return b.CutOff })
	if !slices.ContainsFunc(connected, func(b BoxLocation) bool { return b.Region == region }) {
		return nil
	}
	return connected
}

func filterAddresses(boxes []BoxLocation, keep func(BoxLocation) bool) []string {
	var out []string
	for _, b := range boxes {
		if keep(b) {
			out = append(out, b.Address)
		}
	}
	return out
}
