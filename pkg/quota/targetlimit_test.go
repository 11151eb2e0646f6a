package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const testTarget = "t"

// targetWindow is the window in which targets count their requests.
const targetWindow = 4 * time.Second

// maxTargetRequests returns how many requests a rate-limited target may get in a window: slightly
// more than the bound of 5.8 times the limit plus 4 that is derived at targetIssuers.
func maxTargetRequests(perSecond float64) float64 { return 1.5*perSecond*targetWindow.Seconds() + 5 }

// targetSimulation runs a rate-limited target, replicas and boxes in virtual time. Its
// network loses the messages that its partitions block.
type targetSimulation struct {
	t           *rapid.T
	now         time.Time
	limit       targetstatus.Update
	issuers     map[string]*TargetIssuer
	replicas    []string
	boxes       []*simulatedBox
	partitioned map[string]bool
	sent        []time.Time
}

// simulatedBox holds the limiters of a box for the target.
type simulatedBox struct {
	name     string
	cache    *PermitCache
	fallback *Fallback
	// unused holds the expiry times of permits that were taken and are not used yet.
	unused []time.Time
}

func (n *targetSimulation) startIssuer(name string) {
	i := NewTargetIssuer(name)
	i.SetReplicas(n.now, n.replicas)
	n.issuers[name] = i
}

func (n *targetSimulation) startBox(k int) {
	b := &simulatedBox{name: fmt.Sprint("b", k), fallback: NewFallback(fmt.Sprint("b", k))}
	b.cache = NewTargetPermitCache()
	b.cache.SetIssuers(n.replicas)
	var all []string
	for i := range n.boxes {
		all = append(all, fmt.Sprint("b", i))
	}
	b.fallback.SetBoxes(all)
	n.boxes[k] = b
}

// request makes a box send a request if it gets a permit; late delays it until just
// before the permit expires.
func (n *targetSimulation) request(b *simulatedBox, late bool) {
	until, ok := n.permit(b)
	switch {
	case !ok:
	case late:
		b.unused = append(b.unused, until)
	default:
		n.sent = append(n.sent, n.now)
	}
}

func (n *targetSimulation) permit(b *simulatedBox) (until time.Time, ok bool) {
	b.cache.RecordRequest(n.now, testTarget)
	for range len(n.replicas) + 1 {
		if until, ok := b.cache.Take(n.now, testTarget); ok {
			return until, true
		}
		if b.cache.Refusal(n.now, testTarget) != nil {
			break
		}
		b.cache.AddWaiter(testTarget)
		for _, a := range b.cache.StartCalls(n.now) {
			n.answer(b, a)
		}
		b.cache.RemoveWaiter(testTarget)
	}
	return b.fallback.Take(n.now, testTarget, n.limit.Limit)
}

func (n *targetSimulation) answer(b *simulatedBox, a IssuerCall) {
	if n.partitioned[b.name+a.Address] {
		b.cache.HandleFailure(n.now, a)
		return
	}
	i := n.issuers[a.Address]
	i.Apply(n.now, n.limit)
	grants := i.Issue(n.now, a.Requests)
	if n.partitioned[a.Address+b.name] { // the answer is lost
		b.cache.HandleFailure(n.now, a)
		return
	}
	b.cache.HandleGrants(n.now, a, grants)
}

// advance advances the clock and uses pending permits at their last moment.
func (n *targetSimulation) advance(d time.Duration) {
	end := n.now.Add(d)
	for _, b := range n.boxes {
		b.unused = slices.DeleteFunc(b.unused, func(until time.Time) bool {
			if until.After(end) {
				return false
			}
			n.sent = append(n.sent, until.Add(-1))
			return true
		})
	}
	n.now = end
}

// check checks each window that begins at from or later.
func (n *targetSimulation) check(from time.Time, perSecond float64) {
	slices.SortFunc(n.sent, time.Time.Compare)
	first := 0
	for i, at := range n.sent {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(n.sent[first]) > targetWindow {
			first++
		}
		if got := i - first + 1; float64(got) > maxTargetRequests(perSecond) {
			n.t.Fatalf("%d requests in %s with a limit of %v, allowed %v", got, targetWindow, perSecond, maxTargetRequests(perSecond))
		}
	}
}

