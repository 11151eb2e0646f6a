// Package caller implements the caller's side of the protocol: the names of the
// headers, the answer of a lookup, and a client that looks up entry boxes, caches the
// answer, sends deadlines and request keys, and resends requests safely.
package caller

import "time"

// Headers of requests.
const (
	// HeaderKey is the request key of a request that must not be repeated.
	HeaderKey = "Ledgesill-Request-Key"
	// HeaderDeadline is the time remaining for the request, in milliseconds.
	HeaderDeadline = "Ledgesill-Deadline-Millis"
	// HeaderRepeatable overrides what the method implies: "true" for a request that may
	// run more than once, "false" for one that must not.
	HeaderRepeatable = "Ledgesill-Repeatable"
	// HeaderHome and HeaderBlock are the home region and the block of the caller.
	HeaderHome  = "Ledgesill-Home"
	HeaderBlock = "Ledgesill-Block"
	// HeaderRequestID identifies the request in the timeline.
	HeaderRequestID = "Ledgesill-Request-Id"
)

// Headers of responses.
const (
	// HeaderOutcome is the Outcome of the request: ran, notRun or unknown.
	HeaderOutcome = "Ledgesill-Outcome"
	// HeaderReason explains why a request did not run or why its outcome is unknown.
	HeaderReason = "Ledgesill-Reason"
	// HeaderRetryAfter is the delay after which to retry, in milliseconds. Retry-After
	// has the same delay in whole seconds.
	HeaderRetryAfter = "Ledgesill-Retry-After-Millis"
	// HeaderTarget is the target that ran the request.
	HeaderTarget = "Ledgesill-Target"
	// HeaderLeaving is 1 in the responses of a target that is shutting down.
	HeaderLeaving = "Ledgesill-Leaving"
	// HeaderLimit is the number of requests per second that the responding target
	// accepts from all boxes together. It applies as long as the target's responses
	// contain it.
	HeaderLimit = "Ledgesill-Limit"
)

// Outcome is the result of a request.
type Outcome string

// The outcomes. NotRun is reported only if the request certainly did not run.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "notRun"
	Unknown Outcome = "unknown"
)

// Box is an entry box that a caller may use.
type Box struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// LookupAnswer is the response to GET /v1/lookup?service=&home=&block=.
type LookupAnswer struct {
	Service string `json:"service"`
	// Version is the version of the state from which the answer was computed.
	Version uint64 `json:"version"`
	// TTLMillis is how long the answer may be cached.
	TTLMillis int64 `json:"ttlMillis"`
	// KeyScope is the prefix of request keys while the answer is cached: a key is the
	// scope, "~" and a part chosen by the caller.
	KeyScope string `json:"keyScope"`
	// Boxes are the entry boxes to use, best first.
	Boxes []Box `json:"boxes"`
}

// TTL returns how long the answer may be cached.
func (a LookupAnswer) TTL() time.Duration { return time.Duration(a.TTLMillis) * time.Millisecond }

// LookupPath is the path of a lookup. ServicePrefix is the prefix of a request's path; the
// service, a slash and the path at the target follow.
const (
	LookupPath    = "/v1/lookup"
	ServicePrefix = "/s/"
)
