package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/internal/operator"
)

// Two workspaces share two boxes of kind gateway: one without a limit, and one whose callers
// send several times its limit.
const (
	workspaceService = "flags"
	workspaceHost    = "flags.example"
	workspaceTargets = 2
	targetSlots      = 8
	targetWork       = 10 * time.Millisecond
	// gatewayPort is the first port of the gateways. Each uses four.
	gatewayPort = 8960
	gateways    = 2
	// limitPerSecond and limitBurst are the limit. limitExcess and limitExtra are the tolerance
	// over it in each limitWindow by control's default settings.
	limitPerSecond = 20
	limitBurst     = 20
	limitExcess    = 0.1
	limitExtra     = 20
	limitWindow    = 5 * time.Second
	// Each workspace has clientsPerWorkspace callers that send one request per requestInterval
	// each: 100 a second together.
	clientsPerWorkspace = 4
	requestInterval     = 40 * time.Millisecond
	// servedShare is the share of requests that must be served for the workspace without a limit.
	servedShare = 0.95
)

var demoWorkspaces = []demoWorkspace{{name: "open"}, {name: "limited", perSecond: limitPerSecond, burst: limitBurst}}

type demoWorkspace struct {
	name             string
	perSecond, burst int
}

func (w demoWorkspace) key() string { return "key-of-" + w.name }

// gatewayArguments returns the command line of a box of kind gateway.
func gatewayArguments(l layout.Layout, i int) []string {
	var peers []string
	for _, c := range l.Controls {
		peers = append(peers, c.Peer)
	}
	zone, region := l.Boxes[i].Zone, l.Boxes[i].Region
	return []string{
		"gateway", "-name", gatewayName(i), "-region", region, "-zone", zone, "-zones", zoneList(l),
		"-caller-address", gatewayAddress(i, 0), "-ready-address", gatewayAddress(i, 1),
		"-peer-address", gatewayAddress(i, 2), "-operator-address", gatewayAddress(i, 3), "-controls", strings.Join(peers, ","),
	}
}

func gatewayName(i int) string { return fmt.Sprintf("gateway-%d", i+1) }

func gatewayAddress(i, use int) string { return fmt.Sprintf("127.0.0.1:%d", gatewayPort+4*i+use) }

func zoneList(l layout.Layout) string {
	seen := make(map[string]bool)
	var out []string
	for _, b := range l.Boxes {
		if !seen[b.Zone] {
			seen[b.Zone] = true
			out = append(out, b.Zone+"="+b.Region)
		}
	}
	return strings.Join(out, ",")
}

// workspaceTarget is a stand-in for a target that records the runs of each workspace.
type workspaceTarget struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// ServeHTTP implements http.Handler.
func (t *workspaceTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	name := r.Header.Get("Ledgesill-Workspace")
	t.runs[name] = append(t.runs[name], time.Now())
	t.mu.Unlock()
	time.Sleep(targetWork)
	w.Header().Set("Ledgesill-Request-Id", r.Header.Get("Ledgesill-Request-Id"))
	_, _ = io.WriteString(w, "on\n") // the caller sees a truncated response
}

// workspaceDemo sends the requests of the workspaces and counts their results.
type workspaceDemo struct {
	driver  *driver
	target  *workspaceTarget
	limited *limitedTarget
	// backingOff is the target that requests back-offs.
	backingOff *backingOffTarget

	mu     sync.Mutex
	counts map[string]map[string]int
}