// Checks that all boxes together stay within the bound in each window while they request as
// many permits as they can get and use them as late as allowed, links are cut, answers are
// lost, boxes and issuers restart, and the limit is lowered.
func TestTargetRequestsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &targetSimulation{t: t, now: time.Time{}.Add(time.Hour), issuers: make(map[string]*TargetIssuer), partitioned: make(map[string]bool)}
		n.limit = targetstatus.Update{Incarnation: testTarget, Limit: rapid.SampledFrom([]float64{0, 0.3, 1, 5.6, 40}).Draw(t, "limit"), Sent: n.now, Received: n.now}
		for k := range rapid.IntRange(1, 9).Draw(t, "replicas") {
			n.replicas = append(n.replicas, fmt.Sprint("r", k))
		}
		for _, r := range n.replicas {
			n.startIssuer(r)
		}
		n.boxes = make([]*simulatedBox, rapid.IntRange(1, 12).Draw(t, "boxes"))
		for k := range n.boxes {
			n.startBox(k)
		}
		higher, lowered := n.limit.Limit, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
			box := rapid.IntRange(0, len(n.boxes)-1).Draw(t, "box")
			replica := rapid.SampledFrom(n.replicas).Draw(t, "replica")
			switch rapid.SampledFrom([]string{"load", "load", "load", "late", "box", "issuer", "cut", "lost", "lower"}).Draw(t, "event") {
			case "load":
				for k := range rapid.IntRange(1, 200).Draw(t, "requests") {
					n.request(n.boxes[(box+k)%len(n.boxes)], false)
				}
			case "late":
				for k := range rapid.IntRange(1, 200).Draw(t, "requests") {
					n.request(n.boxes[(box+k)%len(n.boxes)], true)
				}
			case "box":
				n.startBox(box)
			case "issuer":
				n.startIssuer(replica)
			case "cut":
				n.partitioned[n.boxes[box].name+replica] = !n.partitioned[n.boxes[box].name+replica]
			case "lost":
				n.partitioned[replica+n.boxes[box].name] = !n.partitioned[replica+n.boxes[box].name]
			case "lower":
				if lowered.IsZero() {
					n.limit = targetstatus.Update{Incarnation: testTarget, Limit: higher / 3, Sent: n.now, Received: n.now}
					lowered = n.now
				}
			}
		}
		n.advance(targetPermitTTL)
		n.check(time.Time{}, higher)
		if !lowered.IsZero() {
			n.check(lowered.Add(targetWindow), higher/3)
		}
	})
}

// Checks the worst case: all buckets are full, their permits are used at the last moment,
// every further permit at once, and the one box that reaches no replica uses its
// fallback. The total stays within the bound and reaches at least the limit.
func TestWorstCaseTargetWindowStaysWithinBound(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 5.6, 40} {
		for _, replicas := range []int{1, 2, 3, 6, 9} {
			got, want := worstTargetWindow(perSecond, replicas), maxTargetRequests(perSecond)
			if got > want {
				t.Errorf("%v a second, %d replicas: %v, allowed %v", perSecond, replicas, got, want)
			}
			if got < perSecond*targetWindow.Seconds() {
				t.Errorf("%v a second, %d replicas: %v in %s, less than the limit", perSecond, replicas, got, targetWindow)
			}
		}
	}
}

func worstTargetWindow(perSecond float64, replicas int) float64 {
	now := time.Time{}.Add(time.Hour)
	limit := targetstatus.Update{Incarnation: testTarget, Limit: perSecond, Sent: now, Received: now}
	var all []string
	for k := range replicas {
		all = append(all, fmt.Sprint("r", k))
	}
	var issuers []*TargetIssuer
	for _, name := range TargetIssuers(testTarget, all) {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, all)
		i.Apply(now, limit)
		issuers = append(issuers, i)
	}
	fallback := NewFallback("b")
	fallback.SetBoxes([]string{"b"})
	fallback.Take(now, testTarget, perSecond)
	now = now.Add(time.Minute)
	used := 0
	for end := now.Add(targetPermitTTL + targetWindow); now.Before(end); now = now.Add(time.Millisecond) {
		for _, i := range issuers {
			used += i.Issue(now, []SubjectRequest{{testTarget, 1 << 20}})[0].Count
		}
		if now.After(end.Add(-targetWindow)) {
			if _, ok := fallback.Take(now, testTarget, perSecond); ok {
				used++
			}
		}
	}
	return float64(used)
}

// Guards against permits from a replica that is not an issuer of the target or has just
// learned of its limit. A replica that knows that the limit was withdrawn grants everything.
func TestOnlyDesignatedIssuersGrantTargetPermits(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	replicas := []string{"r0", "r1", "r2", "r3", "r4"}
	limit := targetstatus.Update{Incarnation: testTarget, Limit: 10, Sent: now, Received: now}
	issuers := TargetIssuers(testTarget, replicas)
	if len(issuers) != targetIssuers {
		t.Fatalf("issuers %v", issuers)
	}
	for _, name := range replicas {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, replicas)
		i.Apply(now, limit)
		if g := i.Issue(now, []SubjectRequest{{testTarget, 1}})[0]; g.Count != 0 || g.RetryAfter <= 0 {
			t.Errorf("%s starts with permits: %+v", name, g)
		}
		g := i.Issue(now.Add(time.Second), []SubjectRequest{{testTarget, 5}})[0]
		if isIssuer := slices.Contains(issuers, name); isIssuer != (g.Count > 0) {
			t.Errorf("%s, issuer %v: %+v", name, isIssuer, g)
		}
		i.Apply(now, targetstatus.Update{Incarnation: testTarget, Limit: targetstatus.NoLimit, Sent: now.Add(time.Second), Received: now.Add(time.Second)})
		if g := i.Issue(now.Add(time.Second), []SubjectRequest{{testTarget, 7}})[0]; g.Count != 7 {
			t.Errorf("%s after the limit was withdrawn: %+v", name, g)
		}
	}
}
