package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// A request that ends each target that runs it comes again and again, with another id
// each time, to any box.
const (
	fatalPath  = "/fatal"
	fatalPause = 300 * time.Millisecond
	// targetBack is after how long a target that ended under it is back.
	targetBack = 2 * time.Second
	// contactTime is within how long all boxes that nothing disturbs must know of it, and
	// fatalRetries how many more targets it may reach later than that.
	contactTime  = 4 * time.Second
	fatalRetries = 3
	// heldBody is what a caller gets whose request is kept from targets.
	heldBody = "quarantined"
)

// fatalCalls sends the request until the context ends and returns its ids.
func (w *world) fatalCalls(ctx context.Context) []string {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var ids []string
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("fatal%d-%d", w.run, n)
		box := w.entries[n%len(w.entries)]
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/safe%s", box.ip, callerPort, fatalPath), nil)
		if err != nil {
			w.promises.broken("%v", err)
			return ids
		}
		r.Host = "a.example"
		r.Header.Set("X-Ledgesill-Attempt-Id", id)
		r.Header.Set("X-Ledgesill-Request-Deadline", "2000")
		r.Header.Set("Api-Key", keyOf(openWorkspace))
		ids = append(ids, id)
		if answer, err := client.Do(r); err == nil {
			text, _ := io.ReadAll(answer.Body) // a broken one is none
			_ = answer.Body.Close()
			w.recordFatal(answer.StatusCode, text)
		}
		time.Sleep(fatalPause)
	}
	return ids
}

func (w *world) recordFatal(status int, text []byte) {
	kind := fmt.Sprint("fatal ", status)
	if bytes.HasPrefix(text, []byte(heldBody)) {
		kind = "fatal held"
	}
	w.counts.request(kind)
	if status == http.StatusOK {
		w.promises.broken("a request that ends its targets was answered")
	}
}

// checkFatal checks how often the request reached targets once nothing disturbed the boxes
// for contactTime and it had ended the third target as long ago.
func (w *world) checkFatal(ids []string, calmSince time.Time) {
	var runs []time.Time
	for _, id := range ids {
		for _, r := range w.ledger.Runs(id) {
			runs = append(runs, r.At)
		}
	}
	if len(runs) < 3 {
		return
	}
	since := calmSince
	if runs[2].After(since) {
		since = runs[2]
	}
	late := 0
	for _, at := range runs {
		if at.After(since.Add(contactTime + busySlack)) {
			late++
		}
	}
	if late > fatalRetries {
		w.promises.broken("a request under which %d targets ended reached %d of them later than %s after the third and the last fault", len(runs), late, contactTime)
	}
}

// replaceEnded has a target that ended under the request be back later, under another id.
func (w *world) replaceEnded(id string, x *proxy) {
	w.counts.fault("target ended under a request")
	x.close()
	time.Sleep(targetBack)
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if closed {
		return
	}
	if err := w.addTarget(); err != nil {
		w.promises.broken("after %s: %v", id, err)
	}
}

// traffics runs the clients and the calls of the request that ends targets.
func (w *world) traffics(ctx context.Context, clients int) (records []attemptRecord, fatal []string) {
	var running sync.WaitGroup
	running.Go(func() { fatal = w.fatalCalls(ctx) })
	records = w.traffic(ctx, clients)
	running.Wait()
	return records, fatal
}
