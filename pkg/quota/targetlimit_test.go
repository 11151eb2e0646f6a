package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const oneTarget = "t"

// needWindow is the span in which targets count what they get.
const needWindow = 4 * time.Second

// mostOfTarget is what a target that names a limit may get in it.
func mostOfTarget(perSecond float64) float64 { return 1.5*perSecond*needWindow.Seconds() + 5 }

// limitedTarget is a rate-limited target, some replicas and boxes in virtual time, and a network that
// loses what its cuts forbid.
type limitedTarget struct {
	t        *rapid.T
	now      time.Time
	limit    targetstatus.Update
	issuers  map[string]*TargetIssuer
	replicas []string
	boxes    []*limitedBox
	cut      map[string]bool
	sent     []time.Time
}

// limitedBox is what a box has for the target.
type limitedBox struct {
	name  string
	stock *PermitCache
	alone *Fallback
	// taken are permits that have been taken and not been used.
	taken []time.Time
}

func (n *limitedTarget) startIssuer(name string) {
	i := NewTargetIssuer(name)
	i.SetReplicas(n.now, n.replicas)
	n.issuers[name] = i
}

func (n *limitedTarget) startBox(k int) {
	b := &limitedBox{name: fmt.Sprint("b", k), alone: NewFallback(fmt.Sprint("b", k))}
	b.stock = NewTargetPermitCache()
	b.stock.SetIssuers(n.replicas)
	var all []string
	for i := range n.boxes {
		all = append(all, fmt.Sprint("b", i))
	}
	b.alone.SetBoxes(all)
	n.boxes[k] = b
}

// request has a box send a request if it gets a permit; late has it sent as late as the
// permit allows.
func (n *limitedTarget) request(b *limitedBox, late bool) {
	until, ok := n.permit(b)
	switch {
	case !ok:
	case late:
		b.taken = append(b.taken, until)
	default:
		n.sent = append(n.sent, n.now)
	}
}

func (n *limitedTarget) permit(b *limitedBox) (until time.Time, ok bool) {
	b.stock.RecordRequest(n.now, oneTarget)
	for range len(n.replicas) + 1 {
		if until, ok := b.stock.Take(n.now, oneTarget); ok {
			return until, true
		}
		if b.stock.Refusal(n.now, oneTarget) != nil {
			break
		}
		b.stock.AddWaiter(oneTarget)
		for _, a := range b.stock.StartCalls(n.now) {
			n.answer(b, a)
		}
		b.stock.RemoveWaiter(oneTarget)
	}
	return b.alone.Take(n.now, oneTarget, n.limit.Limit)
}

func (n *limitedTarget) answer(b *limitedBox, a IssuerCall) {
	if n.cut[b.name+a.Address] {
		b.stock.HandleFailure(n.now, a)
		return
	}
	i := n.issuers[a.Address]
	i.Apply(n.now, n.limit)
	grants := i.Issue(n.now, a.Requests)
	if n.cut[a.Address+b.name] { // the answer is lost
		b.stock.HandleFailure(n.now, a)
		return
	}
	b.stock.HandleGrants(n.now, a, grants)
}

// pass lets time pass; permits that were taken are used at the last moment.
func (n *limitedTarget) pass(d time.Duration) {
	end := n.now.Add(d)
	for _, b := range n.boxes {
		b.taken = slices.DeleteFunc(b.taken, func(until time.Time) bool {
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
func (n *limitedTarget) check(from time.Time, perSecond float64) {
	slices.SortFunc(n.sent, time.Time.Compare)
	first := 0
	for i, at := range n.sent {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(n.sent[first]) > needWindow {
			first++
		}
		if got := i - first + 1; float64(got) > mostOfTarget(perSecond) {
			n.t.Fatalf("%d requests in %s with a limit of %v, allowed %v", got, needWindow, perSecond, mostOfTarget(perSecond))
		}
	}
}

// The sum holds in each window, whatever is cut off, lost or starts anew, with boxes that
// ask for all that they can get and use it as late as they may, and where the limit is
// lowered.
func TestTargetBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &limitedTarget{t: t, now: time.Time{}.Add(time.Hour), issuers: make(map[string]*TargetIssuer), cut: make(map[string]bool)}
		n.limit = targetstatus.Update{Incarnation: oneTarget, Limit: rapid.SampledFrom([]float64{0, 0.3, 1, 5.6, 40}).Draw(t, "limit"), Sent: n.now, Received: n.now}
		for k := range rapid.IntRange(1, 9).Draw(t, "replicas") {
			n.replicas = append(n.replicas, fmt.Sprint("r", k))
		}
		for _, r := range n.replicas {
			n.startIssuer(r)
		}
		n.boxes = make([]*limitedBox, rapid.IntRange(1, 12).Draw(t, "boxes"))
		for k := range n.boxes {
			n.startBox(k)
		}
		higher, lowered := n.limit.Limit, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
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
				n.cut[n.boxes[box].name+replica] = !n.cut[n.boxes[box].name+replica]
			case "lost":
				n.cut[replica+n.boxes[box].name] = !n.cut[replica+n.boxes[box].name]
			case "lower":
				if lowered.IsZero() {
					n.limit = targetstatus.Update{Incarnation: oneTarget, Limit: higher / 3, Sent: n.now, Received: n.now}
					lowered = n.now
				}
			}
		}
		n.pass(targetLife)
		n.check(time.Time{}, higher)
		if !lowered.IsZero() {
			n.check(lowered.Add(needWindow), higher/3)
		}
	})
}

