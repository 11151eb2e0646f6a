package balance

import "testing"

// The times of routes that are kept go on, those of others are forgotten.
func TestTimesOfKeptRoutesStay(t *testing.T) {
	w := newWorld(t, 2, 0)
	for _, name := range []string{"kept", "gone"} {
		r := w.request("a")
		r.Route = name
		w.done(w.choose(r), Dropped)
	}
	before := w.balancer.times["kept"]
	w.balancer.KeepRoutes(map[string]bool{"kept": true, "new": true})
	if w.balancer.RouteCount() != 1 || w.balancer.times["kept"] != before {
		t.Errorf("%d routes are remembered", w.balancer.RouteCount())
	}
}
