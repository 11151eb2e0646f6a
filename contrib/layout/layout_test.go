package layout

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func tree(t *testing.T, l Layout) settings.Tree {
	t.Helper()
	var edits []*wire.Edit
	for _, e := range l.Edits() {
		edits = append(edits, &wire.Edit{Path: e.Path, Key: e.Key, Value: e.Value})
	}
	out, err := settings.Tree{}.WithEdits(edits)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestSampleTree guards against a sample settings tree in docs that differs from the Flagpost
// layout.
func TestSampleTree(t *testing.T) {
	data, err := settings.FormatFile(tree(t, Flagpost()))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".json")).Assert(t, "tree.sample", data)
}

// Guards against layouts that deviate from the users' sizes, and against an even number of lease
// voters, which tolerates no more failures than one voter less.
func TestSizesOfTheBrief(t *testing.T) {
	for _, l := range []Layout{Flagpost(), Portal()} {
		zones := tree(t, l).Zones()
		if len(l.Boxes) != 9 || len(l.Targets) != 36 || len(zones) != 6 {
			t.Errorf("%s: %d entry boxes, %d targets, %d zones", l.Name, len(l.Boxes), len(l.Targets), len(zones))
		}
		for _, z := range zones {
			if len(z.Voters())%2 == 0 {
				t.Errorf("zone %s has an even number of voters: %v", z.Name, z.Voters())
			}
		}
	}
}