// The worst window comes near what the inequality says and no further: all buckets are
// full, these permits are used at the last moment, each further one at once, and the one
// box that reaches nobody sends what it may.
func TestWorstWindowOfATarget(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 5.6, 40} {
		for _, replicas := range []int{1, 2, 3, 6, 9} {
			got, want := worstOfTarget(perSecond, replicas), mostOfTarget(perSecond)
			if got > want {
				t.Errorf("%v a second, %d replicas: %v, allowed %v", perSecond, replicas, got, want)
			}
			if got < perSecond*needWindow.Seconds() {
				t.Errorf("%v a second, %d replicas: %v in %s, less than the limit", perSecond, replicas, got, needWindow)
			}
		}
	}
}

func worstOfTarget(perSecond float64, replicas int) float64 {
	now := time.Time{}.Add(time.Hour)
	limit := targetstatus.Update{Incarnation: oneTarget, Limit: perSecond, Sent: now, Received: now}
	var all []string
	for k := range replicas {
		all = append(all, fmt.Sprint("r", k))
	}
	var issuers []*TargetIssuer
	for _, name := range TargetIssuers(oneTarget, all) {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, all)
		i.Apply(now, limit)
		issuers = append(issuers, i)
	}
	alone := NewFallback("b")
	alone.SetBoxes([]string{"b"})
	alone.Take(now, oneTarget, perSecond)
	now = now.Add(time.Minute)
	used := 0
	for end := now.Add(targetLife + needWindow); now.Before(end); now = now.Add(time.Millisecond) {
		for _, i := range issuers {
			used += i.Issue(now, []SubjectRequest{{oneTarget, 1 << 20}})[0].Count
		}
		if now.After(end.Add(-needWindow)) {
			if _, ok := alone.Take(now, oneTarget, perSecond); ok {
				used++
			}
		}
	}
	return float64(used)
}

// A replica that does not issue for a target, and one that knows it only by its words,
// give nothing; one that knows that the limit was taken back gives all.
func TestWhoIssuesForATarget(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	replicas := []string{"r0", "r1", "r2", "r3", "r4"}
	limit := targetstatus.Update{Incarnation: oneTarget, Limit: 10, Sent: now, Received: now}
	issuers := TargetIssuers(oneTarget, replicas)
	if len(issuers) != targetIssuers {
		t.Fatalf("issuers %v", issuers)
	}
	for _, name := range replicas {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, replicas)
		i.Apply(now, limit)
		if g := i.Issue(now, []SubjectRequest{{oneTarget, 1}})[0]; g.Count != 0 || g.RetryAfter <= 0 {
			t.Errorf("%s begins with permits: %+v", name, g)
		}
		g := i.Issue(now.Add(time.Second), []SubjectRequest{{oneTarget, 5}})[0]
		if isIssuer := slices.Contains(issuers, name); isIssuer != (g.Count > 0) {
			t.Errorf("%s, issuer %v: %+v", name, isIssuer, g)
		}
		i.Apply(now, targetstatus.Update{Incarnation: oneTarget, Limit: targetstatus.NoLimit, Sent: now.Add(time.Second), Received: now.Add(time.Second)})
		if g := i.Issue(now.Add(time.Second), []SubjectRequest{{oneTarget, 7}})[0]; g.Count != 7 {
			t.Errorf("%s after the limit was taken back: %+v", name, g)
		}
	}
}
