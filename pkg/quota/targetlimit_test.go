package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const oneTarget = "t"

// said is a word of the target of these tests.
func said(perSecond float64, sent, heard time.Duration) TargetLimit {
	return TargetLimit{Life: oneTarget, PerSecond: perSecond, Sent: time.Time{}.Add(sent), Heard: time.Time{}.Add(heard)}
}

func TestAnswersOutOfOrder(t *testing.T) {
	known := said(5, 10, 20)
	cases := map[string]struct {
		word TargetLimit
		want float64
	}{
		"later, raised":          {said(8, 20, 30), 8},
		"later, taken back":      {said(NoLimit, 25, 30), NoLimit},
		"later, hardly raised":   {said(5.4, 20, 30), 5},
		"later, hardly lowered":  {said(4.9, 20, 30), 4.9},
		"earlier, none yet":      {said(NoLimit, 1, 10), 5},
		"beside it, none":        {said(NoLimit, 15, 40), 5},
		"beside it, raised":      {said(8, 5, 40), 5},
		"beside it, lowered":     {said(2, 5, 15), 2},
		"long under way, lower":  {said(2, 1, 60), 2},
		"later, the same limit":  {said(5, 30, 40), 5},
		"beside it, still valid": {said(5, 15, 40), 5},
	}
	for name, c := range cases {
		if got := known.With(c.word).PerSecond; got != c.want {
			t.Errorf("%s: %v a second, want %v", name, got, c.want)
		}
	}
}

// Two answers that ran beside each other named the same limit; a third that ran beside the
// second names none.
func TestLimitHoldsWhileAnyAnswerThatNamedItMayBeTheLast(t *testing.T) {
	known := said(5, 10, 20).With(said(5, 15, 40)).With(said(NoLimit, 25, 50))
	if known.PerSecond != 5 {
		t.Errorf("%v a second is known", known.PerSecond)
	}
}

// A word waits on its way, which its ages don't count: one that another process tells as
// said just after a limit was named here may have been said before.
func TestRelayedWordMayBeOlderThanItsAges(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	named := TargetLimit{Life: oneTarget, PerSecond: 5, Sent: now.Add(-20 * time.Millisecond), Heard: now}
	message := TargetLimit{Life: oneTarget, PerSecond: NoLimit, Sent: now.Add(-150 * time.Millisecond), Heard: now.Add(-120 * time.Millisecond)}.Message(now)
	arrived := now.Add(200 * time.Millisecond)
	if got := named.With(TargetLimitOf(arrived, message)); got.PerSecond != 5 {
		t.Errorf("%v a second is known", got.PerSecond)
	}
	now = now.Add(2 * time.Second)
	message = TargetLimit{Life: oneTarget, PerSecond: NoLimit, Sent: now.Add(-time.Second), Heard: now}.Message(now)
	if got := named.With(TargetLimitOf(now, message)); got.PerSecond != NoLimit {
		t.Errorf("%v a second is known", got.PerSecond)
	}
}

// A target that reckons its limit anew for each answer is no news each time, and one that
// names a little more each time has its limit raised in the end.
func TestNoiseIsNoNews(t *testing.T) {
	book := NewTargetLimits()
	changes := 0
	take := func(at time.Duration, perSecond float64) {
		if _, changed := book.Take(said(perSecond, at, at+1)); changed {
			changes++
		}
	}
	for i := range 1000 {
		take(time.Duration(2*i), 10+float64(i*7%10)/20)
	}
	if changes > 3 || book.Of(oneTarget).PerSecond != 10 {
		t.Errorf("%d changes, %v a second", changes, book.Of(oneTarget).PerSecond)
	}
	for i := range 100 {
		take(time.Duration(3000+2*i), 10+float64(i)/5)
	}
	if got := book.Of(oneTarget).PerSecond; got < 27 {
		t.Errorf("a limit that rose to 29.8 is known as %v", got)
	}
}

