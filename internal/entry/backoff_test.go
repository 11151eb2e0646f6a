package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// Requests that arrive within backOffGrace after a rejection are not counted. At most
	// backOffSlack requests may arrive between then and the end of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
)

// readFor has four callers send reads for a duration. Each read must be answered.
func (s *system) readFor(length time.Duration) {
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			c := s.client("flags")
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
				if a := s.read(c, time.Second); a.Outcome != caller.Ran {
					s.addProblem("outcome of a read is %s, although other targets have capacity", a.Outcome)
				}
			}
		})
	}
	readers.Wait()
}

// Guards against requests and health checks that reach a target before the Retry-After of its
// 503 response has passed.
func TestNoRequestsDuringBackOff(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.change(&wire.Edit{Path: "/", Key: settings.ReportIntervalMillis, Value: "100"})
		s.readFor(time.Second)
		target := s.target("a1").target
		target.SetRetryAfter("3")
		target.SetShedding(true)
		s.readFor(4 * time.Second)
		target.SetShedding(false)
		s.readFor(4 * time.Second)
		rejections := target.Rejections()
		if len(rejections) == 0 {
			t.Error("the target rejected no request")
		}
		for _, at := range rejections {
			count := 0
			for _, arrival := range target.Arrivals() {
				if arrival.After(at.Add(backOffGrace)) && arrival.Before(at.Add(3*time.Second)) {
					count++
				}
			}
			if count > backOffSlack {
				t.Errorf("%d requests arrived during the back-off, want at most %d", count, backOffSlack)
				break
			}
		}
		after := 0
		for _, at := range target.Arrivals() {
			if time.Since(at) < 2*time.Second {
				after++
			}
		}
		if after < 20 {
			t.Errorf("the target got %d requests in the last 2 s, want at least 20", after)
		}
		s.close(4)
		reportProblems(t, s)
	})
}

// Guards against requests to a target whose responses report that it is leaving, and against
// excluding its next incarnation.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.readFor(time.Second)
		target := s.target("a1").target
		target.SetLeaving(true)
		s.readFor(2 * time.Second)
		before := target.Requests()
		s.readFor(4 * time.Second)
		if got := target.Requests() - before; got > 0 {
			t.Errorf("%d requests arrived more than 2 s after the target reported that it is leaving", got)
		}
		target.SetHealthFailing(true) // the target stops
		s.readFor(3 * time.Second)
		target.SetLeaving(false)
		target.SetHealthFailing(false)
		s.readFor(8 * time.Second)
		if got := target.Requests() - before; got < 20 {
			t.Errorf("the next incarnation got %d requests, want at least 20", got)
		}
		s.close(4)
		reportProblems(t, s)
	})
}

// Guards against sending a request that already has a slot to a target that asked for a
// back-off while the connection was being established.
func TestBackOffWhileConnectingPreventsSending(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	header := http.Header{"Retry-After": {"3"}}
	p.recordStatus("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, time.Time{})
	d := &Daemon{network: link.Network{Dial: func(context.Context, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}}}
	ctx := context.WithValue(t.Context(), slotKey{}, &slot{pool: p, target: "t"})
	var backedOff *BackedOffError
	if _, err := d.dialForSlot(ctx, "tcp", "a"); !errors.As(err, &backedOff) || backedOff.Target != "t" {
		t.Errorf("dialing returned %v, want a BackedOffError for t", err)
	}
	if _, _, result := classifyFailure(ctx, backedOff, false); result != admission.Canceled {
		t.Errorf("result is %v, want Canceled", result)
	}
	ctx = context.WithValue(t.Context(), slotKey{}, &slot{pool: p, target: "other"})
	if _, err := d.dialForSlot(ctx, "tcp", "a"); err != nil {
		t.Error(err)
	}
}

// Guards against ignoring the headers of health check responses, and against withdrawing a
// limit because a health check response has none.
func TestHealthCheckHeadersAreRead(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	p.hasLimitedTarget.Store(true)
	p.recordHealthStatus("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, time.Time{})
	if n := len(p.inbox); n > 0 {
		t.Errorf("%d events for a response without status headers, want none", n)
	}
	p.recordHealthStatus("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{caller.HeaderLeaving: {"1"}}}, time.Now())
	if u := (<-p.inbox).(poolEvent).event.(admission.TargetUpdate).Update; !u.Leaving || !u.Sent.IsZero() {
		t.Errorf("update is %+v, want Leaving without a limit", u)
	}
	p.recordHealthStatus("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"2"}}}, time.Now())
	if b := (<-p.inbox).(poolEvent).event.(admission.BackOff); b.Wait != 2*time.Second {
		t.Errorf("back-off is %+v, want 2 s", b)
	}
}

// Guards against silently ignoring headers that can't be parsed.
func TestUnparsedHeadersAreReported(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	var got []string
	p.onUnparsed = func(_ string, headers []string) { got = append(got, headers...) }
	header := http.Header{"Retry-After": {"soon"}, caller.HeaderLimit: {"many"}}
	p.recordStatus("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, time.Time{})
	p.recordHealthStatus("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{caller.HeaderLeaving: {"x"}}}, time.Time{})
	if want := []string{caller.HeaderLimit, "Retry-After", caller.HeaderLeaving}; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}
