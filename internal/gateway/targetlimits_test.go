package gateway

import (
	"fmt"
	"maps"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against a rate-limited target that gets more than it names from all boxes together.
// The sum over all boxes keeps to what a target names, for as long as it does, also where
// no control replica can be asked.
func TestTargetGetsNoMoreThanItNames(t *testing.T) {
	for _, boxes := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				const limit = 5.6
				s := newTestCluster(t, boxes, 4)
				s.control.setDown(true, s.control.addresses()...)
				s.sendLoad(80, 2*time.Second)
				s.targets[0].setLimit("5.6")
				named := time.Now()
				s.sendLoad(80, 12*time.Second)
				s.waitForResponses()
				if got := s.targets[0].maxInWindow(named.Add(limitWindow)); got > allowedInWindow(limit) {
					t.Errorf("a target that names %v a second got %d requests in %s from boxes that it had told, allowed %d", limit, got, limitWindow, allowedInWindow(limit))
				}
				if got := s.targets[0].countBetween(named.Add(time.Second), time.Now()); float64(got) < 0.1*limit*11 {
					t.Errorf("got %d requests in 11 s, it could do more", got)
				}
				if s.refused > 0 {
					t.Errorf("%d of %d requests were refused, the other targets have room for all", s.refused, s.sent)
				}
			})
		})
	}
}

// A rate-limited target gets what it names, or what is asked of it if that is less, and its
// requests are served elsewhere beyond.
func TestTargetGetsWhatItNames(t *testing.T) {
	for _, boxes := range []int{1, 9, 30, 150, 300} {
		for _, limit := range []float64{0, 1.5, 5.6, 9.6} {
			t.Run(fmt.Sprint(boxes, " boxes, ", limit), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					s := newTestCluster(t, boxes, 4)
					s.sendLoad(80, 2*time.Second)
					s.targets[0].setLimit(fmt.Sprint(limit))
					named := time.Now()
					s.sendLoad(80, 4*time.Second)
					from := time.Now()
					s.sendLoad(80, 10*time.Second)
					used := float64(s.targets[0].countBetween(from, time.Now())) / time.Since(from).Seconds()
					s.waitForResponses()
					if got := s.targets[0].maxInWindow(named.Add(limitWindow)); got > allowedInWindow(limit) {
						t.Errorf("got %d requests in %s, allowed %d", got, limitWindow, allowedInWindow(limit))
					}
					if got := s.targets[0].maxPerSecond(from); float64(got) > 2*limit+limitSlack {
						t.Errorf("got %d requests in a second with a limit of %v", got, limit)
					}
					if used < 0.9*limit {
						t.Errorf("got %v requests a second of %v", used, limit)
					}
					if s.refused > 0 {
						t.Errorf("%d of %d requests were refused, the other targets have room for all", s.refused, s.sent)
					}
					t.Logf("used %v of %v, %d asks, most %d of %d", used, limit, s.control.calls, s.targets[0].maxInWindow(named.Add(limitWindow)), allowedInWindow(limit))
				})
			})
		}
	}
}

// wantWithinLimit checks what a target got in each window that ends at from or later.
func (s *testCluster) wantWithinLimit(t *testing.T, target int, limit float64, from time.Time) {
	t.Helper()
	if got := s.targets[target].maxInWindow(from); got > allowedInWindow(limit) {
		t.Errorf("target %d, which names %v a second, got %d requests in %s, allowed %d", target, limit, got, limitWindow, allowedInWindow(limit))
	}
}

// A limit holds as it changes: lowered, raised, and until it is taken back, after which the
// target gets what the others do.
func TestLimitThatChanges(t *testing.T) {
	for _, boxes := range []int{1, 9, 60} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newTestCluster(t, boxes, 4)
				s.sendLoad(80, time.Second)
				for _, limit := range []float64{10, 2, 7} {
					s.targets[0].setLimit(fmt.Sprint(limit))
					from := time.Now().Add(limitWindow)
					s.sendLoad(80, 10*time.Second)
					used := float64(s.targets[0].countBetween(from, time.Now())) / time.Since(from).Seconds()
					if used < 0.9*limit || used > 1.1*limit {
						t.Errorf("got %v requests a second of %v", used, limit)
					}
				}
				s.targets[0].setLimit("")
				s.sendLoad(80, 2*time.Second)
				from := time.Now()
				s.sendLoad(80, 4*time.Second)
				if used := float64(s.targets[0].countBetween(from, time.Now())) / 4; used < 15 {
					t.Errorf("got %v requests a second after the limit was taken back, the others some 20", used)
				}
				s.waitForResponses()
				if s.refused > 0 {
					t.Errorf("%d requests were refused", s.refused)
				}
			})
		})
	}
}

