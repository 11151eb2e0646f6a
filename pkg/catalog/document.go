// Package catalog holds the replicated state that requests are routed by: the
// routes document, the evacuated availability zones, the registered targets, the
// quarantined requests and the roll-outs of versions. State is an immutable value without I/O; control
// replicas and entry boxes advance it by applying the same commands.
package catalog

import (
	"fmt"
	"iter"
	"math"
	"strings"
	"time"
)

// Repeat classifies the requests of a route by whether they are safe to retry.
type Repeat int

// The values of Repeat.
const (
	// Unrepeatable requests must run at most once.
	Unrepeatable Repeat = iota
	// Repeatable requests are idempotent: they may run more than once.
	Repeatable
	// Download requests are idempotent and have large responses.
	Download
)

// String returns the name that documents and logs use.
func (r Repeat) String() string {
	return repeatNames[r]
}

// Destination is a service that receives a share of a route's requests.
type Destination struct {
	Service string
	// Weight is relative to the other destinations of the route.
	Weight float64
}

// Route maps the requests below a path prefix to services and sets how they are
// handled.
type Route struct {
	Name string
	// Prefix starts and ends with a slash.
	Prefix string
	Repeat Repeat
	// Objective is the latency objective: a response within it is on time.
	Objective time.Duration
	// Priority ranks the routes; 0 is the highest priority.
	Priority int
	// Affinity marks routes whose targets answer faster for an object that they served
	// recently.
	Affinity     bool
	Destinations []Destination
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// Regions restricts the route to these regions; empty means all.
	Regions []string
	// Public routes accept requests without a workspace key.
	Public bool
}

// Host holds the routes of one hostname.
type Host struct {
	Name   string
	Routes []Route
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one target, over all boxes together.
	MaxConnections int
	// ColdTime is how long a target counts as cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests per second a cold target can handle.
	ColdRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a header and a body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the timeout for receiving a header.
	HeaderTime time.Duration
	// IdleTime is how long a connection may be idle between requests.
	IdleTime time.Duration
}

// Document is a decoded routes document.
type Document struct {
	// Number increases with each document. Base is the number of the document that this
	// one was derived from.
	Number   uint64
	Base     uint64
	Limits   Limits
	Hosts    []Host
	Services []Service
	// Workspaces lists the customers. A request needs a key of one of them, except on
	// public routes; if the list is empty no request needs a key.
	Workspaces []Workspace
}

// MaxTimeout is the longest timeout that a route may have, as the users require.
const MaxTimeout = 10 * time.Minute

// Rule names a rule that a valid document follows. The names are stable, so that programs
// may go by them.
type Rule string

// The rules of a document.
const (
	RuleServiceName    Rule = "serviceName"
	RuleServiceTwice   Rule = "serviceTwice"
	RulePrefixSlash    Rule = "prefixSlash"
	RulePrefixTwice    Rule = "prefixTwice"
	RuleTimeoutRange   Rule = "timeoutRange"
	RuleServiceUnknown Rule = "serviceUnknown"
	RuleWeightNegative Rule = "weightNegative"
	RuleWeightSum      Rule = "weightSum"
	RuleWorkspaceName  Rule = "workspaceName"
	RuleWorkspaceText  Rule = "workspaceControlCharacter"
	RuleWorkspaceTwice Rule = "workspaceTwice"
	RuleRateRange      Rule = "rateRange"
	RuleBurstRange     Rule = "burstRange"
	RuleKeyEmpty       Rule = "keyEmpty"
	RuleKeyRedacted    Rule = "keyRedacted"
	RuleKeyShared      Rule = "keyShared"
)

// InvalidError says why a document is invalid, and which route or workspace is at
// fault.
type InvalidError struct {
	Route     string
	Workspace string
	Reason    string
	// Rule is the rule that is broken; it is empty if a text can't be decoded.
	Rule Rule
	// Host is the index of the host in Document.Hosts if a route is at fault, otherwise 0.
	Host int
	// Index is the index in the list of services or workspaces, or in the routes of Host.
	Index int
}

// Error implements error.
func (e *InvalidError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("the document of routes is not valid: route %s: %s", e.Route, e.Reason)
	case e.Workspace != "":
		return fmt.Sprintf("the document of routes is not valid: workspace %s: %s", e.Workspace, e.Reason)
	}
	return "the document of routes is not valid: " + e.Reason
}

// Check validates the document on its own and returns the first error found, an
// InvalidError.
func (d Document) Check() error {
	for err := range d.Errors() {
		return err
	}
	return nil
}

// Errors returns all errors of the document on its own: those of services first, then
// those of routes and of workspaces, each in the order of the document.
func (d Document) Errors() iter.Seq[*InvalidError] {
	return func(yield func(*InvalidError) bool) {
		_ = d.checkServices(yield) && d.checkRoutes(yield) && d.checkWorkspaces(yield) // false: the caller needs no more
	}
}

// checkServices passes the errors of the services to yield until that returns false.
func (d Document) checkServices(yield func(*InvalidError) bool) bool {
	known := make(map[string]bool, len(d.Services))
	for i, s := range d.Services {
		if s.Name == "" && !yield(&InvalidError{Rule: RuleServiceName, Index: i, Reason: "a service has no name"}) {
			return false
		}
		if s.Name != "" && known[s.Name] &&
			!yield(&InvalidError{Rule: RuleServiceTwice, Index: i, Reason: fmt.Sprintf("service %q stands twice", s.Name)}) {
			return false
		}
		known[s.Name] = true
	}
	return true
}

// checkRoutes passes the errors of the routes to yield until that returns false.
func (d Document) checkRoutes(yield func(*InvalidError) bool) bool {
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		known[s.Name] = true
	}
	for i, h := range d.Hosts {
		prefixes := make(map[string]bool, len(h.Routes))
		for j, r := range h.Routes {
			fail := func(rule Rule, format string, args ...any) bool {
				return yield(&InvalidError{Route: r.Name, Host: i, Index: j, Rule: rule, Reason: fmt.Sprintf(format, args...)})
			}
			if !r.check(known, fail) {
				return false
			}
			if prefixes[r.Prefix] && !fail(RulePrefixTwice, "prefix %q stands twice at host %q", r.Prefix, h.Name) {
				return false
			}
			prefixes[r.Prefix] = true
		}
	}
	return true
}

// check passes the errors of a route to fail until that returns false.
func (r Route) check(services map[string]bool, fail func(rule Rule, format string, args ...any) bool) bool {
	if !strings.HasPrefix(r.Prefix, "/") && !fail(RulePrefixSlash, "prefix %q does not begin with a slash", r.Prefix) {
		return false
	}
	if (r.Timeout <= 0 || r.Timeout > MaxTimeout) &&
		!fail(RuleTimeoutRange, "time-out %s is not above 0 and at most %s", r.Timeout, MaxTimeout) {
		return false
	}
	sum := 0.0
	for _, d := range r.Destinations {
		if !services[d.Service] && !fail(RuleServiceUnknown, "service %q is not known", d.Service) {
			return false
		}
		if d.Weight < 0 && !fail(RuleWeightNegative, "the weight of %s is below 0", d.Service) {
			return false
		}
		sum += d.Weight
	}
	return sum > 0 || math.IsNaN(sum) || fail(RuleWeightSum, "the weights sum to 0")
}

// Match returns the route of one request. For repeated lookups build a Table.
func (d Document) Match(host, path string) (Route, bool) { return NewTable(d).Match(host, path) }

// Service returns a service by its name.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
