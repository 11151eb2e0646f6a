package targetpath

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func peers(zones ...string) (out []Peer) {
	for i, z := range zones {
		out = append(out, Peer{Name: fmt.Sprint("p", i), Zone: z, Region: z[:1], Address: fmt.Sprint("10.0.0.", i)})
	}
	return out
}

func newPaths(zones ...string) *Paths {
	p := New(Config{Zone: "a1", Region: "a"})
	p.SetPeers(peers(zones...))
	return p
}

// failConfirmed lets the box fail at targets that a peer reaches.
func failConfirmed(p *Paths, at time.Time, zone string, targets ...string) (change Change) {
	for _, target := range targets {
		p.RecordTunnel(at, zone, target, "p0")
		if c, _ := p.RecordConnectFailure(at, zone, target); c != Unchanged {
			change = c
		}
	}
	return change
}

// A box is cut off from a zone once it has failed at several targets that a peer reaches, and from no
// other zone.
func TestConfirmedFailuresCutOffOneZone(t *testing.T) {
	p := newPaths("a1", "a2")
	if change := failConfirmed(p, start, "a1", "t0", "t1"); change != Unchanged {
		t.Fatal("cut off after two failures")
	}
	if change := failConfirmed(p, start, "a1", "t0"); change != Lost {
		t.Fatal("not cut off after three failures at two targets")
	}
	if !p.IsCutOff("a1") || p.IsCutOff("a2") {
		t.Errorf("cut off from %v, want a1", p.CutOffZones())
	}
	if plan := p.Plan(start, "a1", nil); plan.Direct || len(plan.Peers) == 0 {
		t.Errorf("plan %+v, want peers only", plan)
	}
	if plan := p.Plan(start, "a2", nil); !plan.Direct {
		t.Errorf("plan %+v for another zone, want an own attempt first", plan)
	}
}

// Guards against taking targets that restart, or a zone without power, for a lost path: no peer reaches
// them either. After some attempts the peers are left alone.
func TestTargetsThatArePeersCantReachAreNoEvidence(t *testing.T) {
	p := newPaths("a1", "a2")
	asked := 0
	for n := range 100 {
		at := start.Add(time.Duration(n) * 10 * time.Millisecond)
		plan := p.Plan(at, "a1", nil)
		target := fmt.Sprint("t", n%8)
		if c, _ := p.RecordConnectFailure(at, "a1", target); c != Unchanged {
			t.Fatal("cut off though no peer reached a target")
		}
		for _, peer := range plan.Peers {
			asked++
			p.RecordPeerFailure(at, "a1", peer.Name, TargetDown)
		}
	}
	if asked > 12 {
		t.Errorf("peers were asked %d times in a second for a zone that is down", asked)
	}
}

// Guards against taking a target at its connection limit for a lost path: it resets connections of this box
// and accepts those of peers, while the box connects to others.
func TestOneResettingTargetIsNoEvidence(t *testing.T) {
	p := newPaths("a1", "a2")
	for n := range 50 {
		at := start.Add(time.Duration(n) * 100 * time.Millisecond)
		if failConfirmed(p, at, "a1", "full") != Unchanged {
			t.Fatal("cut off by one target")
		}
		p.RecordConnect(at, "a1", time.Millisecond)
	}
}

// After the end of a partition two of the box's own connections in a row restore the path, and
// probes are few whatever the load.
func TestPathIsRestoredByFewProbes(t *testing.T) {
	p := newPaths("a1", "a2")
	failConfirmed(p, start, "a1", "t0", "t1", "t2")
	probes := 0
	at := start
	for range 10_000 {
		at = at.Add(time.Millisecond)
		if p.Plan(at, "a1", nil).Probe {
			probes++
			p.RecordConnectFailure(at, "a1", "t0")
		}
	}
	if limit := int(10 * time.Second / ProbeInterval); probes > limit {
		t.Errorf("%d probes in 10 s, want at most %d", probes, limit)
	}
	healed := at
	for p.IsCutOff("a1") {
		at = at.Add(time.Millisecond)
		if p.Plan(at, "a1", nil).Probe {
			p.RecordConnect(at, "a1", time.Millisecond)
		}
	}
	if took := at.Sub(healed); took > time.Second {
		t.Errorf("restored after %s", took)
	}
	if p.CanUseOpen("a1") != true {
		t.Error("open connections can't be used after the end")
	}
}