// Of words in any order, with answers that ran beside each other, what is known is never
// above the least of what the target may have said last.
func TestLimitIsNeverAboveWhatWasSaidLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type answer struct {
			TargetLimit
			at time.Duration
		}
		var answers []answer
		limits := []float64{NoLimit, 1, 2, 3}
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "pause"))
			sent := now - time.Duration(rapid.IntRange(0, 30).Draw(t, "service"))
			heard := now + time.Duration(rapid.IntRange(0, 30).Draw(t, "way"))
			answers = append(answers, answer{said(rapid.SampledFrom(limits).Draw(t, "limit"), sent, heard), now})
		}
		last := answers[len(answers)-1]
		order := rapid.Permutation(answers).Draw(t, "order")
		book := NewTargetLimits()
		for _, a := range order {
			book.Take(a.TargetLimit)
		}
		if got := book.Of(oneTarget).PerSecond; got > last.PerSecond {
			t.Fatalf("%v a second is known, the target said %v last", got, last.PerSecond)
		}
	})
}

// A limit that is taken back is gone once an answer has come whose request was sent after
// the last answer that named it.
func TestLimitThatIsTakenBackIsForgotten(t *testing.T) {
	book := NewTargetLimits()
	book.Take(said(5, 10, 20))
	if _, changed := book.Take(said(NoLimit, 15, 30)); changed {
		t.Error("taken back by an answer that ran beside")
	}
	c, changed := book.Take(said(NoLimit, 20, 40))
	if !changed || c.Before != 5 || c.After != NoLimit || book.Named() != 0 {
		t.Errorf("got %+v, changed %v", c, changed)
	}
	if _, changed := book.Take(said(5, 1, 19)); changed {
		t.Error("named again by an answer of before")
	}
	words, last := book.Since(0)
	if len(words) != 1 || words[0].Named() || last != 2 {
		t.Errorf("subscribers are told %+v, %d", words, last)
	}
	book.Keep(time.Time{}.Add(time.Hour), func(string) bool { return true })
	if words, _ := book.Since(0); len(words) != 0 {
		t.Errorf("still known after an hour: %+v", words)
	}
}

// needWindow is the span in which targets count what they get.
const needWindow = 4 * time.Second

// mostOfTarget is what a target that names a limit may get in it.
func mostOfTarget(perSecond float64) float64 { return 1.5*perSecond*needWindow.Seconds() + 5 }

// needy is a target in need, some replicas and boxes in virtual time, and a network that
// loses what its cuts forbid.
type needy struct {
	t        *rapid.T
	now      time.Time
	limit    TargetLimit
	issuers  map[string]*TargetIssuer
	replicas []string
	boxes    []*needyBox
	cut      map[string]bool
	sent     []time.Time
}

// needyBox is what a box has for the target.
type needyBox struct {
	name  string
	stock *Stock
	alone *Alone
	// taken are permits that have been taken and not been used.
	taken []time.Time
}

func (n *needy) startIssuer(name string) {
	i := NewTargetIssuer(name)
	i.SetReplicas(n.now, n.replicas)
	n.issuers[name] = i
}

