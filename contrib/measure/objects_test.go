package main

import "testing"

// The policy serves more in time than the baseline in every scenario, and the
// same seed gives the same figures.
func TestObjectsAreServedInTime(t *testing.T) {
	cells := objectCells()
	runObjects(cells, []uint64{41})
	for i := 0; i < len(cells); i += 2 {
		baseline, present := cells[i], cells[i+1]
		if present.sum.onTime <= baseline.sum.onTime {
			t.Errorf("%s, %s: %d of %d in time, the baseline %d", present.layout.name, present.scenario.name,
				present.sum.onTime, present.sum.asked, baseline.sum.onTime)
		}
	}
	last := cells[len(cells)-1]
	if again := last.run(41); again != last.sum {
		t.Errorf("the same seed gave %+v and %+v", last.sum, again)
	}
}

// Targets that keep few objects are not made to forget them under load.
func TestForgetfulTargetsKeepTheirObjects(t *testing.T) {
	for _, c := range objectCells() {
		if !c.affinity || c.layout.name != "forgetful targets" || c.scenario.name != "high load" {
			continue
		}
		f := c.run(41)
		if known := share(f.known, f.known+f.unknown); known < 80 {
			t.Errorf("%.1f of 100 requests found a target that knew their object", known)
		}
	}
}
