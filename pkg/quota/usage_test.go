package quota

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

func TestUsageReportsLastCompletedWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	i := NewIssuer(testBound, 2)
	i.SetLimits(now, 7, []catalog.Workspace{
		{Name: "b", Limit: catalog.RateLimit{PerSecond: 10, Burst: 4}},
		{Name: "a"},
	})
	issue := func(name string, count int) int {
		t.Helper()
		grants, err := i.Issue(now, 7, []SubjectRequest{{name, count}})
		if err != nil {
			t.Fatal(err)
		}
		return grants[0].Count
	}
	now = now.Add(testBound.Window)
	issued := issue("b", 5)
	if issued != 5 || issue("b", 1000) == 0 || issue("b", 1) != 0 || issue("a", 3) != 3 || issue("nobody", 1) != 0 {
		t.Fatal("the bucket does not have the expected size")
	}
	list := i.Usage(now)
	if len(list) != 2 || list[0].Workspace != "a" || list[1].Workspace != "b" {
		t.Fatalf("usage of %+v", list)
	}
	if a := list[0]; a.Issued != 3 || a.Refused != 0 || a.SharePerSecond != 0 {
		t.Errorf("a workspace without limit: %+v", a)
	}
	b := list[1]
	if b.Refused != 1 || b.Issued < 6 || b.SharePerSecond != 5 || b.Available >= 1 {
		t.Errorf("a workspace with a limit: %+v", b)
	}
	if b.IssuedPerSecond != 0 {
		t.Errorf("the current window is counted before it ends: %+v", b)
	}
	now = now.Add(testBound.Window)
	perSecond := float64(b.Issued) / testBound.Window.Seconds()
	if got := i.Usage(now)[1]; got.IssuedPerSecond != perSecond || got.RefusedPerSecond != 1/testBound.Window.Seconds() {
		t.Errorf("after a window: %+v, want %v a second", got, perSecond)
	}
	now = now.Add(2 * testBound.Window)
	if got := i.Usage(now)[1]; got.IssuedPerSecond != 0 || got.Issued != b.Issued {
		t.Errorf("long after: %+v", got)
	}
	i.SetLimits(now, 8, nil)
	if list := i.Usage(now); len(list) != 0 {
		t.Errorf("a removed workspace is still listed: %+v", list)
	}
}
