package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
)

// Ways of keeping the limits of workspaces over all entry boxes, compared on the
// same requests and faults in virtual time.

const (
	limitBoxes    = 66
	limitZones    = 6
	limitStep     = time.Millisecond
	limitLength   = 40 * time.Second
	limitLead     = 5 * time.Second
	limitShare    = 1 / 1.6 // of its limit that a workspace sends
	limitFaultAt  = 15 * time.Second
	limitFaultFor = 6 * time.Second
)

// limitBound is that of the users' deployments.
func limitBound() quota.Bound { return quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20} }

// limitWay decides at a box whether a request of a workspace is let in.
type limitWay struct {
	name  string
	start func(l catalog.RateLimit, faults limitFaults) func(now time.Duration, box int) (allowed bool, asks int)
}

// limitFaults are what is lost from limitFaultAt on for limitFaultFor.
type limitFaults struct {
	name string
	// leader tells that there is no leader, cutZone which zone's boxes reach only the
	// replica of their own, -1 for none, and cutBoxes how many reach nothing.
	leader   bool
	cutZone  int
	cutBoxes int
	// place draws the box of a request.
	place func(r *rand.Rand, now time.Duration) int
}

func (f limitFaults) strikes(now time.Duration) bool {
	return now >= limitFaultAt && now < limitFaultAt+limitFaultFor
}

func anyBox(r *rand.Rand, _ time.Duration) int { return r.IntN(limitBoxes) }

// oneZone sends 0.55 of the requests to one zone.
func oneZone(r *rand.Rand, _ time.Duration) int {
	if r.Float64() < 0.55 {
		return r.IntN(limitBoxes / limitZones)
	}
	return r.IntN(limitBoxes)
}

// moving sends half of the requests to a zone that is another one every 6 s.
func moving(r *rand.Rand, now time.Duration) int {
	if r.Float64() < 0.5 {
		zone := int(now/(6*time.Second)) % limitZones
		return zone*limitBoxes/limitZones + r.IntN(limitBoxes/limitZones)
	}
	return r.IntN(limitBoxes)
}

func limitScenarios() []limitFaults {
	return []limitFaults{
		{name: "spread evenly", cutZone: -1, place: anyBox},
		{name: "0.55 in one zone", cutZone: -1, place: oneZone},
		{name: "moves every 6 s", cutZone: -1, place: moving},
		{name: "no leader for 6 s, moves", cutZone: -1, leader: true, place: moving},
		{name: "a zone cut off", cutZone: 2, place: anyBox},
		{name: "a fifth of the boxes cut off", cutZone: -1, cutBoxes: limitBoxes / 5, place: anyBox},
	}
}

// tokens is a bucket that starts empty.
type tokens struct {
	rate, depth, left float64
	at                time.Duration
}