// A failed probe starts the count of successes anew, so that a path that comes and goes does not switch
// back and forth.
func TestFailedProbeResetsSuccesses(t *testing.T) {
	p := newPaths("a1")
	failConfirmed(p, start, "a1", "t0", "t1", "t2")
	for n := range 20 {
		p.RecordConnect(start, "a1", time.Millisecond)
		p.RecordConnectFailure(start, "a1", fmt.Sprint("t", n))
	}
	if !p.IsCutOff("a1") {
		t.Error("restored by single successes")
	}
}

// While new connections fail, open ones are used only once a response has arrived on one since: they may
// live on or have gone silent.
func TestOpenConnectionsAreUsedOnceHeard(t *testing.T) {
	p := newPaths("a1")
	p.RecordResponse(start, "a1")
	failConfirmed(p, start.Add(time.Second), "a1", "t0", "t1", "t2")
	if p.CanUseOpen("a1") {
		t.Error("silent connections are used")
	}
	p.RecordResponse(start.Add(2*time.Second), "a1")
	if !p.CanUseOpen("a1") {
		t.Error("live connections are not used")
	}
}

// Without peers the box connects itself, whatever fails.
func TestBoxWithoutPeersConnectsItself(t *testing.T) {
	p := newPaths()
	for n := range 20 {
		p.RecordConnectFailure(start, "a1", fmt.Sprint("t", n))
	}
	if plan := p.Plan(start, "a1", nil); !plan.Direct || len(plan.Peers) > 0 {
		t.Errorf("plan %+v", plan)
	}
}

// The peers of a plan are of different zones where there are several, the nearest first, and within the
// regions of the request.
func TestPlannedPeersAreNearAndOfDifferentZones(t *testing.T) {
	p := newPaths("b1", "a2", "a1", "a1", "b2")
	got := p.Plan(start, "a1", nil).Peers
	if len(got) != maxPlannedPeers || got[0].Zone != "a1" || got[1].Zone != "a2" || got[2].Region != "b" {
		t.Errorf("got %v", got)
	}
	for _, peer := range p.Plan(start, "a1", []string{"b"}).Peers {
		if peer.Region != "b" {
			t.Errorf("peer %v for a request that must stay in region b", peer)
		}
	}
}

// Connections spread over the peers of a class by how many are open.
func TestConnectionsSpreadOverPeers(t *testing.T) {
	p := newPaths("a1", "a1", "a1")
	opened := make(map[string]int)
	for range 90 {
		name := p.Plan(start, "a1", nil).Peers[0].Name
		opened[name]++
		p.RecordPeerOpen(name, 1)
	}
	for name, n := range opened {
		if n != 30 {
			t.Errorf("%d connections through %s, want 30", n, name)
		}
	}
}

// A box that is cut off and whose peers are too is told when the next one may be asked.
func TestAllPeersCutOff(t *testing.T) {
	p := newPaths("a1", "a2")
	failConfirmed(p, start, "a1", "t0", "t1", "t2")
	for _, name := range []string{"p0", "p1"} {
		p.RecordPeerFailure(start, "a1", name, PeerCutOff)
	}
	at := start.Add(100 * time.Millisecond)
	plan := p.Plan(at, "a1", nil)
	if plan.Direct || plan.Probe || len(plan.Peers) > 0 {
		t.Errorf("plan %+v, want nothing", plan)
	}
	if wait := p.NextPeer(at, nil); wait != cutOffPeerPause-100*time.Millisecond {
		t.Errorf("the next peer in %s", wait)
	}
	if len(p.Plan(start.Add(cutOffPeerPause), "a1", nil).Peers) == 0 {
		t.Error("the peers are not asked again")
	}
}

