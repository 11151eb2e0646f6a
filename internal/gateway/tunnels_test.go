package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	dto "github.com/prometheus/client_model/go"

	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// wantTunnelRefusal checks how a box refuses to connect to a target for another one.
func wantTunnelRefusal(t *testing.T, d *Daemon, target string, want tunnel.RefusedError) {
	t.Helper()
	want.Peer = d.config.Name
	_, err := d.connectForPeer(t.Context(), target)
	var refused *tunnel.RefusedError
	if !errors.As(err, &refused) || *refused != want {
		t.Errorf("target %s: got %v, want %v", target, err, &want)
	}
}

// Guards against a box that connects others to anything but targets to which requests may be sent, or takes a
// second hop.
func TestBoxConnectsOthersToUsableTargetsOnly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1"}, []string{"a1", "a1", "a2", "a2"})
		d := s.boxes[0]
		wantTunnelRefusal(t, d, "10.9.9.9:22", tunnel.RefusedError{Result: targetpath.TargetUnknown})
		d.balancing.Lock()
		d.balancing.balancer.SetEvacuated(d.clock.Now(), []string{"a2"})
		d.balancing.balancer.BackOff(d.clock.Now(), "t0", targetstatus.Status{BackOff: time.Second})
		remaining := d.balancing.balancer.BackOffRemaining(d.clock.Now(), "t0")
		d.balancing.Unlock()
		wantTunnelRefusal(t, d, "t2", tunnel.RefusedError{Result: targetpath.TargetUnknown})
		wantTunnelRefusal(t, d, "t0", tunnel.RefusedError{Result: targetpath.TargetUnknown, BackOff: remaining})
		conn, err := d.connectForPeer(t.Context(), "t1")
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		s.cut(refuseAndClose, 0)
		wantTunnelRefusal(t, d, "t1", tunnel.RefusedError{Result: targetpath.TargetDown})
		s.sendLoad("cut off", 40, time.Second)
		wantTunnelRefusal(t, d, "t1", tunnel.RefusedError{Result: targetpath.PeerCutOff})
	})
}

// Guards against targets that get more than two requests of a box during a back-off that they asked it for: a target
// counts by the box that connects to it, which carries the requests of a box that is cut off.
func TestBackOffsHoldThroughPeers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a1", "a1"}, []string{"a1", "a1"})
		s.sendLoad("before", 40, time.Second)
		s.cut(refuseAndClose, 0, 1, 2)
		s.sendLoad("cut off", 40, 2*time.Second)
		var mu sync.Mutex
		firstAt := make(map[string]time.Time)
		late := make(map[string]int)
		s.setReject(func(box, address string) bool {
			mu.Lock()
			defer mu.Unlock()
			if address != s.targets[0] {
				return false
			}
			if firstAt[box].IsZero() {
				firstAt[box] = time.Now()
			}
			if since := time.Since(firstAt[box]); since > 500*time.Millisecond && since < rejectedFor {
				late[box]++
			}
			return true
		})
		// Only one box hears of the back-off at first.
		heard := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(firstAt) > 0
		}
		for n := 0; !heard() && n < 100; n++ {
			s.sendOne(t.Context(), 0, fmt.Sprint("first-", n), http.MethodPost, "/safe/")
		}
		time.Sleep(600 * time.Millisecond)
		s.sendLoad("rejected", 40, rejectedFor-700*time.Millisecond)
		s.check(t)
		for box, n := range late {
			if n > 2 {
				t.Errorf("%s sent %d requests during the back-off", box, n)
			}
		}
		if len(firstAt) == 0 {
			t.Error("no request was rejected")
		}
	})
}

