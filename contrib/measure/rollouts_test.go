package main

import "testing"

// Guards against a roll-out that completes a version which fails, rolls back a good one, exceeds the
// version's share or goes on for more than 5 s after its 50th bad response.
func TestDrawnVersionsGetTheRightVerdict(t *testing.T) {
	for _, row := range runRollouts(60, 4, 17) {
		switch {
		case row.over > 0:
			t.Errorf("%s: the version got more than its share in %d runs", row.kind.name, row.over)
		case !row.kind.bad && row.completed != row.runs:
			t.Errorf("%s: %d of %d runs were completed", row.kind.name, row.completed, row.runs)
		case row.kind.bad && row.rolledBack != row.runs:
			t.Errorf("%s: %d of %d runs were rolled back", row.kind.name, row.rolledBack, row.runs)
		}
	}
}
