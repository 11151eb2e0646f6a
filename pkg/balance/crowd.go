package balance

const (
	// crowdWeight is the weight of one answer in the mean of a service's load.
	crowdWeight = 0.05
	// crowdedLoad is the load, in requests a slot, from which targets have
	// queues in the mean.
	crowdedLoad = 1.0
	// fullLoad stands for the load of a target that turned a request away
	// without telling its load: its queue is as long as it has slots, or longer.
	fullLoad = 2.0
)

// crowd is the load of a service's targets as their answers tell it. While the
// targets have free slots a request goes to another target when the home of its
// object has none. A crowded service keeps objects at their homes: a target
// that does not know an object takes about three times as long for it and
// forgets another one, so the detour would take slots that are missing.
type crowd struct{ load float64 }

func (c *crowd) note(load float64) { c.load += crowdWeight * (load - c.load) }

func (c *crowd) isCrowded() bool { return c.load > crowdedLoad }

// crowdLoad returns the requests a slot at the target of a report. Where the
// target does not tell, those of all boxes are thought to be like this box's.
func (b *Balancer) crowdLoad(t *targetState, r Report) float64 {
	slots := float64(max(t.Slots, 1))
	switch {
	case r.HasLoad:
		return float64(r.Load.Running+r.Load.Waiting) / slots
	case r.Outcome == TurnedAway:
		return fullLoad
	}
	others := t.inFlight // less the request of the report
	return float64(others*max(len(b.boxes), 1)) / slots
}