// Guards against requests that end with the box that carries them: repeatable ones go on by another, no target is
// ejected for it, and no request counts as one that crashed its target.
func TestLostPeerIsNoFailureOfTargets(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a1", "a2"}, []string{"a1", "a1", "a1", "a1"})
		s.setServiceTime(200 * time.Millisecond)
		s.sendLoad("before", 40, time.Second)
		s.cut(hangAndClose, 0)
		s.sendLoad("cut off", 40, 2*time.Second)
		brokenByCut := &dto.Metric{}
		if err := s.boxes[0].metrics.attempts.WithLabelValues("broken").Write(brokenByCut); err != nil {
			t.Fatal(err)
		}
		beforeKill := brokenByCut.Counter.GetValue()
		s.kill(1)
		s.kill(2)
		s.sendLoad("first second", 40, time.Second)
		s.sendLoad("later", 40, 2*time.Second)
		s.wantServed(t, "cut off", 0, 3)
		s.wantServed(t, "later", 0, 3)
		s.check(t)
		d := s.boxes[0]
		if n := d.isolation.SuspectCount(); n > 0 {
			t.Errorf("%d requests are suspected", n)
		}
		broken, lost := &dto.Metric{}, &dto.Metric{}
		if err := errors.Join(d.metrics.attempts.WithLabelValues("broken").Write(broken), d.metrics.attempts.WithLabelValues("noPath").Write(lost)); err != nil {
			t.Fatal(err)
		}
		if beforeKill != broken.Counter.GetValue() || lost.Counter.GetValue() == 0 {
			t.Errorf("%v attempts count as broken by their targets, %v as lost", broken.Counter.GetValue()-beforeKill, lost.Counter.GetValue())
		}
		for range s.targets {
			c, err := d.choose(balance.Request{Service: "s", Route: "r", Objective: time.Hour, Remaining: time.Hour})
			if err != nil {
				t.Fatalf("a target is ejected: %v", err)
			}
			d.recordOutcome(balance.Report{TargetID: c.Target.ID, Route: "r", Outcome: balance.Dropped})
		}
	})
}

// Guards against requests that are cut off by the planned stop of the box that carries them.
func TestStoppingPeerCutsNoRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a2", "a2"})
		s.setServiceTime(300 * time.Millisecond)
		s.sendLoad("before", 40, time.Second)
		s.cut(hangAndClose, 0)
		s.sendLoad("cut off", 40, 2*time.Second)
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.boxes[1].tunnelServer.Drain()
			ctx, cancel := context.WithTimeout(s.ctx, 4*time.Second)
			defer cancel()
			if err := s.boxes[1].tunnelServer.Wait(ctx); err != nil {
				t.Errorf("%d connections are still open 4 s after the stop began", s.boxes[1].tunnelServer.Open())
			}
		}()
		s.sendLoad("stopping", 40, 5*time.Second)
		s.check(t)
		if got := s.counts["stopping"][0]; got.served != got.sent {
			t.Errorf("%d of %d requests were served", got.served, got.sent)
		}
	})
}

// Guards against connections through a peer outside of the regions that a request must not leave.
func TestRequestsStayInTheirRegions(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "b1"}, []string{"a1", "a1", "a1"})
		s.sendLoad("before", 40, time.Second)
		s.cut(refuseAndClose, 0)
		s.sendLoad("cut off", 40, time.Second)
		pool := s.boxes[0].connections
		target := balance.Target{ID: "t0", Address: s.targets[0], Zone: "a1", Region: "a"}
		for range 10 {
			c, err := pool.get(t.Context(), target, []string{"a"})
			if err == nil {
				t.Fatalf("a connection through %s", c.peer.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c, err := pool.get(t.Context(), target, nil)
		if err != nil || c.peer.Name != "box1" {
			t.Fatalf("got %v, %v, want a connection through box1", c, err)
		}
		_ = c.Close()
	})
}

// A caller that leaves is known at the target at once, also through a peer.
func TestLeavingCallerEndsRunThroughPeer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1"}, []string{"a1", "a1"})
		s.sendLoad("before", 40, time.Second)
		s.cut(hangAndClose, 0)
		s.sendLoad("cut off", 40, 2*time.Second)
		time.Sleep(3 * time.Second)
		s.setServiceTime(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.sendOne(ctx, 0, "leaving", http.MethodPost, "/safe/")
		}()
		time.Sleep(100 * time.Millisecond)
		open := s.boxes[1].tunnelServer.Open()
		cancel()
		<-ended
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		if now := s.boxes[1].tunnelServer.Open(); open == 0 || now != open-1 {
			t.Errorf("%d connections for the other box, then %d", open, now)
		}
		s.check(t)
	})
}

