package lookup

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
)

// boxesIn returns a number of boxes in each zone; the zones of a region share their first letter.
func boxesIn(perZone int, zones ...string) (out []BoxLocation) {
	for _, z := range zones {
		for i := range perZone {
			name := fmt.Sprint(z, "-", i)
			out = append(out, BoxLocation{Address: name + ":80", Zone: z, Region: z[:1], Name: name, PeerAddress: name + ":7660"})
		}
	}
	return out
}

// A box gets peers of its zone, of its region and of others, a bounded number however many there are, and
// neither itself nor a box that is cut off.
func TestPeersAreBoundedAndConnected(t *testing.T) {
	boxes := boxesIn(100, "a1", "a2", "a3", "b1", "c1")
	for i := range boxes {
		boxes[i].CutOff = i%3 == 0
	}
	got := Peers(boxes, "a1-0", "a", "a1")
	var zone, region, remote int
	for _, b := range got.Boxes {
		i := slices.IndexFunc(boxes, func(l BoxLocation) bool { return l.Name == b.Name })
		if b.Name == "a1-0" || boxes[i].CutOff || b.Address != boxes[i].PeerAddress {
			t.Errorf("peer %v", b)
		}
		switch {
		case b.Zone == "a1":
			zone++
		case b.Region == "a":
			region++
		default:
			remote++
		}
	}
	if zone != maxZonePeers || region != maxRegionPeers || remote != maxRemotePeers {
		t.Errorf("%d, %d and %d peers", zone, region, remote)
	}
}

// Boxes that are cut off together spread over the others.
func TestPeersSpreadOverBoxes(t *testing.T) {
	boxes := boxesIn(100, "a1")
	chosen := make(map[string]int)
	for _, b := range boxes {
		for _, p := range Peers(boxes, b.Name, "a", "a1").Boxes {
			chosen[p.Name]++
		}
	}
	for name, n := range chosen {
		if n > 5*maxZonePeers {
			t.Errorf("%s is a peer of %d of 100 boxes", name, n)
		}
	}
}

// The digest stays the same until a peer of the box itself changes.
func TestPeersDigestChangesWithOwnPeersOnly(t *testing.T) {
	boxes := boxesIn(50, "a1", "a2", "b1")
	before := Peers(boxes, "a1-0", "a", "a1")
	changed := 0
	for i := range boxes {
		next := slices.Delete(slices.Clone(boxes), i, i+1)
		if Peers(next, "a1-0", "a", "a1").Digest != before.Digest {
			changed++
		}
	}
	if changed != len(before.Boxes) {
		t.Errorf("the digest changed with %d boxes, want the %d peers", changed, len(before.Boxes))
	}
	if empty := Peers(nil, "a1-0", "a", "a1"); empty.Digest == 0 {
		t.Error("the digest of no peers is that of a box that knows none yet")
	}
}

// Boxes that are cut off from the targets are named last, not never: only where all of the region are.
func TestNearestNamesCutOffBoxesLast(t *testing.T) {
	for _, c := range []struct {
		name   string
		cutOff []string
		want   []string
	}{
		{"one of a zone", []string{"a1-0"}, []string{"a1-1:80", "a1-2:80"}},
		{"all but one of a zone", []string{"a1-0", "a1-1"}, []string{"a1-2:80", "a2-0:80", "a2-1:80", "a2-2:80"}},
		{"a zone", []string{"a1-0", "a1-1", "a1-2"}, []string{"a2-0:80", "a2-1:80", "a2-2:80"}},
		{"a region", []string{"a1-0", "a1-1", "a1-2", "a2-0", "a2-1", "a2-2"}, []string{"a1-0:80", "a1-1:80", "a1-2:80"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			boxes := boxesIn(3, "a1", "a2", "b1")
			for i, b := range boxes {
				boxes[i].CutOff = slices.Contains(c.cutOff, b.Name)
			}
			if got := Nearest(boxes, "a", "a1"); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// BenchmarkPeers names the peers of one of 984 boxes, and reports the size of the answer.
func BenchmarkPeers(b *testing.B) {
	boxes := boxesIn(109, "use-a", "use-b", "use-c", "euw-a", "euw-b", "euw-c", "aps-a", "aps-b", "aps-c")[:984]
	for b.Loop() {
		Peers(boxes, "use-a-0", "u", "use-a")
	}
	b.ReportMetric(float64(proto.Size(Peers(boxes, "use-a-0", "u", "use-a"))), "bytes")
}
