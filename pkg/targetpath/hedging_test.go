package targetpath

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recordConnects records connections to a zone at a rate per second, each of which takes took plus up to spread.
func recordConnects(p *Paths, from time.Time, length time.Duration, rate int, took, spread time.Duration) time.Time {
	random := rand.New(rand.NewPCG(1, uint64(took)))
	end := from.Add(length)
	for at := from; at.Before(end); at = at.Add(time.Second / time.Duration(rate)) {
		p.RecordConnect(at, "a1", took+time.Duration(random.Int64N(int64(spread)+1)))
	}
	return end
}

func delayOf(p *Paths, at time.Time) time.Duration { return p.Plan(at, "a1", nil).Delay }

// Guards against hedged attempts at a guessed delay: a box that has just started knows nothing of its links.
func TestUnknownZoneIsHedgedAtTheDialTimeout(t *testing.T) {
	p := newPaths("a1")
	for n := range minSamples {
		if got := delayOf(p, start); got != DialTimeout {
			t.Errorf("%s after %d connections, want %s", got, n, DialTimeout)
		}
		p.RecordConnect(start, "a1", time.Millisecond)
	}
	if got := delayOf(p, start); got != time.Millisecond+minAboveMedian {
		t.Errorf("%s, want 60 ms above the median of 1 ms", got)
	}
	if got := p.Plan(start, "b1", nil).Delay; got != DialTimeout {
		t.Errorf("%s for another zone", got)
	}
}

// Guards against hedged attempts beside all connections while the links to a zone are slow, and against late ones long
// after: the delay follows within 2 s and is back within 40 s, at the rates of small and of large boxes.
func TestDelayFollowsSlowDownsOfLinks(t *testing.T) {
	for _, rate := range []int{2, 20, 300} {
		t.Run(fmt.Sprint(rate, " per second"), func(t *testing.T) {
			p := newPaths("a1")
			at := recordConnects(p, start, 30*time.Second, rate, 70*time.Millisecond, 10*time.Millisecond)
			if got := delayOf(p, at); got < 130*time.Millisecond || got > 160*time.Millisecond {
				t.Fatalf("%s for connections of 70 to 80 ms", got)
			}
			at = recordConnects(p, at, 2*time.Second, rate, 200*time.Millisecond, 10*time.Millisecond)
			if got := delayOf(p, at); got < 200*time.Millisecond {
				t.Errorf("%s after 2 s of connections of 200 to 210 ms", got)
			}
			at = recordConnects(p, at, 20*time.Second, rate, 200*time.Millisecond, 10*time.Millisecond)
			at = recordConnects(p, at, 40*time.Second, rate, 70*time.Millisecond, 10*time.Millisecond)
			if got := delayOf(p, at); got > 160*time.Millisecond {
				t.Errorf("%s after 40 s of connections of 70 to 80 ms", got)
			}
		})
	}
}

// Guards against a box that forgets its links over a quiet time and then waits for the dial timeout.
func TestQuietZoneKeepsItsDelay(t *testing.T) {
	p := newPaths("a1")
	at := recordConnects(p, start, 10*time.Second, 10, time.Millisecond, 0)
	at = at.Add(24 * time.Hour)
	p.RecordConnect(at, "a1", 100*time.Millisecond)
	if got := delayOf(p, at); got < 100*time.Millisecond || got > 120*time.Millisecond {
		t.Errorf("%s after one slow connection, want its time", got)
	}
	for range 10 {
		at = at.Add(time.Hour)
		p.RecordConnect(at, "a1", time.Millisecond)
	}
	if got := delayOf(p, at); got != time.Millisecond+minAboveMedian {
		t.Errorf("%s after ten fast ones", got)
	}
}

// TestDelayProperties compares the delay with the exact quantiles of connections that were made at one time, and checks
// the bounds of the page.
func TestDelayProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPaths("a1")
		took := rapid.SliceOfN(rapid.Int64Range(0, int64(DialTimeout)), minSamples, 300).Draw(t, "took")
		for _, x := range took {
			p.RecordConnect(start, "a1", time.Duration(x))
		}
		slices.Sort(took)
		exact := func(q float64) time.Duration {
			return time.Duration(took[max(int(math.Ceil(q*float64(len(took))))-1, 0)])
		}
		got := delayOf(p, start)
		least := min(max(exact(hedgeQuantile), exact(0.5)+minAboveMedian), DialTimeout)
		most := max(exact(hedgeQuantile)*6/5, exact(0.5)*6/5+minAboveMedian) + time.Millisecond
		if got < least || got > most || got > DialTimeout {
			t.Fatalf("delay %s, want %s to %s", got, least, most)
		}
	})
}

// TestBudgetProperties checks that in every window the hedged attempts of a box are at most its share of the attempts of
// the window and of the second before, plus the burst, and that a window without any leaves room for the burst.
func TestBudgetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPaths("a1", "a2")
		var attempts, hedges []time.Time
		at := start
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "event") > 0 {
				p.RecordAttempt(at)
				attempts = append(attempts, at)
			} else if p.TakeHedge(at, rapid.SampledFrom([]string{"a1", "b1"}).Draw(t, "zone")) {
				hedges = append(hedges, at)
			}
		}
		within := func(list []time.Time, from, to time.Time) (n int) {
			for _, x := range list {
				if x.After(from) && !x.After(to) {
					n++
				}
			}
			return n
		}
		for _, end := range hedges {
			n := within(hedges, end.Add(-hedgeWindow), end)
			allowed := hedgeBurst + hedgeShare*float64(within(attempts, end.Add(-hedgeWindow-hedgeSlotLength), end))
			if float64(n) > allowed {
				t.Fatalf("%d hedged attempts in the window that ends at %s, allowed %v", n, end, allowed)
			}
		}
		at = at.Add(hedgeWindow + hedgeSlotLength)
		for n := range hedgeBurst {
			if !p.TakeHedge(at, "a1") {
				t.Fatalf("hedged attempt %d after a quiet window is held back", n)
			}
		}
		if p.TakeHedge(at, "a1") {
			t.Fatal("more than the burst without attempts")
		}
	})
}

