package gateway

import (
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// destination returns the service that the next request of a route is for. A
// request stays with it also when the service has no room, so that no service
// gets more than its share.
func (d *Daemon) destination(r catalog.Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	weights := make([]float64, len(r.Destinations))
	for i, to := range r.Destinations {
		weights[i] = to.Weight
	}
	d.balancing.Lock()
	defer d.balancing.Unlock()
	s := d.balancing.splits[r.Name]
	if s == nil {
		s = balance.NewSplit(d.config.Name, r.Name)
		d.balancing.splits[r.Name] = s
	}
	return r.Destinations[s.Next(weights)].Service
}

// keepSplits forgets the splits of routes that a document no longer has. Those
// that stay go on where they are, so that many documents in a row do not give
// the first requests after each to the same service.
func keepSplits(splits map[string]*balance.Split, document catalog.Document) {
	routes := make(map[string]bool)
	for _, h := range document.Hosts {
		for _, r := range h.Routes {
			routes[r.Name] = true
		}
	}
	for name := range splits {
		if !routes[name] {
			delete(splits, name)
		}
	}
}
