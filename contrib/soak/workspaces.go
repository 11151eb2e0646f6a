package main

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Two workspaces share the boxes: one without a limit, and one whose callers ask for
// several times its limit.
const (
	openWorkspace    = "open"
	limitedWorkspace = "limited"
	// limitPerSecond and limitBurst are its limit; the requests of one client are about
	// 60 a second.
	limitPerSecond = 12
	limitBurst     = 12
	// limitWindow, limitExcess and limitSlack are the settings' defaults.
	limitWindow = 5 * time.Second
	limitExcess = 0.1
	limitSlack  = 20
	// limitedShare is that one client in so many is of the limited workspace.
	limitedShare = 4
	// heldBack is how long a stalled link or a paused process holds requests back that
	// then arrive with those that follow.
	heldBack = 3 * time.Second
)

func workspaces() []any {
	return []any{
		map[string]any{"name": openWorkspace, "apiKeys": []string{keyOf(openWorkspace)}, "priority": 1},
		map[string]any{
			"name": limitedWorkspace, "apiKeys": []string{keyOf(limitedWorkspace)}, "priority": 1,
			"ratePerS": limitPerSecond, "burst": limitBurst,
		},
	}
}

// keyOf returns the key of a workspace.
func keyOf(workspace string) string { return "key-of-" + workspace }

// workspaceOf returns the workspace of a client.
func workspaceOf(client int) string {
	if client%limitedShare == limitedShare-1 {
		return limitedWorkspace
	}
	return openWorkspace
}

// checkWorkspace checks that a target was told the holder of the caller's key, and
// never the key.
func (w *world) checkWorkspace(r attemptRecord, run standin.Run) {
	if run.Workspace != r.workspace {
		w.promises.broken("request %s of workspace %s was told to be of %q at %s", r.id, r.workspace, run.Workspace, run.Target)
	}
	if run.Key != "" {
		w.promises.broken("request %s brought its key to %s", r.id, run.Target)
	}
}

// checkLimit checks the limit in each window over all boxes and targets.
func (w *world) checkLimit(records []attemptRecord) {
	var runs []time.Time
	for _, r := range records {
		if r.workspace != limitedWorkspace {
			continue
		}
		for _, run := range w.ledger.Runs(r.id) {
			runs = append(runs, run.At)
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	seconds := (limitWindow + heldBack).Seconds()
	most := int((limitPerSecond*seconds+limitBurst)*(1+limitExcess) + limitSlack)
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; n > most {
			w.promises.broken("%d requests of a limited workspace ran within %s, at most %d may", n, limitWindow, most)
			return
		}
	}
}
