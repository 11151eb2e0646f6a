package gateway

import "ledgesill.dev/ledgesill/pkg/catalog"

// destination returns the service that the next request of a route is for.
func (d *Daemon) destination(r catalog.Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	d.balancing.Lock()
	defer d.balancing.Unlock()
	w := d.balancing.shares[r.Name]
	if w == nil {
		w = newWeights(r.Destinations)
		d.balancing.shares[r.Name] = w
	}
	return w.next()
}

// weights spreads the requests of a route over its destinations so that at
// any time each has had its share, give or take one request.
type weights struct {
	destinations []catalog.Destination
	due          []float64
	sum          float64
}

func newWeights(destinations []catalog.Destination) *weights {
	w := &weights{destinations: destinations, due: make([]float64, len(destinations))}
	for _, d := range destinations {
		w.sum += d.Weight
	}
	return w
}

func (w *weights) next() string {
	best := 0
	for i, d := range w.destinations {
		w.due[i] += d.Weight / w.sum
		if w.due[i] > w.due[best] {
			best = i
		}
	}
	w.due[best]--
	return w.destinations[best].Service
}