func (b *tokens) take(now time.Duration) bool {
	b.left = min(b.left+b.rate*(now-b.at).Seconds(), b.depth)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// slackOf is what a limit may be exceeded by in a window, of which 0.9 is used.
func slackOf(l catalog.RateLimit) float64 {
	b := limitBound()
	return 0.9 * (b.Excess*(l.PerSecond*b.Window.Seconds()+l.Burst) + b.Slack)
}

// equalParts gives each box the same part.
func equalParts(l catalog.RateLimit, _ limitFaults) func(time.Duration, int) (bool, int) {
	boxes := make([]tokens, limitBoxes)
	for i := range boxes {
		boxes[i] = tokens{rate: l.PerSecond / limitBoxes, depth: (l.Burst + slackOf(l)) / limitBoxes}
	}
	return func(now time.Duration, box int) (bool, int) { return boxes[box].take(now), 0 }
}

const (
	// leaseInterval is how often the leader divides a limit by what boxes report, and
	// leaseLife for how long a box may use its part without word.
	leaseInterval = 500 * time.Millisecond
	leaseLife     = 4 * time.Second
	// leaseEven is the part that is divided evenly, for boxes without requests yet.
	leaseEven = 0.2
)

// leasedParts has a leader divide the limit by the demand of the last interval. The
// part of a box that it does not hear is kept for it.
func leasedParts(l catalog.RateLimit, faults limitFaults) func(time.Duration, int) (bool, int) {
	boxes := make([]tokens, limitBoxes)
	demand := make([]float64, limitBoxes)
	heard := make([]time.Duration, limitBoxes)
	last := -leaseInterval
	divide := func(now time.Duration) {
		free, sum, reached := 1.0, 0.0, 0
		lost := func(box int) bool {
			zone := box * limitZones / limitBoxes
			return faults.strikes(now) && (zone == faults.cutZone || box < faults.cutBoxes)
		}
		for i := range boxes {
			if lost(i) {
				free -= boxes[i].rate / l.PerSecond
				continue
			}
			sum += demand[i]
			reached++
		}
		for i := range boxes {
			if lost(i) {
				continue
			}
			part := free * leaseEven / float64(reached)
			if sum > 0 {
				part += free * (1 - leaseEven) * demand[i] / sum
			}
			boxes[i].take(now) // settles what has come at the part before
			boxes[i].rate = part * l.PerSecond
			boxes[i].depth = part * (l.Burst + slackOf(l))
			boxes[i].left = min(boxes[i].left, boxes[i].depth)
			demand[i] /= 2
			heard[i] = now
		}
	}
	return func(now time.Duration, box int) (bool, int) {
		for now-last >= leaseInterval {
			last += leaseInterval
			if !faults.leader || !faults.strikes(now) {
				divide(now)
			}
		}
		demand[box]++
		return now-heard[box] < leaseLife && boxes[box].take(now), 0
	}
}

// issuedPermits are those of pkg/quota, from so many issuers; a box asks those
// that it reaches.
func issuedPermits(issuers int) func(catalog.RateLimit, limitFaults) func(time.Duration, int) (bool, int) {
	return func(l catalog.RateLimit, faults limitFaults) func(time.Duration, int) (bool, int) {
		start := time.Unix(0, 0)
		list := make([]*quota.Issuer, issuers)
		var names []string
		for i := range list {
			list[i] = quota.NewIssuer(limitBound(), issuers)
			list[i].SetLimits(start, 1, []catalog.Workspace{{Name: "w", Limit: l}})
			names = append(names, fmt.Sprint(i))
		}
		boxes := make([]*quota.PermitCache, limitBoxes)
		for i := range boxes {
			boxes[i] = quota.NewPermitCache()
			boxes[i].SetIssuers(names)
		}
		reaches := func(now time.Duration, box, issuer int) bool {
			if !faults.strikes(now) {
				return true
			}
			zone := box * limitZones / limitBoxes
			place := issuer * limitZones / issuers
			cut := (zone == faults.cutZone) != (place == faults.cutZone)
			return !cut && box >= faults.cutBoxes
		}
		return func(at time.Duration, box int) (allowed bool, asks int) {
			now := start.Add(at)
			b := boxes[box]
			b.RecordRequest(now, "w")
			for range issuers + 1 {
				if _, ok := b.Take(now, "w"); ok {
					return true, asks
				}
				if b.Refusal(now, "w") != nil {
					return false, asks
				}
				b.AddWaiter("w")
				for _, a := range b.StartCalls(now) {
					asks++
					var i int
					_, _ = fmt.Sscan(a.Address, &i) // a number that was printed above
					grants, err := list[i].Issue(now, 1, a.Requests)
					if err != nil || !reaches(at, box, i) {
						b.HandleFailure(now, a)
						continue
					}
					b.HandleGrants(now, a, grants)
				}
				b.RemoveWaiter("w")
			}
			return false, asks
		}
	}
}

func limitWays() []limitWay {
	return []limitWay{
		{"equal part for each box", equalParts},
		{"parts by demand, leased by the leader", leasedParts},
		{"permits of one counter", issuedPermits(1)},
		{"permits of a counter a region", issuedPermits(3)},
		{"permits of each replica", issuedPermits(limitZones)},
	}
}

// limitFigures are what one way did with one limit in one scenario.
type limitFigures struct {
	asked, refused, asks int
	// worst is the largest part of the bound that a window used.
	worst float64
}

func runLimit(w limitWay, l catalog.RateLimit, faults limitFaults, seed uint64) limitFigures {
	random := rand.New(rand.NewPCG(seed, 3))
	allowed := w.start(l, faults)
	var out limitFigures
	var sent []time.Duration
	bound := limitBound()
	most := (l.PerSecond*bound.Window.Seconds()+l.Burst)*(1+bound.Excess) + bound.Slack
	first := 0
	for now := limitLead; now < limitLead+limitLength; now += limitStep {
		if random.Float64() >= limitShare*l.PerSecond*limitStep.Seconds() {
			continue
		}
		out.asked++
		ok, asks := allowed(now, faults.place(random, now))
		out.asks += asks
		if !ok {
			out.refused++
			continue
		}
		sent = append(sent, now)
		for now-sent[first] > bound.Window {
			first++
		}
		out.worst = math.Max(out.worst, float64(len(sent)-first)/most)
	}
	return out
}

// printLimits compares the ways on the limits of the users' workspaces.
func printLimits(out io.Writer, seeds []uint64) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tway\trefused % of 10/s\tof 50/s\tof 311/s\tworst window, part of the bound\tasks a request\t")
	for _, s := range limitScenarios() {
		for _, way := range limitWays() {
			var cells [3]limitFigures
			for i, rate := range []float64{10, 50, 311} {
				for _, seed := range seeds {
					f := runLimit(way, catalog.RateLimit{PerSecond: rate, Burst: rate}, s, seed)
					cells[i].asked += f.asked
					cells[i].refused += f.refused
					cells[i].asks += f.asks
					cells[i].worst = max(cells[i].worst, f.worst)
				}
			}
			asked := cells[0].asked + cells[1].asked + cells[2].asked
			asks := cells[0].asks + cells[1].asks + cells[2].asks
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.name, way.name,
				share(cells[0].refused, cells[0].asked), share(cells[1].refused, cells[1].asked), share(cells[2].refused, cells[2].asked),
				max(cells[0].worst, cells[1].worst, cells[2].worst), float64(asks)/float64(asked))
		}
	}
	_ = w.Flush() // the terminal is gone
}
