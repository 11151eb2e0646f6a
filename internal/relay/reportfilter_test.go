package relay

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func TestReportFilter(t *testing.T) {
	now := time.Unix(1000, 0)
	report := func(version uint64, busy uint32, age time.Duration) []*wire.BoxReport {
		return []*wire.BoxReport{{
			Box: "b", Version: version, AgeMilli: age.Milliseconds(), Pools: []*wire.PoolReport{{Service: "s", Capacity: 20, Busy: busy}},
		}}
	}
	filter := NewReportFilter()
	for i, step := range []struct {
		after   time.Duration
		reports []*wire.BoxReport
		eager   bool
		want    int
	}{
		{0, report(1, 5, 0), false, 1},
		{time.Second, report(1, 6, 0), false, 0},                              // no significant change
		{time.Second, report(2, 6, 0), false, 1},                              // another version
		{time.Second, report(2, 12, 0), false, 1},                             // another load
		{time.Second, report(2, 12, 0), true, 1},                              // a shift runs
		{4 * time.Second, report(2, 12, 0), false, 0},                         // refresh not yet due
		{time.Second, report(2, 12, 0), false, 1},                             // refreshed
		{30 * time.Second, report(2, 12, 30*time.Second), false, 0},           // the box is silent
		{time.Second, report(2, 12, 100*time.Millisecond), false, 1},          // reports again
		{time.Second, report(2, 12, 1100*time.Millisecond), true, 0},          // the same report again
		{time.Second, append(report(2, 12, 0), report(3, 1, 0)...), false, 1}, // one of two
	} {
		now = now.Add(step.after)
		if got := filter.Filter(now, step.reports, step.eager); len(got) != step.want {
			t.Errorf("step %d: %d reports sent, want %d", i, len(got), step.want)
		}
	}
}