func (n *needy) startBox(k int) {
	b := &needyBox{name: fmt.Sprint("b", k), alone: NewAlone(fmt.Sprint("b", k))}
	b.stock = NewTargetStock()
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
func (n *needy) request(b *needyBox, late bool) {
	until, ok := n.permit(b)
	switch {
	case !ok:
	case late:
		b.taken = append(b.taken, until)
	default:
		n.sent = append(n.sent, n.now)
	}
}

func (n *needy) permit(b *needyBox) (until time.Time, ok bool) {
	b.stock.Count(n.now, oneTarget)
	for range len(n.replicas) + 1 {
		if until, ok := b.stock.Take(n.now, oneTarget); ok {
			return until, true
		}
		if b.stock.Refusal(n.now, oneTarget) != nil {
			break
		}
		b.stock.Wait(oneTarget)
		for _, a := range b.stock.Asks(n.now) {
			n.answer(b, a)
		}
		b.stock.Unwait(oneTarget)
	}
	return b.alone.Take(n.now, n.limit)
}

func (n *needy) answer(b *needyBox, a IssuerAsks) {
	if n.cut[b.name+a.Address] {
		b.stock.Unanswered(n.now, a)
		return
	}
	i := n.issuers[a.Address]
	i.Take(n.now, n.limit)
	grants := i.Issue(n.now, a.Asks)
	if n.cut[a.Address+b.name] { // the answer is lost
		b.stock.Unanswered(n.now, a)
		return
	}
	b.stock.Answered(n.now, a, grants)
}

// pass lets time pass; permits that were taken are used at the last moment.
func (n *needy) pass(d time.Duration) {
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
func (n *needy) check(from time.Time, perSecond float64) {
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
		n := &needy{t: t, now: time.Time{}.Add(time.Hour), issuers: make(map[string]*TargetIssuer), cut: make(map[string]bool)}
		n.limit = TargetLimit{Life: oneTarget, PerSecond: rapid.SampledFrom([]float64{0, 0.3, 1, 5.6, 40}).Draw(t, "limit"), Sent: n.now, Heard: n.now}
		for k := range rapid.IntRange(1, 9).Draw(t, "replicas") {
			n.replicas = append(n.replicas, fmt.Sprint("r", k))
		}
		for _, r := range n.replicas {
			n.startIssuer(r)
		}
		n.boxes = make([]*needyBox, rapid.IntRange(1, 12).Draw(t, "boxes"))
		for k := range n.boxes {
			n.startBox(k)
		}
		higher, lowered := n.limit.PerSecond, time.Time{}
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
					n.limit = TargetLimit{Life: oneTarget, PerSecond: higher / 3, Sent: n.now, Heard: n.now}
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
	limit := TargetLimit{Life: oneTarget, PerSecond: perSecond, Sent: now, Heard: now}
	var all []string
	for k := range replicas {
		all = append(all, fmt.Sprint("r", k))
	}
	var issuers []*TargetIssuer
	for _, name := range TargetIssuers(oneTarget, all) {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, all)
		i.Take(now, limit)
		issuers = append(issuers, i)
	}
	alone := NewAlone("b")
	alone.SetBoxes([]string{"b"})
	alone.Take(now, limit)
	now = now.Add(time.Minute)
	used := 0
	for end := now.Add(targetLife + needWindow); now.Before(end); now = now.Add(time.Millisecond) {
		for _, i := range issuers {
			used += i.Issue(now, []Ask{{oneTarget, 1 << 20}})[0].Count
		}
		if now.After(end.Add(-needWindow)) {
			if _, ok := alone.Take(now, limit); ok {
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
	limit := TargetLimit{Life: oneTarget, PerSecond: 10, Sent: now, Heard: now}
	issuers := TargetIssuers(oneTarget, replicas)
	if len(issuers) != targetIssuers {
		t.Fatalf("issuers %v", issuers)
	}
	for _, name := range replicas {
		i := NewTargetIssuer(name)
		i.SetReplicas(now, replicas)
		i.Take(now, limit)
		if g := i.Issue(now, []Ask{{oneTarget, 1}})[0]; g.Count != 0 || g.Wait <= 0 {
			t.Errorf("%s begins with permits: %+v", name, g)
		}
		g := i.Issue(now.Add(time.Second), []Ask{{oneTarget, 5}})[0]
		if isIssuer := slices.Contains(issuers, name); isIssuer != (g.Count > 0) {
			t.Errorf("%s, issuer %v: %+v", name, isIssuer, g)
		}
		i.Take(now, TargetLimit{Life: oneTarget, PerSecond: NoLimit, Sent: now.Add(time.Second), Heard: now.Add(time.Second)})
		if g := i.Issue(now.Add(time.Second), []Ask{{oneTarget, 7}})[0]; g.Count != 7 {
			t.Errorf("%s after the limit was taken back: %+v", name, g)
		}
	}
}