// A peer without any response since a request was sent is skipped for a while; one with responses isn't.
func TestSilentPeerIsSkipped(t *testing.T) {
	p := newPaths("a1", "a2")
	p.RecordPeerResponse(start.Add(time.Second), "p1")
	at := start.Add(2 * time.Second)
	p.RecordPeerOverdue(at, "p0", start)
	p.RecordPeerOverdue(at, "p1", start)
	if got := p.Plan(at, "a1", nil).Peers; len(got) != 1 || got[0].Name != "p1" {
		t.Errorf("peers %v, want p1 only", got)
	}
}

// TestPathsProperties applies random results and checks what must always hold.
func TestPathsProperties(t *testing.T) {
	zones := []string{"a1", "a2", "b1"}
	rapid.Check(t, func(t *rapid.T) {
		p := newPaths("a1", "a2", "b1", "b1")
		at := start
		tunnelled := make(map[string]bool)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			target := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "target"))
			name := fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "peer"))
			change := Unchanged
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				change, _ = p.RecordConnect(at, zone, time.Millisecond)
			case 1:
				change, _ = p.RecordConnectFailure(at, zone, target)
			case 2:
				tunnelled[zone] = true
				change, _ = p.RecordTunnel(at, zone, target, name)
			case 3:
				p.RecordPeerFailure(at, zone, name, Result(rapid.IntRange(0, 5).Draw(t, "result")))
			case 4:
				p.RecordResponse(at, zone)
			case 5:
				p.RecordPeerOverdue(at, name, at.Add(-time.Second))
			}
			if (change == Lost) && !tunnelled[zone] {
				t.Fatalf("cut off from %s though no peer reached it", zone)
			}
			if change == Lost && !p.IsCutOff(zone) || change == Restored && p.IsCutOff(zone) {
				t.Fatalf("change %d, cut off %v", change, p.IsCutOff(zone))
			}
			checkPlan(t, p.Plan(at, zone, nil), p.IsCutOff(zone))
		}
	})
}

func checkPlan(t *rapid.T, plan Plan, cutOff bool) {
	if plan.Direct == cutOff || plan.Probe && !cutOff {
		t.Fatalf("plan %+v while cut off is %v", plan, cutOff)
	}
	if len(plan.Peers) > maxPlannedPeers || plan.Delay < minAboveMedian || plan.Delay > DialTimeout {
		t.Fatalf("plan %+v", plan)
	}
	seen := make(map[string]bool)
	for _, peer := range plan.Peers {
		if seen[peer.Name] {
			t.Fatalf("peer %s twice", peer.Name)
		}
		seen[peer.Name] = true
	}
}

// ExamplePaths connects through a peer while the box is cut off from a zone.
func ExamplePaths() {
	p := New(Config{Zone: "a1", Region: "a"})
	p.SetPeers([]Peer{{Name: "box2", Zone: "a2", Region: "a", Address: "10.0.0.2:7660"}})
	now := time.Unix(0, 0)
	for _, target := range []string{"t0", "t1", "t2"} {
		p.RecordConnectFailure(now, "a1", target)
		p.RecordTunnel(now, "a1", target, "box2")
	}
	plan := p.Plan(now, "a1", nil)
	fmt.Println(p.CutOffZones(), plan.Direct, plan.Peers[0].Name)
	// Output: [a1] false box2
}

// Guards against a box that tells others that a target is down while new connections of its own fail and open ones
// live on.
func TestResponsesDontTellThatTheBoxCanConnect(t *testing.T) {
	p := newPaths("a1")
	p.RecordConnect(start, "a1", time.Millisecond)
	if !p.CanConnect(start.Add(time.Millisecond), "a1") {
		t.Error("the box has connected a millisecond ago")
	}
	p.RecordResponse(start.Add(connectWindow), "a1")
	if p.CanConnect(start.Add(connectWindow), "a1") {
		t.Error("the box has not connected lately")
	}
}
