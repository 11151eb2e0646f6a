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
	// backOffGrace is how long after a rejection requests are not counted, and
	// backOffSlack how many may come between it and the end of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
)

// reads has four callers read for a time; each read must be answered.
func (s *system) reads(length time.Duration) {
	var asking sync.WaitGroup
	for range 4 {
		asking.Go(func() {
			c := s.client("flags")
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
				if a := s.read(c, time.Second); a.Outcome != caller.Ran {
					s.problem("a read got %s, the other targets have room", a.Outcome)
				}
			}
		})
	}
	asking.Wait()
}

// Guards against requests and checks of health that reach a target which has answered 503
// with Retry-After, before that time is over.
func TestTargetGetsNothingWhileItsPoolBacksOff(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.change(&wire.Edit{Path: "/", Key: settings.ReportIntervalMillis, Value: "100"})
		s.reads(time.Second)
		target := s.target("a1").target
		target.SetRetryAfter("3")
		target.SetShedding(true)
		s.reads(4 * time.Second)
		target.SetShedding(false)
		s.reads(4 * time.Second)
		rejections := target.Rejections()
		if len(rejections) == 0 {
			t.Error("the target rejected nothing")
		}
		for _, at := range rejections {
			count := 0
			for _, arrival := range target.Arrivals() {
				if arrival.After(at.Add(backOffGrace)) && arrival.Before(at.Add(3*time.Second)) {
					count++
				}
			}
			if count > backOffSlack {
				t.Errorf("%d requests came in the back-off, at most %d may", count, backOffSlack)
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
			t.Errorf("the target got %d requests in the last 2 s, it could do more", after)
		}
		s.close(4)
		report(t, s)
	})
}

// Guards against requests to a target whose answers say that it leaves, and against its next
// incarnation being left out.
func TestTargetThatLeavesGetsNothingMore(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.reads(time.Second)
		target := s.target("a1").target
		target.SetLeaving(true)
		s.reads(2 * time.Second)
		before := target.Requests()
		s.reads(4 * time.Second)
		if got := target.Requests() - before; got > 0 {
			t.Errorf("%d requests came later than 2 s after it had said so", got)
		}
		target.SetHealthFailing(true) // it ends
		s.reads(3 * time.Second)
		target.SetLeaving(false)
		target.SetHealthFailing(false)
		s.reads(8 * time.Second)
		if got := target.Requests() - before; got < 20 {
			t.Errorf("its next incarnation got %d requests", got)
		}
		s.close(4)
		report(t, s)
	})
}

// Guards against a request that has its slot, and is sent to a target that asked for a
// back-off while the request waited for its connection.
func TestRequestThatWaitsForAConnectionIsNotSent(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	header := http.Header{"Retry-After": {"3"}}
	p.observe("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, time.Time{})
	d := &Daemon{network: link.Network{Dial: func(context.Context, string) (net.Conn, error) {
		near, _ := net.Pipe()
		return near, nil
	}}}
	ctx := context.WithValue(t.Context(), slotKey{}, &slot{pool: p, target: "t"})
	var backedOff *BackedOffError
	if _, err := d.dialForSlot(ctx, "tcp", "a"); !errors.As(err, &backedOff) || backedOff.Target != "t" {
		t.Errorf("got %v", err)
	}
	if _, _, result := failedAttempt(ctx, backedOff, false); result != admission.Canceled {
		t.Errorf("counts as %v", result)
	}
	ctx = context.WithValue(t.Context(), slotKey{}, &slot{pool: p, target: "other"})
	if _, err := d.dialForSlot(ctx, "tcp", "a"); err != nil {
		t.Error(err)
	}
}

// Guards against answers to checks of health whose headers nobody reads, and against one
// without a limit that takes a limit back.
func TestChecksOfHealthAreRead(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	p.limited.Store(true)
	p.observeHealth("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, time.Time{})
	if n := len(p.inbox); n > 0 {
		t.Errorf("%d events of an answer that says nothing", n)
	}
	p.observeHealth("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{caller.HeaderLeaving: {"1"}}}, time.Now())
	if u := (<-p.inbox).(poolEvent).event.(admission.TargetUpdate).Update; !u.Leaving || !u.Sent.IsZero() {
		t.Errorf("the pool is told %+v", u)
	}
	p.observeHealth("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"2"}}}, time.Now())
	if b := (<-p.inbox).(poolEvent).event.(admission.BackOff); b.Wait != 2*time.Second {
		t.Errorf("the pool is told %+v", b)
	}
}

// Guards against headers of a target that can't be read and leave no trace.
func TestUnreadHeadersAreReported(t *testing.T) {
	p := newPool("s", "box", "i", 1)
	var got []string
	p.unread = func(_ string, headers []string) { got = append(got, headers...) }
	header := http.Header{"Retry-After": {"soon"}, caller.HeaderLimit: {"many"}}
	p.observe("t", &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header}, time.Time{})
	p.observeHealth("t", &http.Response{StatusCode: http.StatusOK, Header: http.Header{caller.HeaderLeaving: {"x"}}}, time.Time{})
	if want := []string{caller.HeaderLimit, "Retry-After", caller.HeaderLeaving}; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}
