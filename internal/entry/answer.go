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

// answer is the final answer to a request. A small answer is whole in body; the
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

// smallAnswer is up to which size an answer is read whole before it is passed
// on, so that a target's death before its end can still be made good.
const smallAnswer = 64 << 10

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

// discard lets go of an answer that nobody wants.
func (a *answer) discard() {
	if a != nil && a.stream != nil {
		_ = a.stream.Close()
	}
}

// resumable returns the strong ETag by which the rest of a broken answer can be
// asked for, or the empty string.
func (a *answer) resumable(r *request) string {
	etag := a.header.Get("Etag")
	strong := strings.HasPrefix(etag, `"`)
	whole := a.status == http.StatusOK && r.header.Get("Range") == ""
	if r.method != http.MethodGet || !r.repeatable || !whole || !strong || a.header.Get("Accept-Ranges") != "bytes" {
		return ""
	}
	return etag
}

// continues reports whether an answer is the rest of a broken one.
func (a *answer) continues(offset int64, etag string) bool {
	begins := strings.HasPrefix(a.header.Get("Content-Range"), fmt.Sprintf("bytes %d-", offset))
	return a.status == http.StatusPartialContent && begins && a.header.Get("Etag") == etag
}

// writeHead writes status and headers.
func (a *answer) writeHead(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	for _, name := range hopByHop {
		w.Header().Del(name)
	}
	w.Header().Set(caller.HeaderOutcome, string(a.outcome))
	if a.reason != "" {
		w.Header().Set(caller.HeaderReason, strings.Map(printable, a.reason))
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

func printable(r rune) rune {
	if r < ' ' || r > '~' {
		return ' '
	}
	return r
}

// stored returns the answer as it is kept with a request key.
func (a *answer) stored() *wire.StoredAnswer {
	out := &wire.StoredAnswer{Status: uint32(a.status), Body: a.body, Target: a.target}
	for name, values := range a.header {
		for _, v := range values {
			out.Header = append(out.Header, &wire.HeaderLine{Name: name, Value: v})
		}
	}
	return out
}

// fromStored returns a kept answer, or one that only says that the request ran
// if the answer itself was too large to be kept.
func fromStored(s *wire.StoredAnswer) *answer {
	if s == nil {
		return &answer{outcome: caller.Ran, status: http.StatusGone, reason: "it ran; its answer was too large to be kept"}
	}
	a := &answer{outcome: caller.Ran, status: int(s.Status), header: make(http.Header), body: s.Body, target: s.Target}
	for _, l := range s.Header {
		a.header.Add(l.Name, l.Value)
	}
	return a
}
