package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const copyBufferSize = 64 << 10

// handler serves callers and the requests that other entry boxes forward.
func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+caller.LookupPath, d.serveLookup)
	mux.HandleFunc(caller.ServicePrefix, d.serveRequest)
	return mux
}

func (d *Daemon) serveLookup(w http.ResponseWriter, h *http.Request) {
	active := d.current.Load()
	query := h.URL.Query()
	service := query.Get("service")
	if !active.table.HasService(service) {
		a := &answer{outcome: caller.NotRun, status: http.StatusNotFound, reason: fmt.Sprintf("there is no service %q", service)}
		a.writeHeader(w)
		return
	}
	home := query.Get("home")
	if home == "" {
		home = d.config.Region
	}
	out := caller.LookupAnswer{Service: service, Version: active.state.Version(), KeyScope: d.keys.scope()}
	ttl := time.Duration(0)
	for _, c := range active.table.Choose(service, home, query.Get("block"), maxLookupBoxes, d.usable) {
		if len(out.Boxes) >= maxLookupBoxes {
			break
		}
		for _, b := range d.holderFirst(service, c.Boxes) {
			out.Boxes = append(out.Boxes, caller.Box{Name: b.Name, Address: b.CallerAddress, Region: b.Region, Zone: b.Zone})
		}
		if ttl == 0 {
			s, _ := active.table.Service(service, c.Zone)
			ttl = s.Values.AnswerTTL
		}
	}
	if len(out.Boxes) == 0 {
		refusal("no entry box is in service", retryWithoutPool).writeHeader(w)
		return
	}
	if len(out.Boxes) > maxLookupBoxes {
		out.Boxes = out.Boxes[:maxLookupBoxes]
	}
	out.TTLMillis = ttl.Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the caller gets a truncated response
}

// maxLookupBoxes is the maximum number of boxes in one lookup answer.
const maxLookupBoxes = 6

// holderFirst moves the box that holds the pool's lease to the front of the boxes of its
// zone, which saves callers a hop.
func (d *Daemon) holderFirst(service string, boxes []settings.Box) []settings.Box {
	if len(boxes) < 2 || boxes[0].Zone != d.config.Zone {
		return boxes
	}
	b, ok := d.holder(service)
	if !ok || b.Name == boxes[0].Name || !d.usable(b) {
		return boxes
	}
	out := []settings.Box{b}
	for _, other := range boxes {
		if other.Name != b.Name {
			out = append(out, other)
		}
	}
	return out
}

func (d *Daemon) defaultTimeout(service string) time.Duration {
	active := d.current.Load()
	if s, ok := active.table.Service(service, d.config.Zone); ok {
		return s.Values.RequestTimeout
	}
	return active.tree.Service(d.config.Region, d.config.Zone, service).Values.RequestTimeout
}

func (d *Daemon) serveRequest(w http.ResponseWriter, h *http.Request) {
	if !d.stop.admitRequest(&d.inFlight) {
		w.Header().Set("Connection", "close")
		refusal("this entry box is stopping", minRetryAfter).writeHeader(w)
		return
	}
	defer d.inFlight.Add(-1)
	start := d.clock.Now()
	r, err := readRequest(start, h, d.defaultTimeout)
	if err != nil {
		d.writeAnswer(w, h, nil, invalid(err))
		return
	}
	if r.id == "" {
		r.id = d.config.Name + "-" + strconv.FormatUint(d.nextID.Add(1), 10)
	}
	a := d.serve(h.Context(), r)
	d.writeAnswer(w, h, r, a)
	d.latency.WithLabelValues(r.service).Observe(d.clock.Since(start).Seconds())
}

func (d *Daemon) serve(ctx context.Context, r *request) *answer {
	if r.key != "" && !r.repeatable {
		return d.keys.serve(ctx, r)
	}
	return d.dispatch(ctx, r)
}

// writeAnswer writes the answer. If the stream of a large response breaks, the rest is
// requested again. If that fails, the connection is aborted so that the caller can't take a
// truncated response for a complete one.
func (d *Daemon) writeAnswer(w http.ResponseWriter, h *http.Request, r *request, a *answer) {
	service := ""
	if r != nil {
		service = r.service
		d.recordOutcome(r, a)
	}
	d.requests.WithLabelValues(service, string(a.outcome)).Inc()
	a.writeHeader(w)
	n, err := w.Write(a.body)
	if err != nil || a.stream == nil {
		a.discard()
		return
	}
	if err := d.copyStream(h.Context(), w, r, a, int64(n)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordOutcome adds a request to the timeline unless it is repeatable and ran.
func (d *Daemon) recordOutcome(r *request, a *answer) {
	if a.outcome == caller.Ran && r.repeatable {
		return
	}
	detail := fmt.Sprintf("%s %s %s", r.service, a.outcome, a.reason)
	d.process.Event(&wire.TimelineEvent{Kind: "request", Request: r.id, Detail: detail})
}

// copyStream copies the rest of a response of which written bytes have been sent.
func (d *Daemon) copyStream(ctx context.Context, w io.Writer, r *request, a *answer, written int64) error {
	etag := a.resumeETag(r)
	buffer := make([]byte, copyBufferSize)
	for attempt := 1; ; attempt++ {
		n, err := io.CopyBuffer(onlyWriter{w}, a.stream, buffer)
		written += n
		_ = a.stream.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if etag == "" || attempt >= maxResumes {
			return err
		}
		next, resumeErr := d.resume(ctx, r, written, etag)
		if resumeErr != nil {
			return errors.Join(err, resumeErr)
		}
		n2, err := w.Write(next.body)
		written += int64(n2)
		if err != nil || next.stream == nil {
			next.discard()
			return err
		}
		a = next
	}
}

// maxResumes is how often one response may be resumed.
const maxResumes = 4

// onlyWriter hides the other methods of a response writer, so that io.CopyBuffer uses the
// given buffer and returns the error of a failed read.
type onlyWriter struct{ io.Writer }

func (d *Daemon) resume(ctx context.Context, r *request, offset int64, etag string) (*answer, error) {
	next := d.dispatch(ctx, r.withRange(offset, etag))
	if next.outcome != caller.Ran || !next.isContinuation(offset, etag) {
		next.discard()
		return nil, fmt.Errorf("cannot resume at byte %d: %s %s", offset, next.outcome, next.reason)
	}
	d.retries.WithLabelValues(r.service).Inc()
	d.process.Event(&wire.TimelineEvent{Kind: "resumed", Request: r.id, Detail: fmt.Sprintf("from byte %d", offset)})
	return next, nil
}
