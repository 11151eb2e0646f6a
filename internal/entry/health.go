package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
)

const (
	probeTimeout     = time.Second
	minProbePause    = 50 * time.Millisecond
	platformInterval = time.Second
	// failedProbes is how many probes in a row must fail before a target
	// counts as not ready.
	failedProbes = 2
)

// targetHealth is the answer of a target's GET /healthz.
type targetHealth struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	Busy     *int `json:"busy"`
}

// probeTargets reads the health and load of the targets of the pools that this
// box holds.
func (d *Daemon) probeTargets(ctx context.Context) error {
	failures := make(map[string]int)
	for {
		pause := time.Second
		for _, p := range d.poolList() {
			v, err := p.look(ctx)
			if err != nil || !v.held {
				continue
			}
			pause = min(pause, max(v.values.ReportInterval, minProbePause))
			targets, err := p.dueChecks(ctx)
			if err != nil {
				continue
			}
			d.probePool(ctx, p, targets, failures)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// probePool probes the targets of one pool at once, so that one that hangs does
// not delay the others.
func (d *Daemon) probePool(ctx context.Context, p *pool, targets map[string]string, failures map[string]int) {
	type result struct {
		measure admission.HealthReport
		failed  bool
	}
	results := make(chan result, len(targets))
	var running sync.WaitGroup
	for name, address := range targets {
		running.Go(func() {
			m, err := d.probe(ctx, p, name, address)
			results <- result{m, err != nil}
		})
	}
	running.Wait()
	close(results)
	for r := range results {
		key := p.service + "/" + r.measure.Target
		if !r.failed {
			failures[key] = 0
			p.inbox <- poolEvent{r.measure}
			continue
		}
		failures[key]++
		if failures[key] >= failedProbes {
			p.inbox <- poolEvent{r.measure}
		}
	}
}

func (d *Daemon) probe(ctx context.Context, p *pool, name, address string) (admission.HealthReport, error) {
	m := admission.HealthReport{Target: name, Busy: -1}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return m, err
	}
	began := d.clock.Now()
	response, err := d.probes.Do(request)
	if err != nil {
		return m, err
	}
	defer response.Body.Close()
	p.observeHealth(name, response, began)
	var h targetHealth
	if err := json.NewDecoder(response.Body).Decode(&h); err != nil {
		return m, err
	}
	m.Ready = h.Ready
	m.Draining = h.Draining
	m.Cold = h.Cold
	if h.Busy != nil {
		m.Busy = *h.Busy
	}
	return m, nil
}

// platformList is the platform's list of boxes, which lags. It only ever takes
// a target out of service; that it lists one as live proves nothing.
type platformList struct {
	Boxes []struct {
		Address string `json:"address"`
		State   string `json:"state"`
	} `json:"boxes"`
}

const platformLeaving = "leaving"

// watchPlatform reads the platform's list of boxes.
func (d *Daemon) watchPlatform(ctx context.Context) error {
	if d.config.PlatformList == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(platformInterval)
	defer ticker.Stop()
	for {
		if leaving, err := d.readPlatform(ctx); err == nil && d.setLeaving(leaving) {
			d.configurePools()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) readPlatform(ctx context.Context) (map[string]bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.config.PlatformList, nil)
	if err != nil {
		return nil, err
	}
	response, err := d.probes.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var list platformList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
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

// setLeaving reports whether the set differs from the one before.
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
