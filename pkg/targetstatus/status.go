// Package targetstatus decodes what a target reports about itself in the headers of a
// response, into one value for each kind of entry box and each header format.
//
// Every field has a scope. A field about this box (load, back-off) stays at the box that
// received the response; a field about all boxes (limit, leaving) is forwarded to the
// others. All fields belong to one incarnation of the target and end with it.
package targetstatus

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Load is how busy a target is with the requests of all boxes.
type Load struct {
	// Running and Waiting count requests, Slots how many the target runs concurrently.
	Running int
	Waiting int
	Slots   int
	// WorkTime is how long work takes there at this moment, in percent of the usual; zero if the
	// target does not report it. It may change many times a second.
	WorkTime int
}

// Status is what one response reports about its target.
type Status struct {
	// NotRun is true if the target did not run the request. It concerns this request only.
	NotRun bool
	// Load is valid if HasLoad. It covers all boxes and becomes outdated within seconds.
	Load    Load
	HasLoad bool
	// WorkTimeUnusable is set if the load has a work time that can't be used.
	WorkTimeUnusable bool
	// WarmupRemaining is how much longer the target is warming up; zero if it does not
	// report that.
	WarmupRemaining time.Duration
	// Limit is how many requests per second the target accepts from all boxes together, if
	// HasLimit. It ends with a response that has none.
	Limit    float64
	HasLimit bool
	// Leaving tells all boxes that the target is about to shut down. It ends with the
	// incarnation.
	Leaving bool
	// BackOff is how long this box must not send requests to the target, starting at the
	// response; zero for no back-off. A later, shorter one does not end it sooner.
	BackOff time.Duration
	// limitUnparsed is true if there was a limit that could not be parsed.
	limitUnparsed bool
	// Unparsed lists the headers that could not be parsed. Their fields are empty.
	Unparsed []string
}

// ReportsLimit reports whether the response states the limit or that there is none. A
// rejection without a limit does not withdraw an earlier one, nor does a limit that can't
// be parsed.
func (s Status) ReportsLimit() bool {
	return s.HasLimit || !s.NotRun && !s.limitUnparsed && s.BackOff == 0
}

// ReportedLoad returns the load, or nil if the response reports none.
func (s Status) ReportedLoad() *Load {
	if !s.HasLoad {
		return nil
	}
	return &s.Load
}

// Headers holds the names of the headers that targets use, and the parsers of those with
// a format of their own. A parser returns false for a value that it can't parse.
type Headers struct {
	NotRun          string
	Load            string
	WarmupRemaining string
	Limit           string
	Leaving         string

	ParseLoad   func(text string) (l Load, ok bool)
	ParseWarmup func(text string) (left time.Duration, ok bool)
}

// Decode returns what a response with a status code reports about its target. timeOfDay
// returns the time at which the response arrived; a Retry-After date is relative to it
// unless the response has a Date of its own.
//
// A response with status 421 comes from another target than the request was meant for: it
// means that the request did not run, and says nothing about the target.
func (h Headers) Decode(code int, header http.Header, timeOfDay func() time.Time) Status {
	if code == http.StatusMisdirectedRequest {
		return Status{NotRun: true}
	}
	s := Status{NotRun: header.Get(h.NotRun) != ""}
	if text := header.Get(h.Load); text != "" {
		s.Load, s.HasLoad = h.ParseLoad(text)
		s.recordUnparsed(h.Load, s.HasLoad)
		s.WorkTimeUnusable = s.HasLoad && s.Load.WorkTime == 0 && hasWorkTime(text)
	}
	if text := header.Get(h.WarmupRemaining); text != "" {
		left, ok := h.ParseWarmup(text)
		s.WarmupRemaining = max(left, 0)
		s.recordUnparsed(h.WarmupRemaining, ok)
	}
	if text := header.Get(h.Limit); text != "" {
		s.Limit, s.HasLimit = ParseLimit(text)
		s.limitUnparsed = !s.HasLimit
		s.recordUnparsed(h.Limit, s.HasLimit)
	}
	if text := header.Get(h.Leaving); text != "" {
		leaving, err := strconv.ParseBool(strings.TrimSpace(text))
		s.Leaving = leaving
		s.recordUnparsed(h.Leaving, err == nil)
	}
	if text := header.Get(retryAfter); text != "" && code == http.StatusServiceUnavailable {
		backOff, ok := parseRetryAfter(text, header.Get("Date"), timeOfDay)
		s.BackOff = backOff
		s.recordUnparsed(retryAfter, ok)
	}
	return s
}

func (s *Status) recordUnparsed(header string, ok bool) {
	if !ok {
		s.Unparsed = append(s.Unparsed, header)
	}
}
