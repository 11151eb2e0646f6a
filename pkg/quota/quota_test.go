package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// testBound is that of the users' deployments.
var testBound = Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// most is what the bound allows in a window.
func most(l catalog.RateLimit) float64 {
	return (l.PerSecond*testBound.Window.Seconds()+l.Burst)*(1+testBound.Excess) + testBound.Slack
}

// system is some issuers and boxes in virtual time, with a network that loses what
// its cuts forbid and delivers the rest at once.
type system struct {
	t       *rapid.T
	now     time.Time
	limit   catalog.RateLimit
	number  uint64
	issuers []*Issuer
	boxes   []*PermitCache
	// cut forbids a box to reach an issuer.
	cut map[[2]int]bool
	// sent are the times at which requests were sent.
	sent []time.Time
}

const oneWorkspace = "w"

func (s *system) workspaces() []catalog.Workspace {
	return []catalog.Workspace{{Name: oneWorkspace, Limit: s.limit}}
}

func (s *system) newIssuer() *Issuer {
	i := NewIssuer(testBound, len(s.issuers))
	i.SetLimits(s.now, s.number, s.workspaces())
	return i
}

func (s *system) newBox() *PermitCache {
	b := NewPermitCache()
	var names []string
	for i := range s.issuers {
		names = append(names, fmt.Sprint(i))
	}
	b.SetIssuers(names)
	return b
}

// exchange carries a box's asks to the issuers and their answers back.
func (s *system) exchange(box int) {
	for _, a := range s.boxes[box].StartCalls(s.now) {
		var i int
		if _, err := fmt.Sscan(a.Address, &i); err != nil {
			s.t.Fatal(err)
		}
		if s.cut[[2]int{box, i}] {
			s.boxes[box].HandleFailure(s.now, a)
			continue
		}
		grants, err := s.issuers[i].Issue(s.now, s.number, a.Requests)
		if err != nil {
			s.boxes[box].HandleStale(s.now, a)
			continue
		}
		s.boxes[box].HandleGrants(s.now, a, grants)
	}
}

// request has a box send a request if it gets a permit.
func (s *system) request(box int) {
	b := s.boxes[box]
	b.RecordRequest(s.now, oneWorkspace)
	for range len(s.issuers) + 1 {
		if _, ok := b.Take(s.now, oneWorkspace); ok {
			s.sent = append(s.sent, s.now)
			return
		}
		if b.Refusal(s.now, oneWorkspace) != nil {
			return
		}
		b.AddWaiter(oneWorkspace)
		s.exchange(box)
		b.RemoveWaiter(oneWorkspace)
	}
}

// check checks each window of the bound's length.
func (s *system) check(limit catalog.RateLimit, from time.Time) {
	first := 0
	for last, at := range s.sent {
		if at.Before(from) {
			first = last + 1
			continue
		}
		for at.Sub(s.sent[first]) > testBound.Window {
			first++
		}
		if n := last - first + 1; float64(n) > most(limit) {
			s.t.Fatalf("%d requests in %s before %s, the bound is %v", n, at.Sub(s.sent[first]), at.Sub(time.Time{}), most(limit))
		}
	}
}

// The bound holds in each window, whatever is cut off or starts anew, with boxes
// that ask for all that they can get, and where a lower limit comes.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 10, 50, 311}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "burst")
		s := &system{t: t, limit: catalog.RateLimit{PerSecond: rate, Burst: burst}, number: 1, cut: make(map[[2]int]bool)}
		s.now = time.Time{}.Add(time.Hour)
		s.issuers = make([]*Issuer, rapid.IntRange(1, 9).Draw(t, "issuers"))
		for i := range s.issuers {
			s.issuers[i] = s.newIssuer()
		}
		s.boxes = make([]*PermitCache, rapid.IntRange(1, 12).Draw(t, "boxes"))
		for i := range s.boxes {
			s.boxes[i] = s.newBox()
		}
		before, lowered := s.limit, time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "pause")) * time.Millisecond)
			box := rapid.IntRange(0, len(s.boxes)-1).Draw(t, "box")
			issuer := rapid.IntRange(0, len(s.issuers)-1).Draw(t, "issuer")
			switch rapid.SampledFrom([]string{"load", "load", "load", "load", "box", "issuer", "cut", "lower"}).Draw(t, "event") {
			case "load":
				for range rapid.IntRange(1, 400).Draw(t, "requests") {
					s.request(box)
					box = (box + 1) % len(s.boxes)
				}
			case "box":
				s.boxes[box] = s.newBox()
			case "issuer":
				s.issuers[issuer] = s.newIssuer()
			case "cut":
				s.cut[[2]int{box, issuer}] = !s.cut[[2]int{box, issuer}]
			case "lower":
				if !lowered.IsZero() {
					continue
				}
				// One issuer does not hear of it; the boxes do.
				s.number++
				s.limit.PerSecond, s.limit.Burst = rate*0.3, burst*0.3
				lowered = s.now
				for i := range s.issuers {
					if i != issuer || len(s.issuers) == 1 {
						s.issuers[i].SetLimits(s.now, s.number, s.workspaces())
					}
				}
			}
		}
		s.check(before, time.Time{})
		if !lowered.IsZero() {
			s.check(s.limit, lowered.Add(testBound.Window))
		}
	})
}

