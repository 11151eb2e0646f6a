package gateway

import "testing"

// Guards against a log line for each response of a target whose work time can't be used, and against
// memory that grows with the targets that once were.
func TestUnusableWorkTimesAreLoggedOnce(t *testing.T) {
	var u unusableWorkTimes
	if !u.isNew("a") || u.isNew("a") || !u.isNew("b") {
		t.Error("each target must be new once")
	}
	u.prune(func(target string) bool { return target == "b" })
	if u.isNew("b") || len(u.targets) != 1 {
		t.Errorf("%d targets are kept, want the registered one", len(u.targets))
	}
}
