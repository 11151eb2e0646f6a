package lookup

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A replica that does not answer is told again soon and delays no other.
func TestOneSilentReplicaDelaysNoOther(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewReportSchedule()
	s.SetReplicas(now, []string{"a", "b", "c"})
	due, _ := s.Due(now)
	if diff := cmp.Diff([]string{"a", "b", "c"}, due); diff != "" {
		t.Fatal(diff)
	}
	s.ReportEnded(now, "a", true)
	s.ReportEnded(now, "b", false)
	// c has not ended.
	due, next := s.Due(now)
	if len(due) != 0 || next != now.Add(repeatInterval) {
		t.Fatalf("due are %v, next at %v", due, next.Sub(now))
	}
	now = next
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"b"}) {
		t.Fatalf("due are %v", due)
	}
	now = time.Unix(0, 0).Add(leastReportInterval)
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"a"}) {
		t.Fatalf("due are %v", due)
	}
	s.ReportEnded(now, "c", false)
	now = now.Add(repeatInterval)
	if due, _ = s.Due(now); !cmp.Equal(due, []string{"c"}) {
		t.Fatalf("due are %v", due)
	}
}

// What changes while a report is under way is told once it has ended.
func TestChangeDuringAReportIsTold(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewReportSchedule()
	s.SetReplicas(now, []string{"a"})
	s.Due(now)
	s.MarkChanged(now)
	if due, _ := s.Due(now); len(due) > 0 {
		t.Fatalf("two reports to %v at once", due)
	}
	s.ReportEnded(now, "a", true)
	if due, _ := s.Due(now); len(due) != 1 {
		t.Fatal("the change is not told")
	}
}

// Whatever happens, a replica is told within an interval of the end of the last
// report to it, and never twice at once.
func TestEveryReplicaIsTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewReportSchedule()
		now := time.Unix(0, 0)
		var replicas []string
		for n := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			replicas = append(replicas, fmt.Sprint(n))
		}
		s.SetReplicas(now, replicas)
		open := make(map[string]bool)
		ended := make(map[string]time.Time)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				s.MarkChanged(now)
			}
			due, _ := s.Due(now)
			for _, address := range due {
				if open[address] {
					t.Fatalf("two reports to %s at once", address)
				}
				open[address] = true
			}
			for _, address := range replicas {
				if open[address] && rapid.Bool().Draw(t, "ends") {
					open[address] = false
					ended[address] = now
					s.ReportEnded(now, address, rapid.Bool().Draw(t, "taken"))
				}
				if !open[address] && now.Sub(ended[address]) > leastReportInterval+100*time.Millisecond {
					t.Fatalf("%s was last told %v ago", address, now.Sub(ended[address]))
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