// The worst that boxes can do: empty all full buckets, use these permits at the last
// moment, and use each further one at once. It comes near the bound and keeps it, for
// any number of issuers, also where one starts anew in the middle.
func TestWorstWindowKeepsTheBound(t *testing.T) {
	for _, limit := range []catalog.RateLimit{{PerSecond: 10, Burst: 10}, {PerSecond: 311, Burst: 311}, {PerSecond: 50}, {PerSecond: 1, Burst: 9}} {
		for _, issuers := range []int{1, 3, 6, 9} {
			for _, restarted := range []bool{false, true} {
				used := worstWindow(limit, issuers, restarted)
				if float64(used) > most(limit) {
					t.Errorf("%+v, %d issuers, restarted %v: %d used, the bound is %v", limit, issuers, restarted, used, most(limit))
				}
				if float64(used) < 0.85*most(limit)-float64(issuers) && !restarted {
					t.Errorf("%+v, %d issuers: %d used, the bound of %v is not used", limit, issuers, used, most(limit))
				}
			}
		}
	}
}

func worstWindow(limit catalog.RateLimit, issuers int, restarted bool) (used int) {
	s := &system{limit: limit, number: 1, issuers: make([]*Issuer, issuers)}
	s.now = time.Time{}.Add(time.Hour)
	for i := range s.issuers {
		s.issuers[i] = s.newIssuer()
	}
	s.now = s.now.Add(time.Minute)
	// take returns the permits that can be had now and how long they may be used.
	take := func() (count int, life time.Duration) {
		for _, i := range s.issuers {
			grants, err := i.Issue(s.now, 1, []SubjectRequest{{oneWorkspace, 1 << 20}})
			if err != nil {
				panic(err)
			}
			count += grants[0].Count
			life = max(life, grants[0].TTL)
		}
		return count, life
	}
	hoard, life := take()
	begin := s.now.Add(life)
	for s.now.Before(begin) {
		s.now = s.now.Add(time.Millisecond)
		more, _ := take()
		hoard += more
	}
	used = hoard
	for end := begin.Add(testBound.Window); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		if restarted && s.now.Sub(begin) == time.Second {
			s.issuers[0] = s.newIssuer()
		}
		more, _ := take()
		used += more
	}
	return used
}

// A lower limit leaves no more in a bucket than it allows.
func TestLoweredLimitCutsWhatIsLeft(t *testing.T) {
	s := &system{limit: catalog.RateLimit{PerSecond: 100, Burst: 100}, number: 1, issuers: make([]*Issuer, 1)}
	s.now = time.Time{}.Add(time.Hour)
	i := s.newIssuer()
	s.now = s.now.Add(time.Minute)
	s.limit = catalog.RateLimit{PerSecond: 10, Burst: 10}
	i.SetLimits(s.now, 2, s.workspaces())
	grants, err := i.Issue(s.now, 2, []SubjectRequest{{oneWorkspace, 1000}})
	if err != nil || float64(grants[0].Count) > testBound.partOf(s.limit, 1).depth {
		t.Errorf("got %+v, %v", grants, err)
	}
}

