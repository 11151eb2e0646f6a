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

// Methods of enforcing workspace limits across all entry boxes are compared in virtual time
// on the same requests and faults.

const (
	limitBoxes    = 66
	limitZones    = 6
	limitStep     = time.Millisecond
	limitLength   = 40 * time.Second
	limitStart    = 5 * time.Second
	limitLoad     = 1 / 1.6 // share of its limit that a workspace sends
	limitFaultAt  = 15 * time.Second
	limitFaultFor = 6 * time.Second
)

// limitBound returns the bound of the users' deployments.
func limitBound() quota.Bound { return quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20} }

// limitMethod enforces a limit. The function that start returns decides whether a box admits a
// request and how many calls for permits that took.
type limitMethod struct {
	name  string
	start func(l catalog.RateLimit, faults limitScenario) func(now time.Duration, box int) (allowed bool, asks int)
}

// limitScenario says where requests arrive, and what fails for limitFaultFor from limitFaultAt on.
type limitScenario struct {
	name string
	// noLeader: there is no leader. cutZone is the zone whose boxes reach only the replica of
	// their own zone, -1 for none. cutBoxes is how many boxes reach no replica.
	noLeader bool
	cutZone  int
	cutBoxes int
	// pickBox returns the box that a request arrives at.
	pickBox func(r *rand.Rand, now time.Duration) int
}

func (f limitScenario) isFaulty(now time.Duration) bool {
	return now >= limitFaultAt && now < limitFaultAt+limitFaultFor
}

func anyBox(r *rand.Rand, _ time.Duration) int { return r.IntN(limitBoxes) }

// oneZone sends a share of 0.55 of the requests to one zone and spreads the rest.
func oneZone(r *rand.Rand, _ time.Duration) int {
	if r.Float64() < 0.55 {
		return r.IntN(limitBoxes / limitZones)
	}
	return r.IntN(limitBoxes)
}

// movingZone sends half of the requests to one zone, which changes every 6 s.
func movingZone(r *rand.Rand, now time.Duration) int {
	if r.Float64() < 0.5 {
		zone := int(now/(6*time.Second)) % limitZones
		return zone*limitBoxes/limitZones + r.IntN(limitBoxes/limitZones)
	}
	return r.IntN(limitBoxes)
}

func limitScenarios() []limitScenario {
	return []limitScenario{
		{name: "spread evenly", cutZone: -1, pickBox: anyBox},
		{name: "0.55 in one zone", cutZone: -1, pickBox: oneZone},
		{name: "moves every 6 s", cutZone: -1, pickBox: movingZone},
		{name: "no leader for 6 s, moves", cutZone: -1, noLeader: true, pickBox: movingZone},
		{name: "a zone cut off", cutZone: 2, pickBox: anyBox},
		{name: "a fifth of the boxes cut off", cutZone: -1, cutBoxes: limitBoxes / 5, pickBox: anyBox},
	}
}

// tokenBucket is a token bucket that starts empty.
type tokenBucket struct {
	rate, capacity, tokens float64
	updated                time.Duration
}

func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.tokens+b.rate*(now-b.updated).Seconds(), b.capacity)
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// usableSlack returns 0.9 of what a limit may be exceeded by in a window.
func usableSlack(l catalog.RateLimit) float64 {
	b := limitBound()
	return 0.9 * (b.Excess*(l.PerSecond*b.Window.Seconds()+l.Burst) + b.Slack)
}

// equalShares gives each box the same share of the limit.
func equalShares(l catalog.RateLimit, _ limitScenario) func(time.Duration, int) (bool, int) {
	boxes := make([]tokenBucket, limitBoxes)
	for i := range boxes {
		boxes[i] = tokenBucket{rate: l.PerSecond / limitBoxes, capacity: (l.Burst + usableSlack(l)) / limitBoxes}
	}
	return func(now time.Duration, box int) (bool, int) { return boxes[box].take(now), 0 }
}

const (
	// leaseInterval is how often the leader divides a limit by the demand that boxes report,
	// leaseTTL how long a box may use its share without contact to the leader.
	leaseInterval = 500 * time.Millisecond
	leaseTTL      = 4 * time.Second
	// leaseEvenShare is the share that is divided evenly, for boxes that have no requests yet.
	leaseEvenShare = 0.2
)

// leasedShares lets a leader divide the limit by recent demand, which is halved each
// interval. The share of a box without contact stays reserved for it.
func leasedShares(l catalog.RateLimit, faults limitScenario) func(time.Duration, int) (bool, int) {
	boxes := make([]tokenBucket, limitBoxes)
	demand := make([]float64, limitBoxes)
	heard := make([]time.Duration, limitBoxes)
	last := -leaseInterval
	divide := func(now time.Duration) {
		free, sum, reached := 1.0, 0.0, 0
		lost := func(box int) bool {
			zone := box * limitZones / limitBoxes
			return faults.isFaulty(now) && (zone == faults.cutZone || box < faults.cutBoxes)
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
			part := free * leaseEvenShare / float64(reached)
			if sum > 0 {
				part += free * (1 - leaseEvenShare) * demand[i] / sum
			}
			boxes[i].take(now) // refills the bucket at the previous rate first
			boxes[i].rate = part * l.PerSecond
			boxes[i].capacity = part * (l.Burst + usableSlack(l))
			boxes[i].tokens = min(boxes[i].tokens, boxes[i].capacity)
			demand[i] /= 2
			heard[i] = now
		}
	}
	return func(now time.Duration, box int) (bool, int) {
		for now-last >= leaseInterval {
			last += leaseInterval
			if !faults.noLeader || !faults.isFaulty(now) {
				divide(now)
			}
		}
		demand[box]++
		return now-heard[box] < leaseTTL && boxes[box].take(now), 0
	}
}

