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