// An issuer that has nothing tells boxes different times, as far apart as permits
// come, so that all together ask no more often than there is something to get.
func TestEmptyIssuerIsAskedAsOftenAsPermitsCome(t *testing.T) {
	s := &system{limit: catalog.RateLimit{PerSecond: 20}, number: 1, issuers: make([]*Issuer, 1)}
	s.now = time.Time{}.Add(time.Hour)
	i := s.newIssuer()
	var waits []time.Duration
	for range 10 {
		grants, err := i.Issue(s.now, 1, []SubjectRequest{{oneWorkspace, 1}})
		if err != nil {
			t.Fatal(err)
		}
		waits = append(waits, grants[0].RetryAfter)
	}
	for n, wait := range waits {
		if want := time.Duration(n+1) * 50 * time.Millisecond; wait != want {
			t.Errorf("box %d waits %s, want %s", n, wait, want)
		}
	}
}

// A replica that the others have let go may not know it and goes on with its part, so
// that the parts of the others must not grow.
func TestPartsDoNotGrowWhenAReplicaIsLetGo(t *testing.T) {
	s := &system{limit: catalog.RateLimit{PerSecond: 100, Burst: 100}, number: 1, issuers: make([]*Issuer, 6)}
	s.now = time.Time{}.Add(time.Hour)
	i := s.newIssuer()
	i.SetReplicaCount(s.now, 5)
	s.now = s.now.Add(time.Minute)
	grants, err := i.Issue(s.now, 1, []SubjectRequest{{oneWorkspace, 1000}})
	if err != nil || float64(grants[0].Count) > testBound.partOf(s.limit, 6).depth {
		t.Errorf("got %+v, %v", grants, err)
	}
}

// steady returns how many of a workspace's requests are refused while it sends a
// share of its limit, spread over boxes by chance, in half a minute.
func steady(share float64, limit catalog.RateLimit, boxes, issuers int, random func() float64) (refused, asked int) {
	s := &system{limit: limit, number: 1, cut: make(map[[2]int]bool), issuers: make([]*Issuer, issuers), boxes: make([]*PermitCache, boxes)}
	s.now = time.Time{}.Add(time.Hour)
	for i := range s.issuers {
		s.issuers[i] = s.newIssuer()
	}
	for i := range s.boxes {
		s.boxes[i] = s.newBox()
	}
	s.now = s.now.Add(5 * time.Second)
	const step = time.Millisecond
	for range 30 * time.Second / step {
		s.now = s.now.Add(step)
		if random() >= share*limit.PerSecond*step.Seconds() {
			continue
		}
		asked++
		sent := len(s.sent)
		s.request(int(random() * float64(boxes)))
		if len(s.sent) == sent {
			refused++
		}
	}
	return refused, asked
}

// Pattern: 76 workspaces of 10 to 311 requests a second on 66 boxes and 6 replicas,
// each at 1/1.6 of its limit, which is what the users' document gives them: most send
// a box less than one request in 5 s. No request is refused. An equal part for each
// box would refuse most requests of the small ones: each box would have 1.3
// requests in 5 s at the most.
func TestWorkspaceWithinItsLimitIsNotRefused(t *testing.T) {
	random := newRandom(7)
	for _, rate := range []float64{10, 20, 50, 179, 311} {
		refused, asked := steady(1/1.6, catalog.RateLimit{PerSecond: rate, Burst: rate}, 66, 6, random)
		if refused > 0 {
			t.Errorf("limit %v: %d of %d refused", rate, refused, asked)
		}
	}
}

// Unused parts reach the boxes that need them: all requests, at 0.9 of the limit,
// come to one box, which asks the other issuers when the nearest is empty. Without
// that five of six would be refused; 1 in 200 may be, when many come together.
func TestOneBoxGetsTheWholeLimit(t *testing.T) {
	refused, asked := steady(0.9, catalog.RateLimit{PerSecond: 50, Burst: 50}, 1, 6, newRandom(3))
	if refused > asked/200 {
		t.Errorf("%d of %d refused", refused, asked)
	}
}

// newRandom returns a generator of numbers from 0 to below 1.
func newRandom(state uint64) func() float64 {
	return func() float64 {
		state = state*6364136223846793005 + 1442695040888963407
		return float64(state>>11) / (1 << 53)
	}
}

func ExampleIssuer() {
	now := time.Now()
	i := NewIssuer(Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, 3)
	i.SetLimits(now, 1, []catalog.Workspace{{Name: "north", Limit: catalog.RateLimit{PerSecond: 30, Burst: 30}}})
	grants, err := i.Issue(now.Add(time.Second), 1, []SubjectRequest{{Subject: "north", Count: 4}})
	fmt.Println(grants[0].Count, err)
	// Output: 4 <nil>
}
