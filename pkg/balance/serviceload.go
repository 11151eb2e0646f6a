package balance

const (
	// loadWeight is the weight of one response in the mean load of a service.
	loadWeight = 0.05
	// saturatedLoad is the mean load, in requests per slot, above which targets have queues on
	// average.
	saturatedLoad = 1.0
	// rejectedLoad is the load assumed for a target that rejected a request without reporting its
	// load: its queue is at least as long as its number of slots.
	rejectedLoad = 2.0
)

// serviceLoad is the mean load of a service's targets, taken from their responses. While targets
// have free slots, a request whose home target has none goes to another one. In a saturated service
// requests stay at their home targets: a target that has not cached an object takes about three
// times as long for it and evicts another one, so going elsewhere would use slots that are already
// scarce.
type serviceLoad struct{ perSlot float64 }

func (l *serviceLoad) observe(load float64) { l.perSlot += loadWeight * (load - l.perSlot) }

func (l *serviceLoad) isSaturated() bool { return l.perSlot > saturatedLoad }

// ServiceLoad returns the mean load of a service's targets in requests per slot; zero if no target has
// reported one.
func (b *Balancer) ServiceLoad(name string) float64 { return b.service(name).load.perSlot }

// loadPerSlot returns the requests per slot at a report's target. If the target reports no load,
// all boxes are assumed to send as much as this one.
func (b *Balancer) loadPerSlot(t *targetState, r Report) float64 {
	slots := float64(max(t.Slots, 1))
	switch {
	case r.HasLoad:
		return float64(r.Load.Running+r.Load.Waiting) / slots
	case r.Outcome == TurnedAway:
		return rejectedLoad
	}
	others := t.inFlight // the request of the report has already ended
	return float64(others*max(len(b.boxes), 1)) / slots
}