// Guards against repeatable requests that wait for a response on connections that went silent until their hedge delay
// or deadline, although the box has found out that it lost its path.
func TestSilentRequestsGoOnOnceThePathIsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a2", "a2"})
		s.setServiceTime(200 * time.Millisecond) // many connections are open
		s.sendLoad("before", 40, 2*time.Second)
		s.cut(hangAndSilence, 0)
		const requests = 40
		served := make(chan time.Duration, requests)
		for n := range requests {
			go func() {
				began := time.Now()
				if s.sendOne(t.Context(), 0, fmt.Sprint("silent-", n), http.MethodPost, "/safe/").Code == http.StatusOK {
					served <- time.Since(began)
				}
			}()
			time.Sleep(time.Second / requests)
		}
		s.check(t)
		close(served)
		inTime := 0
		for took := range served {
			if took < 700*time.Millisecond { // the shortest hedge delay
				inTime++
			}
		}
		if float64(inTime) < minServedShare*requests {
			t.Errorf("%d of %d repeatable requests of the first second were served before their hedge delay", inTime, requests)
		}
	})
}

// Guards against targets that stay ejected for what the box's own links did: the box finds out that it was cut off
// after the targets have been ejected.
func TestTargetsAreReadmittedOnceThePathIsLost(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1"}, []string{"a1", "a1", "a1"})
		d := s.boxes[0]
		for i := range s.targets {
			d.recordOutcome(balance.Report{TargetID: fmt.Sprint("t", i), Outcome: balance.Unreachable})
		}
		if _, err := d.choose(balance.Request{Service: "s", Route: "r", Objective: time.Hour, Remaining: time.Hour}); err == nil {
			t.Fatal("no target is ejected")
		}
		for i, address := range s.targets {
			target := balance.Target{ID: fmt.Sprint("t", i), Address: address, Zone: "a1"}
			d.connections.paths.recordDial(d.clock.Now(), target, 0, syscall.ECONNREFUSED)
			d.connections.paths.recordTunnel(d.clock.Now(), target, "box1", nil)
		}
		if _, err := d.choose(balance.Request{Service: "s", Route: "r", Objective: time.Hour, Remaining: time.Hour}); err != nil {
			t.Errorf("the box counts as cut off, and its targets as ejected: %v", err)
		}
	})
}

// Guards against boxes of a zone that lose their links together and take the refusals of each other for the targets'
// until their own belief ends that: the farther peers are asked in the background.
func TestFartherPeersAreAskedInTheBackground(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "b1"}, []string{"a1", "a1", "a1"})
		s.sendLoad("before", 40, time.Second)
		for _, d := range s.boxes {
			d.connections.probeDirectly(t.Context(), balance.Target{ID: "t0", Address: s.targets[0], Zone: "a1"})
		}
		time.Sleep(10 * time.Millisecond)
		s.cut(refuseAndClose, 0, 1)
		for i, address := range s.targets {
			target := balance.Target{ID: fmt.Sprint("t", i), Address: address, Zone: "a1"}
			if _, err := s.boxes[0].connections.connect(t.Context(), target, nil); err == nil {
				t.Fatal("the near peer connected, which is cut off too")
			}
		}
		time.Sleep(100 * time.Millisecond)
		if zones := s.boxes[0].connections.paths.cutOffZones(); len(zones) != 1 {
			t.Errorf("cut off from %v, want a1", zones)
		}
	})
}

// Guards against requests that wait, or come back too soon, while all boxes are cut off: they are refused at once as not
// run, with the time until another box may be asked again. Only one in eight asks boxes that don't answer.
func TestRequestsAreRefusedAtOnceWhileAllBoxesAreCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "b1"}, []string{"a1", "a1", "a1"})
		s.sendLoad("before", 40, time.Second)
		s.cut(hangAndClose, 0)
		s.sendLoad("one box", 40, 2*time.Second)
		s.cut(hangAndClose, 1, 2)
		s.kill(1)
		s.kill(2)
		s.sendLoad("all boxes", 40, 3*time.Second)
		refused := 7 // at once since the last one that asked the boxes whose pause had ended
		for i := range 60 {
			began := time.Now()
			w := s.sendOne(t.Context(), 0, fmt.Sprint("refused-", i), http.MethodPost, "/unsafe/")
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			if w.Code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1 {
				t.Errorf("status %d, Retry-After %v", w.Code, after)
			}
			if took := time.Since(began); took <= 10*time.Millisecond {
				refused++
			} else {
				if took > 2*tunnelTimeout || refused < 7 {
					t.Errorf("request %d took %s, %d refused at once since the last one that asked", i, took, refused)
				}
				refused = 0
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.check(t)
	})
}
