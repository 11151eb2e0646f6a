// Package targetstatus has what a target says of itself in the head of an answer: one
// value, decoded in one place, for each kind of entry box and each interface.
//
// Every field has a scope. A field about this box (load, back-off) stays with the box that
// got the answer; a field about all boxes (limit, leaving) is passed on to the others. All
// of them are bound to one incarnation of the target and end with it.
package targetstatus

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Load is how busy a target is, all boxes together.
type Load struct {
	// Running and Waiting are requests, Slots how many it runs at once.
	Running int
	Waiting int
	Slots   int
}

// Status is what one answer says of its target.
type Status struct {
	// NotRun tells that the target did not run the request. It is about this request.
	NotRun bool
	// Load holds if HasLoad. It is about all boxes and fades within seconds.
	Load    Load
	HasLoad bool
	// WarmupRemaining is how much longer the target is cold; zero if it does not say so.
	WarmupRemaining time.Duration
	// Limit is how many requests a second the target takes from all boxes together, if
	// HasLimit. It ends with an answer that has none.
	Limit    float64
	HasLimit bool
	// Leaving tells all boxes that the target leaves. It ends with the incarnation.
	Leaving bool
	// BackOff is for how long this box is to send the target nothing, counted from the
	// answer; zero for no such request. A later, shorter one does not end it sooner.
	BackOff time.Duration
	// limitUnreadable tells that a limit was named that could not be read.
	limitUnreadable bool
	// Unparsed are the names of headers that could not be read. Their fields are empty.
	Unparsed []string
}

// ReportsLimit reports whether the answer tells what the limit is, none included. A rejection
// without a limit does not take an earlier one back, nor does a limit that can't be read.
func (s Status) ReportsLimit() bool {
	return s.HasLimit || !s.NotRun && !s.limitUnreadable && s.BackOff == 0
}

// ReportedLoad returns the load, nil if the answer tells none.
func (s Status) ReportedLoad() *Load {
	if !s.HasLoad {
		return nil
	}
	return &s.Load
}

// Headers names the headers in which targets say these things, and reads those that have a
// format of their own; ok is false if they can't be read.
type Headers struct {
	NotRun          string
	Load            string
	WarmupRemaining string
	Limit           string
	Leaving         string

	ParseLoad   func(text string) (l Load, ok bool)
	ParseWarmup func(text string) (left time.Duration, ok bool)
}

// Decode returns what an answer with a status code says of its target. The time of day is
// that at which the answer came; a Retry-After that is a date counts from it unless the
// answer has a date of its own.
//
// An answer with status 421 comes from another target than the request was meant for: it
// says that the request did not run, and nothing of the target.
func (h Headers) Decode(code int, header http.Header, timeOfDay func() time.Time) Status {
	if code == http.StatusMisdirectedRequest {
		return Status{NotRun: true}
	}
	s := Status{NotRun: header.Get(h.NotRun) != ""}
	if text := header.Get(h.Load); text != "" {
		s.Load, s.HasLoad = h.ParseLoad(text)
		s.logUnread(h.Load, s.HasLoad)
	}
	if text := header.Get(h.WarmupRemaining); text != "" {
		left, ok := h.ParseWarmup(text)
		s.WarmupRemaining = max(left, 0)
		s.logUnread(h.WarmupRemaining, ok)
	}
	if text := header.Get(h.Limit); text != "" {
		s.Limit, s.HasLimit = ParseLimit(text)
		s.limitUnreadable = !s.HasLimit
		s.logUnread(h.Limit, s.HasLimit)
	}
	if text := header.Get(h.Leaving); text != "" {
		leaving, err := strconv.ParseBool(strings.TrimSpace(text))
		s.Leaving = leaving
		s.logUnread(h.Leaving, err == nil)
	}
	if text := header.Get(retryAfter); text != "" && code == http.StatusServiceUnavailable {
		backOff, ok := parseRetryAfter(text, header.Get("Date"), timeOfDay)
		s.BackOff = backOff
		s.logUnread(retryAfter, ok)
	}
	return s
}

func (s *Status) logUnread(header string, ok bool) {
	if !ok {
		s.Unparsed = append(s.Unparsed, header)
	}
}
