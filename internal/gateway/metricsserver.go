package gateway

import (
	"context"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ledgesill.dev/ledgesill/internal/process"
)

// serveMetrics serves the metrics in text format, at every path.
func (d *Daemon) serveMetrics(ctx context.Context) error {
	return process.ServeHTTP(ctx, d.metricsListener, promhttp.HandlerFor(d.process.Metrics, promhttp.HandlerOpts{}))
}
