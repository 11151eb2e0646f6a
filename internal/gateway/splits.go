package gateway

import (
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// destination returns the service for the next request of a route. The request stays with it even
// if the service has no free slots, so that no service gets more than its share.
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

// retainedRoutesFactor bounds the routes for which the box keeps state to this multiple of the
// routes in the document. With 1, requests would wait at each document that drops a route; with 2,
// they wait once for as many dropped routes as the document has.
const retainedRoutesFactor = 2

// pruneRoutes drops the state of routes that are no longer in the document, once there is too much
// of it.
func (d *Daemon) pruneRoutes(document catalog.Document) {
	limit := 0
	for _, h := range document.Hosts {
		limit += retainedRoutesFactor * len(h.Routes)
	}
	d.balancing.Lock()
	defer d.balancing.Unlock()
	if len(d.balancing.splits) > limit {
		pruneSplits(d.balancing.splits, document)
	}
	if d.balancing.balancer.RouteCount() > limit {
		d.balancing.balancer.KeepRoutes(routeNames(document))
		d.secondAttempts.keepRoutes(routeNames(document))
	}
}

// pruneSplits drops the splits of routes that are no longer in the document. The others keep their
// position: otherwise the first request after each of many documents would go to the same service.
func pruneSplits(splits map[string]*balance.Split, document catalog.Document) {
	routes := routeNames(document)
	for name := range splits {
		if !routes[name] {
			delete(splits, name)
		}
	}
}

func routeNames(document catalog.Document) map[string]bool {
	out := make(map[string]bool)
	for _, h := range document.Hosts {
		for _, r := range h.Routes {
			out[r.Name] = true
		}
	}
	return out
}
