package lookup

// BoxLocation is an entry box that serves, and where it stands.
type BoxLocation struct {
	Address string
	Zone    string
	Region  string
}

// enoughBoxes is how many boxes of a caller's own zone make an answer: with
// fewer the loss of one would leave the caller none until it asks again.
const enoughBoxes = 2

// Nearest returns the addresses of the boxes that a caller is to use: those of
// its zone; if they are few, those of its region; if there are none, all.
func Nearest(boxes []BoxLocation, region, zone string) []string {
	inZone := addressesWhere(boxes, func(b BoxLocation) bool { return b.Zone == zone })
	if len(inZone) >= enoughBoxes {
		return inZone
	}
	if inRegion := addressesWhere(boxes, func(b BoxLocation) bool { return b.Region == region }); len(inRegion) > 0 {
		return inRegion
	}
	return addressesWhere(boxes, func(BoxLocation) bool { return true })
}

func addressesWhere(boxes []BoxLocation, keep func(BoxLocation) bool) []string {
	var out []string
	for _, b := range boxes {
		if keep(b) {
			out = append(out, b.Address)
		}
	}
	return out
}
