package control

import (
	"time"

	"ledgesill.dev/ledgesill/internal/process"
)

// loopWaitBuckets are the histogram buckets, in seconds, of the time that inputs wait for the
// replica's loop: from no wait to several election timeouts.
var loopWaitBuckets = []float64{0.0005, 0.002, 0.01, 0.05, 0.2, 0.6, 1, 3, 10}

// addLoopMetrics registers the metrics of the loop and of registration updates.
func (d *Daemon) addLoopMetrics(p *process.Process) {
	waits := p.Histogram("loop_wait_seconds", "How long inputs waited for the replica's loop, by kind.", loopWaitBuckets, "kind")
	abandoned := p.Counter("loop_abandoned_total", "Inputs that were dropped as their asker had gone, by kind.", "kind")
	d.replica.onDequeued = func(kind string, wait time.Duration, isAbandoned bool) {
		waits.WithLabelValues(kind).Observe(wait.Seconds())
		if isAbandoned {
			abandoned.WithLabelValues(kind).Inc()
		}
	}
	expired := p.Counter("words_let_go_total", "Words of targets that were let go as their askers had gone.").WithLabelValues()
	d.registrations.onExpired = func(count int) { expired.Add(float64(count)) }
}
