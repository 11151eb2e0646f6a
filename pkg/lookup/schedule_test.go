package lookup

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestUnresponsiveReplicaDelaysNoOther checks that a report to an unresponsive replica is
// retried soon and delays no report to another.
func TestUnresponsiveReplicaDelaysNoOther(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewReportSchedule()
	s.SetReplicas(now, []string{"a", "b", "c"})
	due, _ := s.Due(now)
	if diff := cmp.Diff([]string{"a", "b", "c"}, due); diff != "" {
		t.Fatal(diff)
	}
	s.ReportEnded(now, "a", true)
	s.ReportEnded(now, "b", false)
	// The report to c is still in flight.
	due, next := s.Due(now)
	if len(due) != 0 || next != now.Add(retryInterval) {
		t.Fatalf("got due replicas %v, next in %v", due, next.Sub(now))
	}
	now = next
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"b"}) {
		t.Fatalf("got due replicas %v", due)
	}
	now = time.Unix(0, 0).Add(minReportInterval)
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"a"}) {
		t.Fatalf("got due replicas %v", due)
	}
	s.ReportEnded(now, "c", false)
	now = now.Add(retryInterval)
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"c"}) {
		t.Fatalf("got due replicas %v", due)
	}
}

// TestChangeDuringReportIsReportedAfterwards checks that a change while a report is in
// flight is reported once that report has ended.
func TestChangeDuringReportIsReportedAfterwards(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewReportSchedule()
	s.SetReplicas(now, []string{"a"})
	s.Due(now)
	s.MarkChanged(now)
	if due, _ := s.Due(now); len(due) > 0 {
		t.Fatalf("two reports in flight to %v", due)
	}
	s.ReportEnded(now, "a", true)
	if due, _ := s.Due(now); len(due) != 1 {
		t.Fatal("the change was not reported")
	}
}

// TestEveryReplicaGetsReportsInTime checks that, in any sequence of events, each replica gets its
// next report within an interval of the end of the last one, and never two at once.
func TestEveryReplicaGetsReportsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewReportSchedule()
		now := time.Unix(0, 0)
		var replicas []string
		for n := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			replicas = append(replicas, fmt.Sprint(n))
		}
		s.SetReplicas(now, replicas)
		inFlight := make(map[string]bool)
		ended := make(map[string]time.Time)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				s.MarkChanged(now)
			}
			due, _ := s.Due(now)
			for _, address := range due {
				if inFlight[address] {
					t.Fatalf("two reports in flight to %s", address)
				}
				inFlight[address] = true
			}
			for _, address := range replicas {
				if inFlight[address] && rapid.Bool().Draw(t, "ends") {
					inFlight[address] = false
					ended[address] = now
					s.ReportEnded(now, address, rapid.Bool().Draw(t, "taken"))
				}
				if !inFlight[address] && now.Sub(ended[address]) > minReportInterval+100*time.Millisecond {
					t.Fatalf("the last report to %s ended %v ago", address, now.Sub(ended[address]))
				}
			}
		}
	})
}

func ExampleReportSchedule() {
	s := NewReportSchedule()
	now := time.Unix(0, 0)
	s.SetReplicas(now, []string{"10.0.0.1:7660", "10.0.0.2:7660"})
	due, _ := s.Due(now)
	fmt.Println(due)
	s.ReportEnded(now, "10.0.0.1:7660", true)
	s.ReportEnded(now, "10.0.0.2:7660", false)
	_, next := s.Due(now)
	fmt.Println(next.Sub(now))
	// Output:
	// [10.0.0.1:7660 10.0.0.2:7660]
	// 120ms
}

// Guards against boxes that report more often to a replica that is too busy to answer in time: at 984
// boxes it got over a thousand reports a second instead of 550.
func TestBusyReplicaGetsNoMoreReports(t *testing.T) {
	const callTimeout = 600 * time.Millisecond
	now := time.Unix(0, 0)
	s := NewReportSchedule()
	s.SetInterval(maxReportInterval)
	s.SetReplicas(now, []string{"a"})
	sent := 0
	for end := now.Add(time.Minute); now.Before(end); {
		due, next := s.Due(now)
		if len(due) == 0 {
			now = next
			continue
		}
		sent++
		now = now.Add(callTimeout)
		s.ReportEnded(now, "a", false)
	}
	if most := int(time.Minute/maxReportInterval) + 5; sent > most {
		t.Errorf("%d reports in a minute, want at most %d", sent, most)
	}
}
