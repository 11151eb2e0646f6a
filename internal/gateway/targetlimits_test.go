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

// Guards against a rate-limited target that gets more than its limit from all boxes together while no
// control replica can be reached.
func TestLimitHoldsWithoutControl(t *testing.T) {
	for _, boxes := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				const limit = 5.6
				s := newTestCluster(t, boxes, 4)
				s.control.setDown(true, s.control.addresses()...)
				s.sendLoad(80, 2*time.Second)
				s.targets[0].setLimit("5.6")
				reportedAt := time.Now()
				s.sendLoad(80, 12*time.Second)
				s.waitForResponses()
				if got := s.targets[0].maxInWindow(reportedAt.Add(limitWindow)); got > maxAllowedInWindow(limit) {
					t.Errorf("a target with a limit of %v per second got %d requests in %s from boxes that knew it, allowed %d", limit, got, limitWindow, maxAllowedInWindow(limit))
				}
				if got := s.targets[0].countBetween(reportedAt.Add(time.Second), time.Now()); float64(got) < 0.1*limit*11 {
					t.Errorf("got only %d requests in 11 s", got)
				}
				if s.refused > 0 {
					t.Errorf("%d of %d requests were refused although the other targets have capacity for all", s.refused, s.sent)
				}
			})
		})
	}
}

// A rate-limited target must get as many requests as its limit allows, and no more. The others are
// served by other targets.
func TestTargetGetsItsLimit(t *testing.T) {
	for _, boxes := range []int{1, 9, 30, 150, 300} {
		for _, limit := range []float64{0, 1.5, 5.6, 9.6} {
			t.Run(fmt.Sprint(boxes, " boxes, ", limit), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					s := newTestCluster(t, boxes, 4)
					s.sendLoad(80, 2*time.Second)
					s.targets[0].setLimit(fmt.Sprint(limit))
					reportedAt := time.Now()
					s.sendLoad(80, 4*time.Second)
					from := time.Now()
					s.sendLoad(80, 10*time.Second)
					used := float64(s.targets[0].countBetween(from, time.Now())) / time.Since(from).Seconds()
					s.waitForResponses()
					if got := s.targets[0].maxInWindow(reportedAt.Add(limitWindow)); got > maxAllowedInWindow(limit) {
						t.Errorf("got %d requests in %s, allowed %d", got, limitWindow, maxAllowedInWindow(limit))
					}
					if got := s.targets[0].maxPerSecond(from); float64(got) > 2*limit+limitSlack {
						t.Errorf("got %d requests in one second with a limit of %v", got, limit)
					}
					if used < 0.9*limit {
						t.Errorf("got %v requests per second with a limit of %v", used, limit)
					}
					if s.refused > 0 {
						t.Errorf("%d of %d requests were refused although the other targets have capacity for all", s.refused, s.sent)
					}
					t.Logf("used %v of %v, %d permit calls, at most %d of %d in a window", used, limit, s.control.calls, s.targets[0].maxInWindow(reportedAt.Add(limitWindow)), maxAllowedInWindow(limit))
				})
			})
		}
	}
}

// wantWithinLimit checks the requests of a target in each window that ends at from or later.
func (s *testCluster) wantWithinLimit(t *testing.T, target int, limit float64, from time.Time) {
	t.Helper()
	if got := s.targets[target].maxInWindow(from); got > maxAllowedInWindow(limit) {
		t.Errorf("target %d with a limit of %v per second got %d requests in %s, allowed %d", target, limit, got, limitWindow, maxAllowedInWindow(limit))
	}
}

// A limit holds while it is lowered and raised. After it is withdrawn the target must get about as
// many requests as the others.
func TestLimitHoldsWhileItChanges(t *testing.T) {
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
						t.Errorf("got %v requests per second with a limit of %v", used, limit)
					}
				}
				s.targets[0].setLimit("")
				s.sendLoad(80, 2*time.Second)
				from := time.Now()
				s.sendLoad(80, 4*time.Second)
				if used := float64(s.targets[0].countBetween(from, time.Now())) / 4; used < 15 {
					t.Errorf("got %v requests per second after the limit was withdrawn, the others about 20", used)
				}
				s.waitForResponses()
				if s.refused > 0 {
					t.Errorf("%d requests were refused", s.refused)
				}
			})
		})
	}
}

// If all targets of a service are rate-limited, the service gets the sum of their limits. Further
// requests are refused at once, with Retry-After times that are spread out.
func TestServiceGetsSumOfTargetLimits(t *testing.T) {
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
					t.Errorf("the service got %v requests per second with a limit of %v", perSecond, 4*limit)
				}
				if len(s.retryAfters) < 300 {
					t.Errorf("%d different Retry-After values for about 640 refusals", len(s.retryAfters))
				}
				if s.slowestRefusal > 4*controlLatency+targetPermitWait {
					t.Errorf("a refusal took %s", s.slowestRefusal)
				}
			})
		})
	}
}

// The limit holds while replicas are unreachable, restart without state, or both.
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
			t.Errorf("%d requests were refused although the other targets have capacity for all", s.refused)
		}
	})
}

// A box that is suspended repeatedly, alone, uses no permits from before the suspension, and takes
// nothing from what the other boxes may send.
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
			t.Errorf("got %v requests per second with a limit of %v", used, limit)
		}
		for i, d := range s.boxes {
			if lost := d.clock.Suspended(); (lost > 0) != (i < 3) {
				t.Errorf("box %d counts a suspension of %s", i, lost)
			}
		}
	})
}

// While a rate-limited target is throttled, each of its objects has one other home target, and
// returns to it once the limit is withdrawn. Other objects stay.
func TestKeysOfThrottledTargetMoveToOneOtherTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 8)
		homes := func() map[string]string {
			out := make(map[string]string)
			for i := range 40 {
				key := fmt.Sprint("object", i)
				choice, err := s.boxes[0].choose(balance.Request{Service: "s", Route: "r", AffinityKey: key, Objective: time.Second, Remaining: time.Second})
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
		_, _ = s.boxes[0].choose(balance.Request{Service: "s", Route: "r", AffinityKey: "any", Objective: time.Second, Remaining: time.Second})
		s.boxes[0].balancing.balancer.ThrottleUntil(now, "t0", now.Add(time.Second))
		during := homes()
		for key, home := range during {
			if home == "t0" || before[key] != "t0" && home != before[key] {
				t.Errorf("%s, whose home target is %s, goes to %s while t0 is throttled", key, before[key], home)
			}
		}
		s.boxes[0].balancing.balancer.SetLimited("t0", false)
		if after := homes(); !maps.Equal(after, before) {
			t.Error("objects did not return to their home targets")
		}
	})
}

// A request with an affinity key goes from its rate-limited home target to one without a limit,
// never to another rate-limited one.
func TestAffinityRequestSkipsOnlyItsHomeTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 4)
		d := s.boxes[0]
		now := d.clock.Now()
		for i := range s.targets {
			update := targetstatus.Update{Incarnation: fmt.Sprint("t", i), Limit: 1, Sent: now, Received: now}
			if c, changed := d.targetLimits.recordResponse(update); changed {
				d.applyChange(c, "")
			}
		}
		s.send(d, 1)
		if passed := s.skippedLimited(t); passed != 1 || s.refused != 1 {
			t.Errorf("%v targets were skipped and %d requests refused, want 1 and 1", passed, s.refused)
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