// Guards against a box that can't be told from one behind slow links because its budget is used up, and against one zone
// whose failures use up the budget of the others.
func TestZoneWithFailuresInARowIsNotLimited(t *testing.T) {
	p := newPaths("a1", "a2")
	for range hedgeBurst {
		p.TakeHedge(start, "b1")
	}
	p.RecordConnectFailure(start, "a1", "t0")
	if p.TakeHedge(start, "a1") {
		t.Error("a single failure lifts the limit")
	}
	p.RecordConnectFailure(start, "a1", "t1")
	for range 100 {
		if !p.TakeHedge(start, "a1") {
			t.Fatal("a zone with failures in a row is limited")
		}
	}
	if p.TakeHedge(start, "b1") {
		t.Error("failures in one zone lift the limit in another")
	}
	later := start.Add(hedgeWindow + hedgeSlotLength)
	for range 100 {
		p.TakeHedge(later, "a1")
	}
	if !p.TakeHedge(later, "b1") {
		t.Error("hedged attempts to a zone without a limit are charged to the budget")
	}
	p.RecordConnect(later, "a1", time.Millisecond)
	for range hedgeBurst {
		p.TakeHedge(later, "a1")
	}
	if p.TakeHedge(later, "a1") {
		t.Error("a connection does not restore the limit")
	}
	failConfirmed(p, later, "a1", "t0", "t1", "t2")
	if !p.IsCutOff("a1") || !p.TakeHedge(later, "a1") {
		t.Error("a zone that the box is cut off from is limited")
	}
	if got := delayOf(p, later); got > maxPeerDelay {
		t.Errorf("the next peer is asked after %s while the box is cut off", got)
	}
}

// crossing is a link between regions of the hard load: a connection takes 70 ms and up to 10 ms more, the box stalls for
// up to 90 ms during one in twenty, and from 30 to 50 s links take slower times as long.
func crossing(random *rand.Rand, since time.Duration, slower int) time.Duration {
	took := 70*time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond)))
	if since >= 30*time.Second && since < 50*time.Second {
		took *= time.Duration(slower)
	}
	if random.Float64() < 0.05 {
		took += time.Duration(random.Int64N(int64(90 * time.Millisecond)))
	}
	return took
}

// hedgeCounts counts the connections of a box and those that got a hedged attempt.
type hedgeCounts struct{ connections, hedged int }

// playCrossing makes 20 connections per second for 90 s, hedged after the time that delay returns if take allows it.
func playCrossing(slower int, p *Paths, delay func(at time.Time) time.Duration, take func(at time.Time) bool) (out hedgeCounts) {
	random := rand.New(rand.NewPCG(7, 7))
	var pending []time.Duration // by the start of the connection, as times from start
	for n := range 90 * 20 {
		since := time.Duration(n) * time.Second / 20
		at := start.Add(since)
		took := crossing(random, since, slower)
		p.RecordAttempt(at)
		out.connections++
		if due := delay(at); took > due && take(at.Add(due)) {
			out.hedged++
		}
		pending = append(pending, took)
		// What a connection took is known once it has ended, 6 starts later for the dial timeout.
		if known := n - int(DialTimeout*20/time.Second); known >= 0 {
			p.RecordConnect(at, "a1", min(pending[known], DialTimeout))
		}
	}
	return out
}

// TestSlowLinksDontMultiplyConnections plays the load of hanbit and wpsl between regions, where links take 70 ms, boxes
// stall and links slow down to three times: hedged attempts stay within the budget, and are rare before. It logs the figures of
// the alternatives in docs/design/connections.md.
func TestSlowLinksDontMultiplyConnections(t *testing.T) {
	always := func(time.Time) bool { return true }
	fixed := func(d time.Duration) func(time.Time) time.Duration {
		return func(time.Time) time.Duration { return d }
	}
	for _, slower := range []int{1, 2, 3} {
		for _, d := range []time.Duration{60, 80, 150, 300} {
			p := newPaths("a1")
			t.Logf("links %d times as slow, fixed %d ms: %+v", slower, d, playCrossing(slower, p, fixed(d*time.Millisecond), always))
		}
		p := newPaths("a1")
		learned := func(at time.Time) time.Duration { return delayOf(p, at) }
		t.Logf("links %d times as slow, learned without a budget: %+v", slower, playCrossing(slower, p, learned, always))
		p = newPaths("a1")
		got := playCrossing(slower, p, learned, func(at time.Time) bool { return p.TakeHedge(at, "a1") })
		t.Logf("links %d times as slow, learned with the budget: %+v", slower, got)
		if limit := hedgeShare*float64(got.connections) + 9*hedgeBurst; float64(got.hedged) > limit {
			t.Errorf("%d of %d connections are hedged, allowed %v", got.hedged, got.connections, limit)
		}
		if slower == 1 && got.hedged > got.connections/50 {
			t.Errorf("%d of %d connections are hedged while links are as usual", got.hedged, got.connections)
		}
	}
}
