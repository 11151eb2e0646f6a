package main

import "testing"

// Guards against a change of the policy that serves fewer requests in time than the baseline
// in some scenario, and against results that differ between runs with one seed.
func TestObjectsAreServedInTime(t *testing.T) {
	cells := objectCells()
	runObjects(cells, []uint64{41})
	for i := 0; i < len(cells); i += 2 {
		baseline, present := cells[i], cells[i+1]
		if present.sum.onTime <= baseline.sum.onTime {
			t.Errorf("%s, %s: %d of %d served in time, by the baseline %d", present.layout.name, present.scenario.name,
				present.sum.onTime, present.sum.sent, baseline.sum.onTime)
		}
	}
	last := cells[len(cells)-1]
	if again := last.run(41); again != last.sum {
		t.Errorf("two runs with the same seed gave %+v and %+v", last.sum, again)
	}
}

// Guards against a policy that, under load, spreads an object over so many targets that
// targets with small caches evict what they need next.
func TestForgetfulTargetsKeepTheirObjects(t *testing.T) {
	for _, c := range objectCells() {
		if !c.affinity || c.layout.name != "forgetful targets" || c.scenario.name != "high load" {
			continue
		}
		f := c.run(41)
		if known := share(f.known, f.known+f.unknown); known < 80 {
			t.Errorf("%.1f%% of the requests reached a target that had cached their object, want 80%% or more", known)
		}
	}
}
