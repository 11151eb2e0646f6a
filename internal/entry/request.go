package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
)

// Headers between entry boxes.
const (
	headerHops    = "Ledgesill-Hops"
	headerForeign = "Ledgesill-Foreign"
	headerNoWait  = "Ledgesill-No-Wait"
)

const (
	maxBody = 8 << 20
	// maxHops limits how often a request is forwarded from box to box: to the owner of its key, to
	// another zone, and to the holder of the pool's lease there.
	maxHops = 3
)

// request is a caller's request, as read from HTTP.
type request struct {
	id         string
	service    string
	method     string
	path       string // with query, as sent to the target
	header     http.Header
	body       []byte
	repeatable bool
	deadline   time.Time
	home       string
	block      string
	key        string
	hops       int
	// foreign tells that the caller is assigned to another region than the one that serves the
	// request. The box that received the request from its caller determines it, and each box that
	// forwards the request to another region does so again.
	foreign    bool
	foreignSet bool
	// noWait asks for a slot or a refusal at once, without queueing.
	noWait bool
}

// requestError describes why a request is invalid. Such a request did not run.
type requestError struct {
	status int
	text   string
}

// Error implements error.
func (e *requestError) Error() string { return e.text }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// readRequest reads a request with its entire body.
func readRequest(now time.Time, h *http.Request, defaultTimeout func(service string) time.Duration) (*request, error) {
	path := strings.TrimPrefix(h.URL.Path, caller.ServicePrefix)
	service, _, _ := strings.Cut(path, "/")
	if service == "" {
		return nil, badRequest("the path must be %sservice/path", caller.ServicePrefix)
	}
	r := &request{
		id:      h.Header.Get(caller.HeaderRequestID),
		service: service,
		method:  h.Method,
		path:    strings.TrimPrefix(h.URL.RequestURI(), caller.ServicePrefix+service),
		header:  h.Header.Clone(),
		home:    h.Header.Get(caller.HeaderHome),
		block:   h.Header.Get(caller.HeaderBlock),
		key:     h.Header.Get(caller.HeaderKey),
	}
	if r.path == "" || r.path[0] != '/' {
		r.path = "/" + r.path
	}
	var err error
	if r.repeatable, err = readRepeatable(h); err != nil {
		return nil, err
	}
	timeout, err := readMillis(h, caller.HeaderDeadline, defaultTimeout(service))
	if err != nil {
		return nil, err
	}
	r.deadline = now.Add(timeout)
	if hops := h.Header.Get(headerHops); hops != "" {
		if r.hops, err = strconv.Atoi(hops); err != nil {
			return nil, badRequest("header %s: %q is not a number", headerHops, hops)
		}
	}
	if foreign := h.Header.Get(headerForeign); foreign != "" {
		r.foreign = foreign == "true"
		r.foreignSet = true
	}
	r.noWait = h.Header.Get(headerNoWait) == "true"
	return r, r.readBody(h)
}

func (r *request) readBody(h *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(h.Body, maxBody+1))
	if err != nil {
		return badRequest("the body is cut short: %v", err)
	}
	if len(body) > maxBody {
		return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body has more than %d bytes", maxBody)}
	}
	r.body = body
	return nil
}

func readRepeatable(h *http.Request) (bool, error) {
	switch v := h.Header.Get(caller.HeaderRepeatable); v {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		return h.Method == http.MethodGet || h.Method == http.MethodHead || h.Method == http.MethodOptions, nil
	default:
		return false, badRequest("header %s: %q is not true or false", caller.HeaderRepeatable, v)
	}
}

func readMillis(h *http.Request, header string, fallback time.Duration) (time.Duration, error) {
	text := h.Header.Get(header)
	if text == "" {
		return fallback, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, badRequest("header %s: %q is not a positive number of milliseconds", header, text)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func (r *request) class() admission.Class {
	if r.repeatable {
		return admission.Repeatable
	}
	return admission.Unrepeatable
}

// digest distinguishes a resend from a different request with the same key.
func (r *request) digest() uint64 {
	d := xxhash.New()
	fmt.Fprintf(d, "%s\n%s\n%s\n%d\n", r.service, r.method, r.path, len(r.body))
	_, _ = d.Write(r.body) // a hash never returns an error
	return d.Sum64()
}

// withRange returns a request for the rest of a resource from an offset on.
func (r *request) withRange(offset int64, etag string) *request {
	next := *r
	next.header = r.header.Clone()
	next.header.Set("Range", fmt.Sprintf("bytes=%d-", offset))
	next.header.Set("If-Range", etag)
	return &next
}

// withoutKey returns the request that the owner of its key dispatches. Without the key, a box
// that it is forwarded to does not send it back to the owner.
func (r *request) withoutKey() *request {
	next := *r
	next.key = ""
	next.header = r.header.Clone()
	next.header.Del(caller.HeaderKey)
	return &next
}

// internalHeaders are used within the system and are not sent to targets.
var internalHeaders = []string{
	caller.HeaderKey, caller.HeaderRepeatable, caller.HeaderHome, caller.HeaderBlock, headerHops, headerForeign, headerNoWait,
}

// hopByHopHeaders apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// replayTriggers are headers that make http.Transport retry a request by itself. They are sent
// in lower case, which the transport does not recognize.
var replayTriggers = []string{"Idempotency-Key", "X-Idempotency-Key"}

// targetRequest returns the HTTP request to be sent to a target.
func (r *request) targetRequest(now time.Time, address string) (*http.Request, error) {
	h, err := http.NewRequest(r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("making the request for the target: %w", err)
	}
	h.Header = r.header.Clone()
	for _, name := range internalHeaders {
		h.Header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		h.Header.Del(name)
	}
	r.setOutgoingHeaders(now, h)
	return h, nil
}

// peerRequest returns the HTTP request to be sent to another entry box.
func (r *request) peerRequest(now time.Time) (*http.Request, error) {
	h, err := http.NewRequest(r.method, "http://peer"+caller.ServicePrefix+r.service+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("making the request for another entry box: %w", err)
	}
	h.Header = r.header.Clone()
	for _, name := range hopByHopHeaders {
		h.Header.Del(name)
	}
	h.Header.Set(headerHops, strconv.Itoa(r.hops+1))
	h.Header.Set(headerForeign, strconv.FormatBool(r.foreign))
	h.Header.Set(headerNoWait, strconv.FormatBool(r.noWait))
	h.Header.Set(caller.HeaderRepeatable, strconv.FormatBool(r.repeatable))
	r.setOutgoingHeaders(now, h)
	return h, nil
}

func (r *request) setOutgoingHeaders(now time.Time, h *http.Request) {
	h.ContentLength = int64(len(r.body))
	if len(r.body) == 0 {
		h.Body = http.NoBody
	}
	h.Header.Set(caller.HeaderDeadline, strconv.FormatInt(max(r.deadline.Sub(now).Milliseconds(), 1), 10))
	h.Header.Set(caller.HeaderRequestID, r.id)
	if r.repeatable {
		return
	}
	h.GetBody = nil
	for _, name := range replayTriggers {
		if v, ok := h.Header[name]; ok {
			delete(h.Header, name)
			h.Header[strings.ToLower(name)] = v
		}
	}
}
