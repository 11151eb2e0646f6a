package lookup

import (
	"testing"
	"time"
)

func TestReportIntervalGrowsWithBoxes(t *testing.T) {
	for _, c := range []struct {
		boxes    int
		interval time.Duration
	}{{0, minReportInterval}, {9, minReportInterval}, {200, 1400 * time.Millisecond}, {5600, maxReportInterval}} {
		if got := ReportInterval(c.boxes); got != c.interval {
			t.Errorf("%d boxes: interval %s, want %s", c.boxes, got, c.interval)
		}
		if validity := ReportValidity(c.boxes); validity < 3*ReportInterval(c.boxes) || validity > 6*time.Second {
			t.Errorf("%d boxes: a report is valid for %s, want at least three intervals and at most 6s", c.boxes, validity)
		}
	}
}

func TestNearest(t *testing.T) {
	boxes := []BoxLocation{
		{Address: "a1", Zone: "a", Region: "r"},
		{Address: "a2", Zone: "a", Region: "r"},
		{Address: "b1", Zone: "b", Region: "r"},
		{Address: "c1", Zone: "c", Region: "s"},
	}
	for _, c := range []struct {
		region, zone string
		want         int
	}{{"r", "a", 2}, {"r", "b", 3}, {"s", "c", 1}, {"t", "d", 4}} {
		if got := Nearest(boxes, c.region, c.zone); len(got) != c.want {
			t.Errorf("zone %s: got boxes %v", c.zone, got)
		}
	}
}