// Where all targets of a service name limits, their sum is what it gets; what is beyond is
// refused at once, with times to come back that are apart.
func TestServiceOfLimitedTargets(t *testing.T) {
	for _, boxes := range []int{1, 9, 60} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				const limit = 4.0
				s := newTestCluster(t, boxes, 4)
				s.sendLoad(80, time.Second)
				for _, target := range s.targets {
					target.setLimit(fmt.Sprint(limit))
				}
				from := time.Now().Add(limitWindow)
				s.sendLoad(80, limitWindow)
				s.mu.Lock()
				clear(s.retryAfters)
				s.mu.Unlock()
				s.sendLoad(80, 10*time.Second)
				used, length := 0, time.Since(from).Seconds()
				for i := range s.targets {
					used += s.targets[i].countBetween(from, time.Now())
					s.wantWithinLimit(t, i, limit, from)
				}
				s.waitForResponses()
				if perSecond := float64(used) / length; perSecond < 0.9*4*limit {
					t.Errorf("the service got %v requests a second of %v", perSecond, 4*limit)
				}
				if len(s.retryAfters) < 300 {
					t.Errorf("%d times to come back for some 640 refused callers", len(s.retryAfters))
				}
				if s.slowestRefusal > 4*controlLatency+targetPermitWait {
					t.Errorf("a refusal took %s", s.slowestRefusal)
				}
			})
		})
	}
}

// Without control the sum still holds: replicas that end and begin anew without memory, and
// boxes that do, add nothing.
func TestLimitHoldsThroughRestarts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const limit = 5.6
		s := newTestCluster(t, 9, 4)
		s.sendLoad(80, time.Second)
		s.targets[0].setLimit(fmt.Sprint(limit))
		from := time.Now().Add(limitWindow)
		all := s.control.addresses()
		for i := range 24 {
			s.sendLoad(80, time.Second)
			name := all[i%len(all)]
			switch i % 4 {
			case 0:
				s.control.setDown(true, name)
			case 1:
				s.control.setDown(true, all...)
			case 2:
				s.control.mu.Lock()
				s.control.start(name, all)
				s.control.mu.Unlock()
			case 3:
				s.control.setDown(false, all...)
			}
		}
		s.waitForResponses()
		s.wantWithinLimit(t, 0, limit, from)
		if s.refused > 0 {
			t.Errorf("%d requests were refused, the other targets have room for all", s.refused)
		}
	})
}

// A box that alone is suspended, again and again, uses no permit of before, and takes nothing
// from what the others may send.
func TestLimitHoldsWhileSingleBoxesAreSuspended(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const limit = 9.6
		s := newTestCluster(t, 9, 4)
		s.sendLoad(80, time.Second)
		s.targets[0].setLimit(fmt.Sprint(limit))
		from := time.Now().Add(limitWindow)
		for i := range 40 {
			s.sendLoad(80, 350*time.Millisecond)
			s.suspended[i%3].Add(int64(2 * time.Second))
		}
		used := float64(s.targets[0].countBetween(from, time.Now())) / time.Since(from).Seconds()
		s.waitForResponses()
		s.wantWithinLimit(t, 0, limit, from)
		if used < 0.9*limit {
			t.Errorf("got %v requests a second of %v", used, limit)
		}
		for i, d := range s.boxes {
			if lost := d.clock.Suspended(); (lost > 0) != (i < 3) {
				t.Errorf("box %d counts %s", i, lost)
			}
		}
	})
}

// The other targets serve what a rate-limited target is kept from, and its own objects go back
// once it names no limit: they have one home each time.
func TestObjectsOfALimitedTargetHaveASecondHome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 8)
		homes := func() map[string]string {
			out := make(map[string]string)
			for i := range 40 {
				key := fmt.Sprint("object", i)
				choice, err := s.boxes[0].choose(balance.Request{Service: "s", Route: "r", Key: key, Objective: time.Second, Left: time.Second})
				if err != nil {
					t.Fatal(err)
				}
				out[key] = choice.Target.ID
				s.boxes[0].recordOutcome(balance.Report{TargetID: choice.Target.ID, Route: "r", Outcome: balance.Answered, Took: time.Millisecond})
			}
			return out
		}
		before := homes()
		now := time.Now()
		s.boxes[0].balancing.balancer.SetLimited("t0", true)
		_, _ = s.boxes[0].choose(balance.Request{Service: "s", Route: "r", Key: "any", Objective: time.Second, Left: time.Second})
		s.boxes[0].balancing.balancer.ThrottleUntil(now, "t0", now.Add(time.Second))
		during := homes()
		for key, home := range during {
			if home == "t0" || before[key] != "t0" && home != before[key] {
				t.Errorf("%s, at home at %s, is at %s while t0 is throttled", key, before[key], home)
			}
		}
		s.boxes[0].balancing.balancer.SetLimited("t0", false)
		if after := homes(); !maps.Equal(after, before) {
			t.Error("objects are not back at home")
		}
	})
}

// A request about an object goes from its rate-limited home to a target without a limit, never to
// another rate-limited one.
func TestObjectIsKeptFromItsHomeAlone(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 4)
		d := s.boxes[0]
		now := d.clock.Now()
		for i := range s.targets {
			word := targetstatus.Update{Incarnation: fmt.Sprint("t", i), Limit: 1, Sent: now, Received: now}
			if c, changed := d.targetLimits.recordResponse(word); changed {
				d.applyChange(c, "")
			}
		}
		s.send(d, 1)
		if passed := s.skippedLimited(t); passed != 1 || s.refused != 1 {
			t.Errorf("%v targets were passed over, %d requests refused", passed, s.refused)
		}
	})
}

func (s *testCluster) skippedLimited(t *testing.T) float64 {
	t.Helper()
	m := &dto.Metric{}
	if err := s.boxes[0].metrics.skippedLimited.Write(m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}
