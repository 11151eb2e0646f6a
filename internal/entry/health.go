package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
)

const (
	probeTimeout     = time.Second
	minProbeInterval = 50 * time.Millisecond
	platformInterval = time.Second
	// probeFailureThreshold is the number of consecutive failed probes after which a target counts
	// as not ready.
	probeFailureThreshold = 2
)

// targetHealth is the body of a target's response to GET /healthz.
type targetHealth struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	Busy     *int `json:"busy"`
}

// probeTargets checks the health and load of the targets in the pools that this box holds the
// leases on.
func (d *Daemon) probeTargets(ctx context.Context) error {
	failures := make(map[string]int)
	for {
		interval := time.Second
		for _, p := range d.poolList() {
			v, err := p.view(ctx)
			if err != nil || !v.held {
				continue
			}
			interval = min(interval, max(v.values.ReportInterval, minProbeInterval))
			targets, err := p.dueChecks(ctx)
			if err != nil {
				continue
			}
			d.probePool(ctx, p, targets, failures)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// probePool probes the targets of a pool concurrently, so that a target that hangs does not
// delay the others.
func (d *Daemon) probePool(ctx context.Context, p *pool, targets map[string]string, failures map[string]int) {
	type result struct {
		report admission.HealthReport
		failed bool
	}
	results := make(chan result, len(targets))
	var running sync.WaitGroup
	for name, address := range targets {
		running.Go(func() {
			report, err := d.probe(ctx, p, name, address)
			results <- result{report, err != nil}
		})
	}
	running.Wait()
	close(results)
	for r := range results {
		key := p.service + "/" + r.report.Target
		if !r.failed {
			failures[key] = 0
			p.inbox <- poolEvent{r.report}
			continue
		}
		failures[key]++
		if failures[key] >= probeFailureThreshold {
			p.inbox <- poolEvent{r.report}
		}
	}
}

func (d *Daemon) probe(ctx context.Context, p *pool, name, address string) (admission.HealthReport, error) {
	report := admission.HealthReport{Target: name, Busy: -1}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return report, err
	}
	start := d.clock.Now()
	response, err := d.probeClient.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	p.recordHealthStatus(name, response, start)
	var h targetHealth
	if err := decodeJSON(response.Body, maxHealthBytes, &h); err != nil {
		return report, err
	}
	report.Ready = h.Ready
	report.Draining = h.Draining
	report.Cold = h.Cold
	if h.Busy != nil {
		report.Busy = *h.Busy
	}
	return report, nil
}

// platformList is the platform's list of boxes. Since the list lags, it is only used to take
// targets out of service: a target that it lists as live may be gone.
type platformList struct {
	Boxes []struct {
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"boxes"`
}

const platformLeaving = "leaving"

// watchPlatform polls the platform's list of boxes.
func (d *Daemon) watchPlatform(ctx context.Context) error {
	if d.config.PlatformList == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(platformInterval)
	defer ticker.Stop()
	for {
		if leaving, err := d.fetchLeaving(ctx); err == nil && d.setLeaving(leaving) {
			d.configurePools()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) fetchLeaving(ctx context.Context) (map[string]bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.config.PlatformList, nil)
	if err != nil {
		return nil, err
	}
	response, err := d.probeClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list platformList
	if err := decodeJSON(response.Body, maxPlatformListBytes, &list); err != nil {
		return nil, err
	}
	leaving := make(map[string]bool)
	for _, b := range list.Boxes {
		if b.State == platformLeaving {
			leaving[b.Address] = true
		}
	}
	return leaving, nil
}

// setLeaving stores the addresses and reports whether they have changed.
func (d *Daemon) setLeaving(leaving map[string]bool) bool {
	d.leaving.Lock()
	defer d.leaving.Unlock()
	same := len(leaving) == len(d.leaving.addresses)
	for address := range leaving {
		same = same && d.leaving.addresses[address]
	}
	d.leaving.addresses = leaving
	return !same
}

func (d *Daemon) leavingAddresses() map[string]bool {
	d.leaving.Lock()
	defer d.leaving.Unlock()
	return d.leaving.addresses
}
