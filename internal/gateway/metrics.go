package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ledgesill.dev/ledgesill/pkg/balance"
)

// metrics count the requests and their outcomes.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	hedges   prometheus.Counter
	// secondAttempts counts the hedged attempts that a learned run time called for, by result.
	secondAttempts *prometheus.CounterVec
	connections    prometheus.Counter
	// dials counts connection attempts by the availability zone of the target and the result.
	dials *prometheus.CounterVec
	// hedgedConnects counts connection attempts through another box beside one that took long,
	// suppressedConnects those that the budget held back, both by zone, and hedgeDelay is the time
	// after which one is due there.
	hedgedConnects     *prometheus.CounterVec
	suppressedConnects *prometheus.CounterVec
	hedgeDelay         *prometheus.GaugeVec
	// tunnels counts attempts to connect through other boxes, tunnelRequests the requests of other
	// boxes, both by result.
	tunnels        *prometheus.CounterVec
	tunnelRequests *prometheus.CounterVec
	permitCalls    *prometheus.CounterVec
	// targetProbes, crashedRuns and quarantined are about requests that crash their targets.
	targetProbes *prometheus.CounterVec
	crashedRuns  prometheus.Counter
	quarantined  prometheus.Gauge
	// targetLimits, targetPermits and skippedLimited are about rate-limited targets.
	targetLimits   prometheus.Gauge
	targetPermits  prometheus.Counter
	skippedLimited prometheus.Counter
	// backOffs and backOffSkips are about targets that ask this box to back off.
	backOffs     prometheus.Counter
	backOffSkips prometheus.Counter
	// targetsLeaving counts targets that reported in a response that they are shutting down.
	targetsLeaving prometheus.Counter
	// localShare is the share of a service's objects whose home is in the box's own region, and
	// placements counts requests by whether they run in that region.
	localShare *prometheus.GaugeVec
	placements *prometheus.CounterVec
	// pipelined counts requests that arrived behind another of their connection, by whether they
	// started early or why not.
	pipelined *prometheus.CounterVec
	// lateUploads counts requests whose body was still being sent when the response was complete, by
	// whether their target got all of it.
	lateUploads *prometheus.CounterVec
}

