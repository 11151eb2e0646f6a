package gateway

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/overload"
)

// overloadControl decides how long requests of saturated services wait, and when callers return.
type overloadControl struct {
	mu         lockorder.Mutex
	controller *overload.Controller
	// refusals counts refusals for lack of slots while the service was saturated.
	refusals *prometheus.CounterVec
}

func newOverloadControl(box string, r *prometheus.Registry) *overloadControl {
	o := &overloadControl{
		controller: overload.New(float64(xxhash.Sum64String(box)>>11) / (1 << 53)),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ledgesill_overload_refusals_total", Help: "Requests refused because their saturated service had no slot for them in time, by why they were to wait less than others and the priority of their route.",
		}, []string{"reason", "priority"}),
	}
	r.MustRegister(o.refusals)
	return o
}

func (o *overloadControl) decide(now time.Time, r overload.Request) overload.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controller.Decide(now, r)
}

// retryAfter counts a refusal and returns when its caller is asked to return.
func (o *overloadControl) retryAfter(now time.Time, service string, expected, remaining, left time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.RecordRefusal(now, service)
	return o.controller.RetryAfter(now, service, expected, remaining, left)
}

func (o *overloadControl) prune(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.Prune(now)
}

// highestPriorities returns the priority of the highest-ranking route of each service; 0 is the
// highest.
func highestPriorities(document catalog.Document) map[string]int {
	out := make(map[string]int)
	for _, h := range document.Hosts {
		for _, r := range h.Routes {
			for _, to := range r.Destinations {
				if known, ok := out[to.Service]; !ok || r.Priority < known {
					out[to.Service] = r.Priority
				}
			}
		}
	}
	return out
}

// admit decides how long the request may wait for a slot of its service.
func (c *callerRequest) admit() overload.Verdict {
	return c.gateway.overload.decide(c.startedAt, overload.Request{
		Route:           c.route.Name,
		Service:         c.service,
		Priority:        c.route.Priority,
		HighestPriority: c.routing.priorities[c.service],
		Workspace:       c.workspaceName(),
		Stated:          min(c.statedTimeout(), c.route.Timeout),
		Objective:       c.route.Objective,
		Load:            c.gateway.serviceLoad(c.service),
	})
}

// serviceLoad returns the mean load of a service's targets, in requests per slot.
func (d *Daemon) serviceLoad(service string) float64 {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.ServiceLoad(service)
}

// retryAfterRefusal returns when the caller of a request for which no target was found is asked to
// return. While the service is saturated, callers return one after the other.
func (c *callerRequest) retryAfterRefusal(none *balance.NoTargetError) time.Duration {
	if !c.admission.Saturated || none.Reason != balance.ReasonFull {
		return none.RetryAfter
	}
	o := c.gateway.overload
	o.refusals.WithLabelValues(c.admission.Reason, strconv.Itoa(c.route.Priority)).Inc()
	now := c.gateway.clock.Now()
	remaining := c.admission.Remaining - now.Sub(c.startedAt)
	return o.retryAfter(now, c.service, none.RetryAfter, remaining, c.deadline.Sub(now))
}

// addAdmission adds what decided how long the request might wait for a slot.
func (c *callerRequest) addAdmission(line *zerolog.Event) *zerolog.Event {
	if c.admission.Age > 0 {
		line = line.Dur("age", c.admission.Age)
	}
	if c.admission.WaitShare != 0 {
		line = line.Float64("waitShare", c.admission.WaitShare)
	}
	if c.admission.Reason != "" {
		line = line.Str("waitReason", c.admission.Reason)
	}
	return line
}
