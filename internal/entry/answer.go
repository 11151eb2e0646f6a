package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// answer is the final answer to a request. A small response is held entirely in body; the
// rest of a large one is read from stream.
type answer struct {
	outcome    caller.Outcome
	reason     string
	retryAfter time.Duration
	status     int
	header     http.Header
	body       []byte
	stream     io.ReadCloser
	target     string
}

// maxBufferedAnswer is the largest response body that is read completely before any of it is
// forwarded. Until then the request can be retried on another target if this one fails.
const maxBufferedAnswer = 64 << 10

func refusal(reason string, retryAfter time.Duration) *answer {
	return &answer{outcome: caller.NotRun, reason: reason, retryAfter: retryAfter, status: http.StatusServiceUnavailable}
}

func unknown(reason string) *answer {
	return &answer{outcome: caller.Unknown, reason: reason, status: http.StatusGatewayTimeout}
}

func invalid(err error) *answer {
	status := http.StatusBadRequest
	var e *requestError
	if errors.As(err, &e) {
		status = e.status
	}
	return &answer{outcome: caller.NotRun, reason: err.Error(), status: status}
}

// discard closes an answer that is not used.
func (a *answer) discard() {
	if a != nil && a.stream != nil {
		_ = a.stream.Close()
	}
}

// resumeETag returns the strong ETag with which the rest of an interrupted response can be
// requested, or the empty string if it can't be resumed.
func (a *answer) resumeETag(r *request) string {
	etag := a.header.Get("Etag")
	strong := strings.HasPrefix(etag, `"`)
	whole := a.status == http.StatusOK && r.header.Get("Range") == ""
	if r.method != http.MethodGet || !r.repeatable || !whole || !strong || a.header.Get("Accept-Ranges") != "bytes" {
		return ""
	}
	return etag
}

// isContinuation reports whether the response carries the rest of the resource from offset on.
func (a *answer) isContinuation(offset int64, etag string) bool {
	begins := strings.HasPrefix(a.header.Get("Content-Range"), fmt.Sprintf("bytes %d-", offset))
	return a.status == http.StatusPartialContent && begins && a.header.Get("Etag") == etag
}

// writeHeader writes the status code and the headers.
func (a *answer) writeHeader(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	for _, name := range hopByHopHeaders {
		w.Header().Del(name)
	}
	w.Header().Set(caller.HeaderOutcome, string(a.outcome))
	if a.reason != "" {
		w.Header().Set(caller.HeaderReason, strings.Map(replaceUnprintable, a.reason))
	}
	if a.target != "" {
		w.Header().Set(caller.HeaderTarget, a.target)
	}
	if a.retryAfter > 0 {
		w.Header().Set(caller.HeaderRetryAfter, strconv.FormatInt(a.retryAfter.Milliseconds(), 10))
		w.Header().Set("Retry-After", strconv.FormatInt(int64((a.retryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(a.status)
}

func replaceUnprintable(r rune) rune {
	if r < ' ' || r > '~' {
		return ' '
	}
	return r
}

// stored returns the answer in the form that is stored with a request key.
func (a *answer) stored() *wire.StoredAnswer {
	out := &wire.StoredAnswer{Status: uint32(a.status), Body: a.body, Target: a.target}
	for name, values := range a.header {
		for _, v := range values {
			out.Header = append(out.Header, &wire.HeaderLine{Name: name, Value: v})
		}
	}
	return out
}

// answerFromStored converts a stored answer. A nil one means that the request ran but that
// its response was too large to be stored.
func answerFromStored(s *wire.StoredAnswer) *answer {
	if s == nil {
		return &answer{outcome: caller.Ran, status: http.StatusGone, reason: "it ran; its answer was too large to be kept"}
	}
	a := &answer{outcome: caller.Ran, status: int(s.Status), header: make(http.Header), body: s.Body, target: s.Target}
	for _, l := range s.Header {
		a.header.Add(l.Name, l.Value)
	}
	return a
}
