package main

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Two workspaces share the boxes: one without a limit, and one whose callers send several
// times its limit.
const (
	unlimitedWorkspace = "open"
	limitedWorkspace   = "limited"
	// limitPerSecond and limitBurst are the limit; one client sends about 60 requests a
	// second.
	limitPerSecond = 12
	limitBurst     = 12
	// limitWindow, limitExcess and limitSlack are the defaults of the control settings.
	limitWindow = 5 * time.Second
	limitExcess = 0.1
	limitSlack  = 20
	// limitedEvery: one client in so many belongs to the limited workspace.
	limitedEvery = 4
	// maxHoldTime is how long a stalled link or a paused process may hold requests back,
	// which then arrive together with later ones.
	maxHoldTime = 3 * time.Second
)

func workspaces() []any {
	return []any{
		map[string]any{"name": unlimitedWorkspace, "apiKeys": []string{apiKeyOf(unlimitedWorkspace)}, "priority": 1},
		map[string]any{
			"name": limitedWorkspace, "apiKeys": []string{apiKeyOf(limitedWorkspace)}, "priority": 1,
			"ratePerS": limitPerSecond, "burst": limitBurst,
		},
	}
}

// apiKeyOf returns the API key of a workspace.
func apiKeyOf(workspace string) string { return "key-of-" + workspace }

// workspaceOf returns the workspace of a client.
func workspaceOf(client int) string {
	if client%limitedEvery == limitedEvery-1 {
		return limitedWorkspace
	}
	return unlimitedWorkspace
}

// checkWorkspace checks that the target received the name of the workspace that the caller's
// key belongs to, and not the key.
func (h *harness) checkWorkspace(r attemptRecord, run standin.Run) {
	if run.Workspace != r.workspace {
		h.violations.add("request %s of workspace %s was passed on as one of workspace %q to %s", r.id, r.workspace, run.Workspace, run.Target)
	}
	if run.Key != "" {
		h.violations.add("request %s reached %s with its API key", r.id, run.Target)
	}
}

// checkLimit checks the limited workspace's rate over all boxes and targets in each window.
func (h *harness) checkLimit(records []attemptRecord) {
	var runs []time.Time
	for _, r := range records {
		if r.workspace != limitedWorkspace {
			continue
		}
		for _, run := range h.runLog.Runs(r.id) {
			runs = append(runs, run.At)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	seconds := (limitWindow + maxHoldTime).Seconds()
	allowed := int((limitPerSecond*seconds+limitBurst)*(1+limitExcess) + limitSlack)
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; n > allowed {
			h.violations.add("%d requests of the limited workspace ran within %s, allowed are %d", n, limitWindow, allowed)
			return
		}
	}
}
