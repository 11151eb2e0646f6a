package gateway

import (
	"fmt"
	"testing"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

var splitRoute = catalog.Route{
	Name:         "r",
	Destinations: []catalog.Destination{{Service: "a", Weight: 60}, {Service: "b", Weight: 40}},
}

func newSplitBox(box string) *Daemon {
	d := &Daemon{config: Config{Name: box}}
	d.balancing.splits = make(map[string]*balance.Split)
	return d
}

func checkSplit(t *testing.T, count map[string]int) {
	t.Helper()
	all := count["a"] + count["b"]
	if part := float64(count["a"]) / float64(all); part < 0.5 || part > 0.7 {
		t.Errorf("got %v, want 60 of 100 for a", count)
	}
}

// The first request after each of many documents must not always go to the same service.
func TestSplitHoldsOverManyDocuments(t *testing.T) {
	d := newSplitBox("box")
	document := catalog.Document{Hosts: []catalog.Host{{Routes: []catalog.Route{splitRoute}}}}
	count := make(map[string]int)
	for range 100 {
		count[d.destination(splitRoute)]++
		pruneSplits(d.balancing.splits, document)
	}
	checkSplit(t, count)
}

// The shares also hold over many boxes with one request each.
func TestSplitHoldsOverManyBoxes(t *testing.T) {
	count := make(map[string]int)
	for i := range 100 {
		count[newSplitBox(fmt.Sprintf("box%d", i)).destination(splitRoute)]++
	}
	checkSplit(t, count)
}

// The split of a route that left the document is dropped.
func TestSplitsOfRemovedRoutesArePruned(t *testing.T) {
	d := newSplitBox("box")
	d.destination(splitRoute)
	pruneSplits(d.balancing.splits, catalog.Document{})
	if len(d.balancing.splits) != 0 {
		t.Errorf("%d splits are kept", len(d.balancing.splits))
	}
}
