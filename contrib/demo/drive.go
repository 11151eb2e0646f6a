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
	poll         = 5 * time.Millisecond
	stoppedBox   = 0 // index of the box that is stopped as planned
	killedBox    = 3 // index of the box that is killed
)

// targetRuns is how often each request ran, over all targets.
type targetRuns struct {
	Runs map[string]int `json:"runs"`
	// Over counts targets that had more requests at once than slots.
	Most map[string]int `json:"most"`
}

func runsHandler(targets []*standin.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := targetRuns{Runs: make(map[string]int), Most: make(map[string]int)}
		for i, t := range targets {
			runs, most := t.Runs()
			for id, n := range runs {
				out.Runs[id] += n
			}
			out.Most[strconv.Itoa(i)] = most
		}
		_ = json.NewEncoder(w).Encode(out) // the driver sees a broken answer
	})
}

type driver struct {
	layout   layout.Layout
	folder   string
	operator *operator.Client
	http     *http.Client
}

func newDriver(l layout.Layout, folder string) *driver {
	var addresses []string
	for _, c := range l.Controls {
		addresses = append(addresses, c.Operator)
	}
	return &driver{
		layout:   l,
		folder:   folder,
		operator: operator.NewClient(addresses, "", &http.Transport{}),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
}

func drive(ctx context.Context, l layout.Layout, folder string) error {
	d := newDriver(l, folder)
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
	r := &report{}
	began := time.Now()
	wait(ctx, changeAfter)
	if r.inForce, err = d.changeSetting(ctx, "demo-change", "800"); err != nil {
		return err
	}
	wait(ctx, stopAfter-time.Since(began))
	if r.drain, err = d.stopBox(ctx, l.Boxes[stoppedBox].Name); err != nil {
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

// setUp puts the user's tree in force and waits until every pool is held.
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
			return fmt.Errorf("the tree is not accepted: %s", v.Detail)
		}
		if ctx.Err() != nil {
			return err
		}
	}
	for {
		var s operator.Status
		if err := d.operator.Do(ctx, http.MethodGet, "/v1/status", nil, &s); err == nil && d.allHeld(s) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("the pools are not all held within %s: %v", startTimeout, s.NeedsAttention)
		}
		wait(ctx, 20*poll)
	}
}

func (d *driver) allHeld(s operator.Status) bool {
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

// changeSetting changes a setting and returns how long it took until it was in
// force at every box, counted from the call.
func (d *driver) changeSetting(ctx context.Context, id, ttl string) (time.Duration, error) {
	var present operator.Settings
	if err := d.operator.Do(ctx, http.MethodGet, "/v1/settings", nil, &present); err != nil {
		return 0, err
	}
	change := operator.Change{
		ID:          id,
		BaseVersion: present.Version,
		Edits:       []operator.Edit{{Path: "/:" + d.layout.Services[0].Name, Key: "answerTtlMillis", Value: ttl}},
	}
	began := time.Now()
	var v operator.Verdict
	if err := d.operator.Do(ctx, http.MethodPost, "/v1/changes", change, &v); err != nil {
		return 0, err
	}
	if v.Verdict != operator.Accepted {
		return 0, fmt.Errorf("the change is not accepted: %s", v.Detail)
	}
	for _, b := range d.layout.Boxes {
		for {
			version, err := d.versionAt(ctx, b)
			if err == nil && version >= v.Version {
				break
			}
			if ctx.Err() != nil || time.Since(began) > startTimeout {
				return 0, fmt.Errorf("the change is not in force at %s", b.Name)
			}
			wait(ctx, poll)
		}
	}
	return time.Since(began), nil
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

// fetch gets a page and has its body read.
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
	data, err := os.ReadFile(filepath.Join(d.folder, name+".pid"))
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

// stopBox stops a box as planned and returns how long it took to end.
func (d *driver) stopBox(ctx context.Context, name string) (time.Duration, error) {
	began := time.Now()
	if err := d.signal(name, syscall.SIGTERM); err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		if _, err := os.Stat(filepath.Join(d.folder, name+".ended")); err == nil {
			return time.Since(began), nil
		}
		if time.Since(began) > startTimeout {
			return 0, fmt.Errorf("%s has not ended within %s", name, startTimeout)
		}
		wait(ctx, poll)
	}
	return 0, ctx.Err()
}

func (d *driver) fetchRuns(ctx context.Context) (targetRuns, error) {
	var out targetRuns
	return out, d.getJSON(ctx, "http://"+adminAddress+"/", &out)
}
