package lookup

// Nearby is an entry box that serves, and where it stands.
type Nearby struct {
	Address string
	Zone    string
	Region  string
}

// enoughBoxes is how many boxes of a caller's own zone make an answer: with
// fewer the loss of one would leave the caller none until it asks again.
const enoughBoxes = 2

// Nearest returns the addresses of the boxes that a caller is to use: those of
// its zone; if they are few, those of its region; if there are none, all.
func Nearest(boxes []Nearby, region, zone string) []string {
	inZone := addressesWhere(boxes, func(b Nearby) bool { return b.Zone == zone })
	if len(inZone) >= enoughBoxes {
		return inZone
	}
	if inRegion := addressesWhere(boxes, func(b Nearby) bool { return b.Region == region }); len(inRegion) > 0 {
		return inRegion
	}
	return addressesWhere(boxes, func(Nearby) bool { return true })
}

func addressesWhere(boxes []Nearby, keep func(Nearby) bool) []string {
	var out []string
	for _, b := range boxes {
		if keep(b) {
			out = append(out, b.Address)
		}
	}
	return out
}