// issuedPermits enforces the limit with the permits of pkg/quota from a number of issuers. A
// box calls the issuers that it can reach.
func issuedPermits(issuers int) func(catalog.RateLimit, limitScenario) func(time.Duration, int) (bool, int) {
	return func(l catalog.RateLimit, faults limitScenario) func(time.Duration, int) (bool, int) {
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
			if !faults.isFaulty(now) {
				return true
			}
			zone := box * limitZones / limitBoxes
			issuerZone := issuer * limitZones / issuers
			cut := (zone == faults.cutZone) != (issuerZone == faults.cutZone)
			return !cut && box >= faults.cutBoxes
		}
		return func(at time.Duration, box int) (allowed bool, calls int) {
			now := start.Add(at)
			b := boxes[box]
			b.RecordRequest(now, "w")
			for range issuers + 1 {
				if _, ok := b.Take(now, "w"); ok {
					return true, calls
				}
				if b.Refusal(now, "w") != nil {
					return false, calls
				}
				b.AddWaiter("w")
				for _, a := range b.StartCalls(now) {
					calls++
					var i int
					_, _ = fmt.Sscan(a.Address, &i) // a number that was formatted above
					grants, err := list[i].Issue(now, 1, a.Requests)
					if err != nil || !reaches(at, box, i) {
						b.HandleFailure(now, a)
						continue
					}
					b.HandleGrants(now, a, grants)
				}
				b.RemoveWaiter("w")
			}
			return false, calls
		}
	}
}

func limitMethods() []limitMethod {
	return []limitMethod{
		{"equal part for each box", equalShares},
		{"parts by demand, leased by the leader", leasedShares},
		{"permits of one counter", issuedPermits(1)},
		{"permits of a counter a region", issuedPermits(3)},
		{"permits of each replica", issuedPermits(limitZones)},
	}
}

// limitFigures are the results of one method with one limit in one scenario.
type limitFigures struct {
	sent, refused, permitCalls int
	// worstWindow is the largest share of the bound that was used in a window.
	worstWindow float64
}

func runLimit(w limitMethod, l catalog.RateLimit, faults limitScenario, seed uint64) limitFigures {
	random := rand.New(rand.NewPCG(seed, 3))
	allowed := w.start(l, faults)
	var out limitFigures
	var sent []time.Duration
	limits := limitBound()
	bound := (l.PerSecond*limits.Window.Seconds()+l.Burst)*(1+limits.Excess) + limits.Slack
	first := 0
	for now := limitStart; now < limitStart+limitLength; now += limitStep {
		if random.Float64() >= limitLoad*l.PerSecond*limitStep.Seconds() {
			continue
		}
		out.sent++
		ok, calls := allowed(now, faults.pickBox(random, now))
		out.permitCalls += calls
		if !ok {
			out.refused++
			continue
		}
		sent = append(sent, now)
		for now-sent[first] > limits.Window {
			first++
		}
		out.worstWindow = math.Max(out.worstWindow, float64(len(sent)-first)/bound)
	}
	return out
}

// printLimits compares the methods at three limits as the users' workspaces have them.
func printLimits(out io.Writer, seeds []uint64) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tway\trefused % of 10/s\tof 50/s\tof 311/s\tworst window, part of the bound\tasks a request\t")
	for _, s := range limitScenarios() {
		for _, method := range limitMethods() {
			var cells [3]limitFigures
			for i, rate := range []float64{10, 50, 311} {
				for _, seed := range seeds {
					f := runLimit(method, catalog.RateLimit{PerSecond: rate, Burst: rate}, s, seed)
					cells[i].sent += f.sent
					cells[i].refused += f.refused
					cells[i].permitCalls += f.permitCalls
					cells[i].worstWindow = max(cells[i].worstWindow, f.worstWindow)
				}
			}
			sent := cells[0].sent + cells[1].sent + cells[2].sent
			calls := cells[0].permitCalls + cells[1].permitCalls + cells[2].permitCalls
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.name, method.name,
				share(cells[0].refused, cells[0].sent), share(cells[1].refused, cells[1].sent), share(cells[2].refused, cells[2].sent),
				max(cells[0].worstWindow, cells[1].worstWindow, cells[2].worstWindow), float64(calls)/float64(sent))
		}
	}
	_ = w.Flush() // nothing to do if standard output is gone
}
