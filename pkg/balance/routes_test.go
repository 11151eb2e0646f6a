package balance

import "testing"

// KeepRoutes keeps the service times of the named routes and drops all others.
func TestKeepRoutesDropsOtherRoutes(t *testing.T) {
	f := newRegionsFixture(t, 2, 0)
	for _, name := range []string{"kept", "gone"} {
		r := f.request("a")
		r.Route = name
		f.done(f.choose(r), Dropped)
	}
	before := f.balancer.routeTimes["kept"]
	f.balancer.KeepRoutes(map[string]bool{"kept": true, "new": true})
	if f.balancer.RouteCount() != 1 || f.balancer.routeTimes["kept"] != before {
		t.Errorf("%d routes are kept, want only the one named kept", f.balancer.RouteCount())
	}
}

// Guards against a run at a target other than the object's home that is expected to be as fast as at
// home, and against a request without an object that is.
func TestChoiceTellsHomeTarget(t *testing.T) {
	f := newRegionsFixture(t, 2, 0)
	first := f.choose(f.request("a"))
	if !first.Home {
		t.Error("the first choice for an object is not its home target")
	}
	again := f.request("a")
	again.Tried = []string{first.Target.ID}
	if second := f.choose(again); second.Target.ID == first.Target.ID {
		t.Error("a target that was tried was chosen again")
	} else if second.Home {
		t.Error("a target that was chosen because the home target was tried counts as home")
	}
	if f.choose(f.request("")).Home {
		t.Error("a request without an affinity key has a home target")
	}
}
