package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// backOffGrace is how long after a rejection requests are not counted, and
	// backOffSlack how many may come between it and the end of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
	// leavingGrace is how long requests may come after an answer that says that the target
	// leaves.
	leavingGrace = 2 * time.Second
)

// rejection is a 503 of a target.
type rejection struct {
	// retryAfter is its Retry-After, empty for none; lasts is what that says.
	retryAfter string
	lasts      time.Duration
	// notRun tells that it has the header that says that the request did not run.
	notRun bool
}

// backOff is what a target asked of a box.
type backOff struct {
	box   int
	at    time.Time
	lasts time.Duration
}

// rejectWith has the target reject requests, or serve them again for nil.
func (n *recordingTarget) rejectWith(r *rejection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeRejection = r
}

// reject answers a request by the rejection in force, if there is one.
func (n *recordingTarget) reject(box int, r *http.Request, c net.Conn) bool {
	n.mu.Lock()
	with := n.activeRejection
	if with == nil {
		n.mu.Unlock()
		return false
	}
	if with.lasts > 0 {
		n.backOffs = append(n.backOffs, backOff{box: box, at: time.Now(), lasts: with.lasts})
	}
	n.mu.Unlock()
	extra := ""
	if with.notRun {
		extra += "Test-Not-Executed: 1\r\n"
	}
	if with.retryAfter != "" {
		extra += "Retry-After: " + with.retryAfter + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nTest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"), extra)
	return true
}

// setLeaving has the target's answers say that it leaves.
func (n *recordingTarget) setLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
}

// announceLeaving returns the header line of a target that leaves.
func (n *recordingTarget) announceLeaving(box int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		return ""
	}
	if _, told := n.leavingAnnouncedAt[box]; !told {
		n.leavingAnnouncedAt[box] = time.Now()
	}
	return leavingHeader + ": 1\r\n"
}

// maxInBackOff returns the most requests that one box sent in the back-off of one
// rejection.
func (n *recordingTarget) maxInBackOff() (most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.backOffs {
		count := 0
		for _, a := range n.arrivals {
			if a.box == b.box && a.at.After(b.at.Add(backOffGrace)) && a.at.Before(b.at.Add(b.lasts)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// countAfterLeaving counts the requests of boxes that came too late after these were told that
// the target leaves.
func (n *recordingTarget) countAfterLeaving() (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if told, ok := n.leavingAnnouncedAt[a.box]; ok && a.at.Sub(told) > leavingGrace {
			count++
		}
	}
	return count
}

func (s *testCluster) wantBackOffs(t *testing.T) {
	t.Helper()
	for i, target := range s.targets {
		if got := target.maxInBackOff(); got > backOffSlack {
			t.Errorf("target %d got %d requests of a box that it had asked to back off, at most %d may come", i, got, backOffSlack)
		}
	}
}

// Guards against requests to a target that answered this box 503 with Retry-After, before
// that time is over.
func TestTargetGetsNothingWhileABoxBacksOff(t *testing.T) {
	for _, boxes := range []int{1, 9, 30, 150} {
		for _, targets := range []int{1, 2, 4} {
			for _, notRun := range []bool{true, false} {
				t.Run(fmt.Sprint(boxes, " boxes, ", targets, " targets, not run ", notRun), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						s := newTestCluster(t, boxes, 4)
						s.sendLoad(80, 2*time.Second)
						for _, target := range s.targets[:targets] {
							target.rejectWith(&rejection{retryAfter: "3", lasts: 3 * time.Second, notRun: notRun})
						}
						s.sendLoad(80, 3*time.Second)
						for _, target := range s.targets {
							target.rejectWith(nil)
						}
						s.sendLoad(80, 6*time.Second)
						s.waitForResponses()
						s.wantBackOffs(t)
					})
				})
			}
		}
	}
}

// Guards against a request that was chosen for a target before it asked for a back-off, and
// is sent after, when it has its connection.
func TestRequestThatWaitsForAConnectionIsSentElsewhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		d := s.boxes[0]
		dial := d.connections.dial
		d.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(200 * time.Millisecond)
			return dial(ctx, network, address)
		}
		for range 4 {
			s.sent++
			go s.send(d, s.sent)
		}
		time.Sleep(100 * time.Millisecond)
		d.balancing.Lock()
		d.balancing.balancer.BackOff(d.clock.Now(), "t0", targetstatus.Status{BackOff: 3 * time.Second})
		d.balancing.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got := s.targets[0].countBetween(time.Time{}, time.Now()); got > 0 {
			t.Errorf("%d requests were sent", got)
		}
		if s.served != 4 {
			t.Errorf("%d of 4 requests were served", s.served)
		}
	})
}

// Guards against a box that backs off by a clock that stands while the machine is suspended.
func TestBackOffEndsWhileTheBoxIsSuspended(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		d := s.boxes[0]
		s.sendLoad(80, time.Second)
		s.targets[0].rejectWith(&rejection{retryAfter: "60", lasts: time.Minute, notRun: true})
		s.sendLoad(80, time.Second)
		s.targets[0].rejectWith(nil)
		s.sendLoad(80, time.Second)
		if d.backedOffTargets() != 1 {
			t.Fatalf("%v targets are backed off", d.backedOffTargets())
		}
		s.suspended[0].Add(int64(70 * time.Second))
		from := time.Now()
		s.sendLoad(80, 3*time.Second)
		if got := s.targets[0].countBetween(from, time.Now()); got < 20 {
			t.Errorf("got %d requests after the end of its back-off", got)
		}
	})
}

// Guards against requests that wait or are sent in vain where all targets are backed off:
// they are refused at once, with the end of the first back-off.
func TestRequestIsRefusedAtOnceWhereAllTargetsAreBackedOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		for i := range s.targets {
			s.boxes[0].balancing.balancer.BackOff(s.boxes[0].clock.Now(), fmt.Sprint("t", i), targetstatus.Status{BackOff: 30 * time.Second})
		}
		s.send(s.boxes[0], 1)
		if s.refused != 1 || s.slowestRefusal > 0 {
			t.Errorf("%d refused, after %s", s.refused, s.slowestRefusal)
		}
		for told := range s.retryAfters {
			if seconds, err := strconv.ParseFloat(told, 64); err != nil || seconds < 30 || seconds > 32 {
				t.Errorf("told to come back after %q s", told)
			}
		}
	})
}

// Guards against a request that is given up as if it had failed to connect so often: what
// was not sent because of back-offs is no failed connection.
func TestWithdrawnAttemptsAreNoFailedConnections(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, maxDials+3)
		d := s.boxes[0]
		dial := d.connections.dial
		d.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address != "0" {
				d.balancing.Lock()
				d.balancing.balancer.BackOff(d.clock.Now(), "t"+address, targetstatus.Status{BackOff: time.Minute})
				d.balancing.Unlock()
			}
			return dial(ctx, network, address)
		}
		s.send(d, 1)
		if s.served != 1 {
			t.Error("the request was refused, a target has room")
		}
	})
}
