package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/contrib/standin"
	"ledgesill.dev/ledgesill/internal/operator"
)

const (
	startTimeout = 30 * time.Second
	trafficTime  = 14 * time.Second
	changeAfter  = 2 * time.Second
	stopAfter    = 4 * time.Second
	killAfter    = 8 * time.Second
	pollInterval = 5 * time.Millisecond
	stoppedBox   = 0 // index of the box that is stopped with SIGTERM
	killedBox    = 3 // index of the box that is killed
)

// targetRuns holds what the stand-in targets counted.
type targetRuns struct {
	// Runs is how often each unrepeatable request ran, over all targets.
	Runs map[string]int `json:"runs"`
	// MaxConcurrent is the highest number of concurrent requests of each target, by its index in
	// the layout.
	MaxConcurrent map[string]int `json:"most"`
}

func runsHandler(targets []*standin.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := targetRuns{Runs: make(map[string]int), MaxConcurrent: make(map[string]int)}
		for i, t := range targets {
			runs, maxConcurrent := t.Runs()
			for id, n := range runs {
				out.Runs[id] += n
			}
			out.MaxConcurrent[strconv.Itoa(i)] = maxConcurrent
		}
		_ = json.NewEncoder(w).Encode(out) // the driver sees a truncated response
	})
}

// driver drives the running processes of a layout.
type driver struct {
	layout   layout.Layout
	dir      string
	operator *operator.Client
	http     *http.Client
}

func newDriver(l layout.Layout, dir string) *driver {
	var addresses []string
	for _, c := range l.Controls {
		addresses = append(addresses, c.Operator)
	}
	return &driver{
		layout:   l,
		dir:      dir,
		operator: operator.NewClient(addresses, "", &http.Transport{}),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

// drive runs the demo: traffic during a change of a setting, the planned stop of one box and the
// kill of another.
func drive(ctx context.Context, l layout.Layout, dir string) error {
	d := newDriver(l, dir)
	if err := d.setUp(ctx); err != nil {
		return err
	}
	workspaces, err := startWorkspaces(ctx, d)
	if err != nil {
		return err
	}
	t := newTraffic(d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var running sync.WaitGroup
		running.Go(func() { workspaces.run(ctx, trafficTime) })
		t.run(ctx, trafficTime)
		running.Wait()
	}()
	r := &measurements{}
	began := time.Now()
	wait(ctx, changeAfter)
	if r.activationTime, err = d.changeSetting(ctx, "demo-change", "800"); err != nil {
		return err
	}
	wait(ctx, stopAfter-time.Since(began))
	if r.drainTime, err = d.stopBox(ctx, l.Boxes[stoppedBox].Name); err != nil {
		return err
	}
	wait(ctx, killAfter-time.Since(began))
	if err := d.signal(l.Boxes[killedBox].Name, syscall.SIGKILL); err != nil {
		return err
	}
	<-done
	if r.runs, err = d.fetchRuns(ctx); err != nil {
		return err
	}
	return errors.Join(t.report(r, l), workspaces.report())
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(max(d, 0)):
	}
}

// setUp applies the user's settings tree and waits until the lease of every pool is held.
func (d *driver) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	change := operator.Change{ID: "demo-tree", BaseVersion: 0, Edits: d.layout.Edits()}
	for {
		var v operator.Verdict
		err := d.operator.Do(ctx, http.MethodPost, "/v1/changes", change, &v)
		if err == nil && v.Verdict == operator.Accepted {
			break
		}
		if err == nil {
			return fmt.Errorf("the settings tree was not accepted: %s", v.Detail)
		}
		if ctx.Err() != nil {
			return err
		}
	}
	for {
		var s operator.Status
		if err := d.operator.Do(ctx, http.MethodGet, "/v1/status", nil, &s); err == nil && d.allPoolsServing(s) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("after %s the leases of some pools are not held: %v", startTimeout, s.NeedsAttention)
		}
		wait(ctx, 20*pollInterval)
	}
}

// allPoolsServing reports whether boxes hold the leases of all pools, which shows in their capacity.
func (d *driver) allPoolsServing(s operator.Status) bool {
	held := 0
	for _, b := range s.Boxes {
		for _, p := range b.Pools {
			if p.Capacity > 0 {
				held++
			}
		}
	}
	pools := make(map[string]bool)
	for _, t := range d.layout.Targets {
		pools[t.Service+t.Zone] = true
	}
	return held == len(pools)
}

// changeSetting changes a setting and returns how long it took from the call until the setting
// was active at every box.
func (d *driver) changeSetting(ctx context.Context, id, ttl string) (time.Duration, error) {
	var current operator.Settings
	if err := d.operator.Do(ctx, http.MethodGet, "/v1/settings", nil, &current); err != nil {
		return 0, err
	}
	change := operator.Change{
		ID:          id,
		BaseVersion: current.Version,
		Edits:       []operator.Edit{{Path: "/:" + d.layout.Services[0].Name, Key: "answerTtlMillis", Value: ttl}},
	}
	start := time.Now()
	var v operator.Verdict
	if err := d.operator.Do(ctx, http.MethodPost, "/v1/changes", change, &v); err != nil {
		return 0, err
	}
	if v.Verdict != operator.Accepted {
		return 0, fmt.Errorf("change %s was not accepted: %s", id, v.Detail)
	}
	for _, b := range d.layout.Boxes {
		for {
			version, err := d.versionAt(ctx, b)
			if err == nil && version >= v.Version {
				break
			}
			if ctx.Err() != nil || time.Since(start) > startTimeout {
				return 0, fmt.Errorf("change %s is not active at %s", id, b.Name)
			}
			wait(ctx, pollInterval)
		}
	}
	return time.Since(start), nil
}

func (d *driver) versionAt(ctx context.Context, b layout.Box) (uint64, error) {
	var s struct {
		Version uint64 `json:"version"`
	}
	return s.Version, d.getJSON(ctx, "http://"+b.Operator+"/v1/status", &s)
}

func (d *driver) getJSON(ctx context.Context, url string, into any) error {
	return d.fetch(ctx, url, func(body io.Reader) error { return json.NewDecoder(body).Decode(into) })
}

// fetch requests a URL and passes the response body to read.
func (d *driver) fetch(ctx context.Context, url string, read func(body io.Reader) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := d.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, response.Status)
	}
	return read(response.Body)
}

func (d *driver) pid(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(d.dir, name+".pid"))
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(data)))
}

func (d *driver) signal(name string, s syscall.Signal) error {
	pid, err := d.pid(name)
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// stopBox stops a box with SIGTERM and returns how long it took to exit.
func (d *driver) stopBox(ctx context.Context, name string) (time.Duration, error) {
	began := time.Now()
	if err := d.signal(name, syscall.SIGTERM); err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		if _, err := os.Stat(filepath.Join(d.dir, name+".ended")); err == nil {
			return time.Since(began), nil
		}
		if time.Since(began) > startTimeout {
			return 0, fmt.Errorf("%s did not exit within %s", name, startTimeout)
		}
		wait(ctx, pollInterval)
	}
	return 0, ctx.Err()
}

// fetchRuns reads what the stand-in targets counted.
func (d *driver) fetchRuns(ctx context.Context) (targetRuns, error) {
	var out targetRuns
	return out, d.getJSON(ctx, "http://"+adminAddress+"/", &out)
}