// latencyBuckets are in seconds; the objectives of the users' routes lie between 0.3 and 0.6.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 4}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ledgesill_requests_total", Help: "Requests of callers by class of the answer's status and reason of the box.",
		}, []string{"status", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ledgesill_request_seconds", Help: "Time from a request's header to its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ledgesill_attempts_total", Help: "Requests sent to targets by outcome.",
		}, []string{"outcome"}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ledgesill_attempts_beside_total", Help: "Requests sent to a further target beside one whose answer was overdue.",
		}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ledgesill_target_connections_total", Help: "Connections opened to targets.",
		}),
	}
	m.localShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "ledgesill_local_share", Help: "Share of a service's objects whose home target is in the box's own region.",
	}, []string{"service"})
	m.placements = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_placements_total", Help: "Requests for objects of divided services by where they run: ownRegion, otherRegion, or overflow if the home was full.",
	}, []string{"placement"})
	m.secondAttempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_second_attempts_total", Help: "Second attempts that were due by the learned run times, by result.",
	}, []string{"result"})
	m.dials = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_target_dials_total", Help: "Connection attempts to targets by their availability zone and the result.",
	}, []string{"zone", "result"})
	m.hedgedConnects = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_hedged_connects_total", Help: "Connection attempts through another box beside one that took long, by the target's availability zone.",
	}, []string{"zone"})
	m.suppressedConnects = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_hedged_connects_suppressed_total", Help: "Connections whose hedged attempt was due and was held back by the budget, by the target's availability zone.",
	}, []string{"zone"})
	m.hedgeDelay = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "ledgesill_hedged_connect_delay_seconds", Help: "Time after which a hedged connection attempt is due, by the target's availability zone.",
	}, []string{"zone"})
	m.tunnels = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_tunnels_total", Help: "Attempts to connect to a target through another box, by result.",
	}, []string{"result"})
	m.tunnelRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_tunnel_requests_total", Help: "Connections to targets that other boxes asked this box for, by result.",
	}, []string{"result"})
	m.permitCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_permit_asks_total", Help: "Calls for permits of workspaces with limits, by whether they were answered.",
	}, []string{"answered"})
	m.targetProbes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_target_looks_total", Help: "Targets that were looked at after a connection broke, by whether they had ended.",
	}, []string{"found"})
	m.crashedRuns = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_ended_runs_total", Help: "Requests that were at work at a target when it ended.",
	})
	m.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "ledgesill_quarantine_held", Help: "Requests that reach no target as targets ended under them.",
	})
	m.targetLimits = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "ledgesill_target_limits", Help: "Targets that name how much they take from all boxes together.",
	})
	m.targetPermits = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_target_permits_total", Help: "Requests that got a permit of a target that names a limit.",
	})
	m.skippedLimited = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_targets_passed_over_total", Help: "Times that a request went on to another target for want of a permit.",
	})
	m.backOffs = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_back_offs_total", Help: "Back-offs that targets asked this box for.",
	})
	m.backOffSkips = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_back_off_skipped_requests_total", Help: "Requests kept from targets in back-offs that have ended.",
	})
	m.targetsLeaving = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "ledgesill_targets_leaving_total", Help: "Targets that said in an answer, to this box or another, that they leave.",
	})
	m.pipelined = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_pipelined_requests_total", Help: "Requests that arrived behind an unanswered one of their connection, by whether they started early or why not.",
	}, []string{"started"})
	r.MustRegister(m.backOffs, m.backOffSkips, m.targetsLeaving,
		m.requests, m.latency, m.attempts, m.hedges, m.connections, m.dials, m.tunnels, m.tunnelRequests, m.permitCalls, m.targetProbes, m.crashedRuns, m.quarantined,
		m.targetLimits, m.targetPermits, m.skippedLimited)
	r.MustRegister(m.hedgedConnects, m.suppressedConnects, m.hedgeDelay)
	r.MustRegister(m.localShare, m.placements)
	m.lateUploads = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_late_uploads_total", Help: "Requests whose body was still being sent when their answer was complete, by whether the target got all of it.",
	}, []string{"whole"})
	r.MustRegister(m.pipelined, m.secondAttempts, m.lateUploads)
	return m
}

// countUpload counts the end of an upload that went on after the response.
func (m *metrics) countUpload(u *upload) {
	m.lateUploads.WithLabelValues(strconv.FormatBool(u.succeeded())).Inc()
}

// recordHedgeDelay records after which time hedged connection attempts to a zone are due.
func (m *metrics) recordHedgeDelay(zone string, delay time.Duration) {
	m.hedgeDelay.WithLabelValues(zone).Set(delay.Seconds())
}

// countHedgedConnect counts a hedged connection attempt to a zone that was due.
func (m *metrics) countHedgedConnect(zone string, started bool) {
	if started {
		m.hedgedConnects.WithLabelValues(zone).Inc()
		return
	}
	m.suppressedConnects.WithLabelValues(zone).Inc()
}

var statusClasses = [...]string{"", "1xx", "2xx", "3xx", "4xx", "5xx"}

func (m *metrics) count(route string, status int, reason string, took time.Duration) {
	class := "other"
	if n := status / 100; n > 0 && n < len(statusClasses) {
		class = statusClasses[n]
	}
	m.requests.WithLabelValues(class, reason).Inc()
	m.latency.WithLabelValues(route).Observe(took.Seconds())
}

// countPlacement counts where a request for an object of a divided service runs.
func (m *metrics) countPlacement(c balance.Choice) {
	switch {
	case c.LocalShare == 0:
	case c.Overflowed:
		m.placements.WithLabelValues("overflow").Inc()
	case c.Remote:
		m.placements.WithLabelValues("otherRegion").Inc()
	default:
		m.placements.WithLabelValues("ownRegion").Inc()
	}
}

// setLocalShares publishes the local shares of the services.
func (d *Daemon) setLocalShares() {
	d.balancing.Lock()
	shares := d.balancing.balancer.LocalShares()
	d.balancing.Unlock()
	for service, share := range shares {
		d.metrics.localShare.WithLabelValues(service).Set(share)
	}
}
