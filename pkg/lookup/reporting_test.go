package lookup

import (
	"testing"
	"time"
)

func TestReportsOfManyBoxesAreRarer(t *testing.T) {
	for _, c := range []struct {
		boxes    int
		interval time.Duration
	}{{0, leastReportInterval}, {9, leastReportInterval}, {200, 1400 * time.Millisecond}, {5600, mostReportInterval}} {
		if got := ReportInterval(c.boxes); got != c.interval {
			t.Errorf("%d boxes: %s, want %s", c.boxes, got, c.interval)
		}
		if fresh := ReportValidity(c.boxes); fresh < 3*ReportInterval(c.boxes) || fresh > 6*time.Second {
			t.Errorf("%d boxes: a report counts for %s", c.boxes, fresh)
		}
	}
}

func TestNearest(t *testing.T) {
	boxes := []BoxLocation{{"a1", "a", "r"}, {"a2", "a", "r"}, {"b1", "b", "r"}, {"c1", "c", "s"}}
	for _, c := range []struct {
		region, zone string
		want         int
	}{{"r", "a", 2}, {"r", "b", 3}, {"s", "c", 1}, {"t", "d", 4}} {
		if got := Nearest(boxes, c.region, c.zone); len(got) != c.want {
			t.Errorf("zone %s: %v", c.zone, got)
		}
	}
}