// startWorkspaces sends the routes document, registers targets and waits until the gateways are
// ready.
func startWorkspaces(ctx context.Context, d *driver) (*workspaceDemo, error) {
	w := &workspaceDemo{driver: d, target: &workspaceTarget{runs: make(map[string][]time.Time)}, counts: make(map[string]map[string]int)}
	var document operator.RoutesVerdict
	if err := d.operator.Do(ctx, http.MethodPut, "/v1/routes", w.document(), &document); err != nil {
		return nil, fmt.Errorf("sending the routes document: %w", err)
	}
	for i := range workspaceTargets {
		if err := w.startTarget(ctx, i, w.target); err != nil {
			return nil, err
		}
	}
	w.limited = &limitedTarget{next: w.target}
	if err := w.startTarget(ctx, workspaceTargets, w.limited); err != nil {
		return nil, err
	}
	w.backingOff = &backingOffTarget{next: w.target}
	if err := w.startTarget(ctx, workspaceTargets+1, w.backingOff); err != nil {
		return nil, err
	}
	for i := range gateways {
		if err := d.waitReady(ctx, gatewayAddress(i, 1)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *workspaceDemo) document() map[string]any {
	var workspaces []any
	for _, ws := range demoWorkspaces {
		workspaces = append(workspaces, map[string]any{
			"name": ws.name, "keys": []string{ws.key()}, "priority": 1, "perSecond": ws.perSecond, "burst": ws.burst,
		})
	}
	return map[string]any{
		"number": 1, "base": 0,
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerMillis": 3000, "idleMillis": 15000},
		"services": []any{map[string]any{"name": workspaceService, "healthPath": "/health", "maxConnections": targetConnections, "coldMillis": 0, "coldRate": 0}},
		"hosts": []any{map[string]any{"name": workspaceHost, "routes": []any{map[string]any{
			"name": "read", "prefix": "/", "repeat": "repeatable", "objectiveMillis": 400, "timeoutMillis": 1500, "maxAttempts": 2, "priority": 1,
			"destinations": []any{map[string]any{"service": workspaceService, "weight": 1}},
		}}}},
		"workspaces": workspaces,
	}
}

func (w *workspaceDemo) startTarget(ctx context.Context, i int, h http.Handler) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listening as a target: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // ends with the demo
	registration := map[string]any{
		"service": workspaceService, "address": l.Addr().String(), "zone": w.driver.layout.Boxes[i].Zone, "slots": targetSlots, "sequence": 1,
	}
	var registered operator.Target
	return w.driver.operator.Do(ctx, http.MethodPut, fmt.Sprintf("/v1/targets/flags-%d", i+1), registration, &registered)
}

// waitReady waits until a box reports that it is ready.
func (d *driver) waitReady(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := d.fetch(ctx, "http://"+address+"/readyz", func(io.Reader) error { return nil })
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%s is not ready within %s: %w", address, startTimeout, err)
		}
		wait(ctx, 20*pollInterval)
	}
}

// run sends requests of both workspaces for a length of time.
func (w *workspaceDemo) run(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	var running sync.WaitGroup
	for _, ws := range demoWorkspaces {
		w.counts[ws.name] = make(map[string]int)
		for i := range clientsPerWorkspace {
			running.Go(func() {
				for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
					w.send(ctx, ws, gatewayAddress((i+n)%gateways, 0), fmt.Sprintf("%s-%d-%d", ws.name, i, n))
					time.Sleep(requestInterval)
				}
			})
		}
	}
	running.Wait()
}

func (w *workspaceDemo) send(ctx context.Context, ws demoWorkspace, box, id string) {
	kind := "other"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+box+"/flag/"+id+"/"+box, nil)
	if err == nil {
		request.Host = workspaceHost
		request.Header.Set("Ledgesill-Request-Id", id)
		request.Header.Set("Ledgesill-Deadline-Millis", "1500")
		request.Header.Set("Ledgesill-Key", ws.key())
		kind = w.exchange(request)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[ws.name][kind]++
}

func (w *workspaceDemo) exchange(request *http.Request) string {
	response, err := w.driver.http.Do(request)
	if err != nil {
		return "other"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "other"
	}
	switch response.StatusCode {
	case http.StatusOK:
		return "served"
	case http.StatusTooManyRequests:
		return "overLimit"
	}
	return "other"
}

// report prints a table and returns an error if a workspace exceeded its limit, or if too few
// requests of the one without a limit were served.
func (w *workspaceDemo) report() error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "workspace\tlimit/s\tasked\tserved\tover its limit\tother\tmost in 5 s\tallowed\t")
	var failures []error
	for _, ws := range demoWorkspaces {
		c := w.counts[ws.name]
		sent := c["served"] + c["overLimit"] + c["other"]
		highest, allowed, limit := w.mostInWindow(ws.name), "-", "none"
		if ws.perSecond > 0 {
			bound := (float64(ws.perSecond)*limitWindow.Seconds()+float64(ws.burst))*(1+limitExcess) + limitExtra
			allowed, limit = fmt.Sprint(int(bound)), fmt.Sprint(ws.perSecond)
			if float64(highest) > bound || c["overLimit"] == 0 {
				failures = append(failures, fmt.Errorf("workspace %s: %d requests ran in %s, allowed are %s; %d were rejected as over the limit", ws.name, highest, limitWindow, allowed, c["overLimit"]))
			}
		} else if float64(c["served"]) < servedShare*float64(sent) {
			failures = append(failures, fmt.Errorf("workspace %s without a limit: %d of %d requests served", ws.name, c["served"], sent))
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t\n", ws.name, limit, sent, c["served"], c["overLimit"], c["other"], highest, allowed)
	}
	failures = append(failures, table.Flush(), w.limited.report(), w.backingOff.report())
	return errors.Join(failures...)
}

// mostInWindow returns the highest number of runs of a workspace in any window.
func (w *workspaceDemo) mostInWindow(name string) (highest int) {
	w.target.mu.Lock()
	defer w.target.mu.Unlock()
	runs := w.target.runs[name]
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) > limitWindow {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
