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
	// backOffGrace is the time after a rejection in which requests are not counted, and
	// backOffSlack how many are allowed between then and the end of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
	// leavingGrace is how long requests are allowed after a response that reports that the target
	// is shutting down.
	leavingGrace = 2 * time.Second
)

// rejection is a 503 response of a target.
type rejection struct {
	// retryAfter is its Retry-After header, empty for none; lasts is the duration that the header
	// states.
	retryAfter string
	lasts      time.Duration
	// notRun tells that the response has the header that says that the request did not run.
	notRun bool
}

// backOff is a back-off that a target asked of a box.
type backOff struct {
	box   int
	at    time.Time
	lasts time.Duration
}

// rejectWith makes the target reject requests, or serve them again if r is nil.
func (n *recordingTarget) rejectWith(r *rejection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeRejection = r
}

// reject rejects a request if there is an active rejection.
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

// setLeaving sets whether the target's responses report that it is shutting down.
func (n *recordingTarget) setLeaving(leaving bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = leaving
}

// announceLeaving returns the header line that reports that the target is shutting down.
func (n *recordingTarget) announceLeaving(box int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		return ""
	}
	if _, known := n.leavingAnnouncedAt[box]; !known {
		n.leavingAnnouncedAt[box] = time.Now()
	}
	return leavingHeader + ": 1\r\n"
}

// maxInBackOff returns the most requests that one box sent during one back-off.
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

// countAfterLeaving counts the requests of boxes that came later than leavingGrace after the target
// had reported to them that it is shutting down.
func (n *recordingTarget) countAfterLeaving() (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if announced, ok := n.leavingAnnouncedAt[a.box]; ok && a.at.Sub(announced) > leavingGrace {
			count++
		}
	}
	return count
}

func (s *testCluster) wantBackOffs(t *testing.T) {
	t.Helper()
	for i, target := range s.targets {
		if got := target.maxInBackOff(); got > backOffSlack {
			t.Errorf("target %d got %d requests from a box that it had asked to back off, want at most %d", i, got, backOffSlack)
		}
	}
}

// Guards against requests to a target that responded to this box with 503 and Retry-After, before
// that time has passed.
func TestNoRequestsDuringBackOff(t *testing.T) {
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

// Guards against sending a request to a target that asked for a back-off while the request waited
// for its connection. It must go to another target.
func TestBackOffWhileConnecting(t *testing.T) {
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
			t.Errorf("the backed-off target got %d requests", got)
		}
		if s.served != 4 {
			t.Errorf("%d of 4 requests were served", s.served)
		}
	})
}

// Guards against back-offs timed by a clock that stops while the machine is suspended.
func TestBackOffExpiresDuringSuspension(t *testing.T) {
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

// Guards against requests that wait, or are sent in vain, while all targets are backed off. They
// must be refused at once, with the end of the first back-off as Retry-After.
func TestRequestIsRefusedWhenAllTargetsAreBackedOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		for i := range s.targets {
			s.boxes[0].balancing.balancer.BackOff(s.boxes[0].clock.Now(), fmt.Sprint("t", i), targetstatus.Status{BackOff: 30 * time.Second})
		}
		s.send(s.boxes[0], 1)
		if s.refused != 1 || s.slowestRefusal > 0 {
			t.Errorf("%d requests were refused, the slowest after %s; want 1 at once", s.refused, s.slowestRefusal)
		}
		for retryAfter := range s.retryAfters {
			if seconds, err := strconv.ParseFloat(retryAfter, 64); err != nil || seconds < 30 || seconds > 32 {
				t.Errorf("got Retry-After %q, want 30 to 32 s", retryAfter)
			}
		}
	})
}

// Guards against counting attempts that were not sent because of back-offs as failed connections:
// the request would give up after maxDials of them.
func TestBackedOffAttemptsAreNotCountedAsFailedDials(t *testing.T) {
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
			t.Error("the request was refused although a target has free slots")
		}
	})
}
