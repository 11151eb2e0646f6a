// Package caller is how a caller talks to the system: the names of the
// headers, the answer of a look-up, and a client that looks up entry boxes,
// caches the answer, carries deadlines and request keys and resends safely.
package caller

import "time"

// Headers of requests.
const (
	// HeaderKey carries the request key of a request that may not be repeated.
	HeaderKey = "Ledgesill-Request-Key"
	// HeaderDeadline is the time that is left for the request, in milliseconds.
	HeaderDeadline = "Ledgesill-Deadline-Millis"
	// HeaderRepeatable is "true" for a request that may run more than once
	// though its method does not say so, "false" for one that may not.
	HeaderRepeatable = "Ledgesill-Repeatable"
	// HeaderHome and HeaderBlock say where the caller comes from.
	HeaderHome  = "Ledgesill-Home"
	HeaderBlock = "Ledgesill-Block"
	// HeaderRequestID names the request in the time line.
	HeaderRequestID = "Ledgesill-Request-Id"
)

// Headers of answers.
const (
	// HeaderOutcome is ran, notRun or unknown.
	HeaderOutcome = "Ledgesill-Outcome"
	// HeaderReason says why a request did not run or is unknown.
	HeaderReason = "Ledgesill-Reason"
	// HeaderRetryAfter says when to come back, in milliseconds; Retry-After
	// says the same in whole seconds.
	HeaderRetryAfter = "Ledgesill-Retry-After-Millis"
	// HeaderTarget names the target that ran the request.
	HeaderTarget = "Ledgesill-Target"
	// HeaderLeaving is 1 in the answers of a target that leaves.
	HeaderLeaving = "Ledgesill-Leaving"
	// HeaderLimit is how many requests a second the target that answered takes from all
	// boxes together, for as long as its answers say so.
	HeaderLimit = "Ledgesill-Limit"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes. NotRun is said only when the request surely did not run.
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

// LookupAnswer is the answer of GET /v1/lookup?service=&home=&block=.
type LookupAnswer struct {
	Service string `json:"service"`
	// Version is the version of the state that the answer comes from.
	Version uint64 `json:"version"`
	// TTLMillis is how long the answer may be kept.
	TTLMillis int64 `json:"ttlMillis"`
	// KeyScope begins the request keys of the time in which the answer is
	// kept: a key is the scope, "~" and a part of the caller's own.
	KeyScope string `json:"keyScope"`
	// Boxes are the entry boxes to use, best first.
	Boxes []Box `json:"boxes"`
}

// TTL returns how long the answer may be kept.
func (a LookupAnswer) TTL() time.Duration { return time.Duration(a.TTLMillis) * time.Millisecond }

// LookupPath is the path of a look-up, ServicePrefix begins the path of a
// request: the service, a slash and the path at the target follow.
const (
	LookupPath    = "/v1/lookup"
	ServicePrefix = "/s/"
)
