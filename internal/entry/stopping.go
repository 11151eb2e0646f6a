package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/drain"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	stopPoll = 20 * time.Millisecond
	// ttlMargin is added to the time for which callers may use cached lookup answers.
	ttlMargin = 500 * time.Millisecond
)

// gracefulStop hosts the state machine of this box's graceful stop.
type gracefulStop struct {
	clock *boottime.Clock
	mu    lockorder.Mutex
	stop  drain.Stop
}

func (s *gracefulStop) begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.Phase() != drain.Serving
}

// admitRequest counts a new request as in flight, unless new requests are refused.
func (s *gracefulStop) admitRequest(inFlight *atomic.Int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop.Phase() >= drain.Refusing {
		return false
	}
	inFlight.Add(1)
	return true
}

func (s *gracefulStop) begin(ttl, maxRequestTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop.Begin(s.clock.Now(), ttl, maxRequestTime)
}

func (s *gracefulStop) update(inFlight *atomic.Int64) drain.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	phase, _ := s.stop.Update(s.clock.Now(), int(inFlight.Load()))
	return phase
}

func (s *gracefulStop) progress() drain.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop.Progress(s.clock.Now())
}

// stopGracefully removes the box from lookup answers, serves until cached answers have expired,
// refuses new requests and waits for those in flight.
func (d *Daemon) stopGracefully() {
	active := d.current.Load()
	var ttl, maxRequestTime time.Duration
	for _, service := range active.tree.Services() {
		for _, z := range active.tree.Zones() {
			v := active.tree.Service(z.Region, z.Name, service).Values
			ttl = max(ttl, v.AnswerTTL)
			maxRequestTime = max(maxRequestTime, v.RequestTimeout)
		}
	}
	d.stop.begin(ttl+ttlMargin, maxRequestTime)
	last := drain.Serving
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		phase := d.stop.update(&d.inFlight)
		if phase != last {
			last = phase
			p := d.stop.progress()
			detail := fmt.Sprintf("%s after %s with %d in flight, at most %s left", phase, p.Since.Round(time.Millisecond), p.InFlight, p.Remaining.Round(time.Millisecond))
			d.process.RecordStateChange(&wire.TimelineEvent{Kind: "stop", Box: d.config.Name, Detail: detail})
		}
		if phase == drain.Ended {
			return
		}
		<-ticker.C
	}
}

// releasePools releases the leases once no request runs under them.
func (d *Daemon) releasePools() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, p := range d.poolList() {
		for ctx.Err() == nil && !released(ctx, p) {
			time.Sleep(stopPoll)
		}
	}
	// The releases are sent by separate goroutines; give them time to finish.
	time.Sleep(releaseGrace)
}

const releaseGrace = 100 * time.Millisecond

func released(ctx context.Context, p *pool) bool {
	done := make(chan struct{})
	select {
	case p.inbox <- poolRelease{done}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-time.After(stopPoll):
		return false
	}
}

// serveOperators serves the operator API: metrics and the status of the box.
func (d *Daemon) serveOperators(ctx context.Context) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.process.Metrics, promhttp.HandlerOpts{})))
	app.Get("/v1/status", d.getStatus)
	if err := app.Build(); err != nil {
		return fmt.Errorf("building the operator API: %w", err)
	}
	server := &http.Server{Handler: app, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(d.operatorListener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdown)
	<-ended
	return err
}

// boxStatus is the status of an entry box as shown to operators.
type boxStatus struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	Version         uint64 `json:"version"`
	AgeMillis       int64  `json:"ageMillis"`
	Phase           string `json:"phase"`
	InFlight        int    `json:"inFlight"`
	RemainingMillis int64  `json:"remainingMillis"`
}

func (d *Daemon) getStatus(c iris.Context) {
	p := d.stop.progress()
	_ = c.JSON(boxStatus{ // the client gets a truncated response
		Name:            d.config.Name,
		Zone:            d.config.Zone,
		Version:         d.current.Load().state.Version(),
		AgeMillis:       d.follower.ControlAge().Milliseconds(),
		Phase:           p.Phase.String(),
		InFlight:        int(d.inFlight.Load()),
		RemainingMillis: p.Remaining.Milliseconds(),
	})
}
