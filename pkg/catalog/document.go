// Package catalog is the replicated knowledge about the work that is steered:
// the document of routes, the evacuated availability zones and the
// registrations of the targets. State is an immutable value without I/O that
// control replicas and entry boxes advance by the same commands.
package catalog

import (
	"fmt"
	"strings"
	"time"
)

// Repeat says how often a request of a route may run.
type Repeat int

// The kinds of routes.
const (
	// Unrepeatable requests run at most once.
	Unrepeatable Repeat = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Download requests may run more than once and have large answers.
	Download
)

// String returns the name as it stands in documents and logs.
func (r Repeat) String() string {
	return repeatNames[r]
}

// Destination is a service that takes a share of a route's requests.
type Destination struct {
	Service string
	// Weight is the share relative to the other destinations of the route.
	Weight float64
}

// Route says where the requests below a path go and how they are treated.
type Route struct {
	Name string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Objective is the latency at which an answer is still on time.
	Objective time.Duration
	// Priority is the rank among routes; 0 is served first.
	Priority int
	// Affinity tells that targets serve an object faster when they saw it lately.
	Affinity     bool
	Destinations []Destination
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// MaxAttempts is how many targets one request may be sent to.
	MaxAttempts int
	// Regions are the only ones that may serve the route; all if it is empty.
	Regions []string
	// Public tells that requests need no key of a workspace.
	Public bool
}

// Host holds the routes of one host name.
type Host struct {
	Name   string
	Routes []Route
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one target takes of all boxes together.
	MaxConnections int
	// ColdTime is how long a target stays cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold target bears.
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long a header may take to arrive.
	HeaderTime time.Duration
	// IdleTime is how long a connection may rest between requests.
	IdleTime time.Duration
}

// Document is a decoded document of routes.
type Document struct {
	// Number grows from document to document; Base is the number of the
	// document that this one was made against.
	Number   uint64
	Base     uint64
	Limits   Limits
	Hosts    []Host
	Services []Service
	// Workspaces are those whose keys requests must carry; without any no
	// request needs a key.
	Workspaces []Workspace
}

// MaxTimeout is the longest time-out that a route may have (the users' rule).
const MaxTimeout = 10 * time.Minute

// InvalidError says what is wrong with a document, and with which of its routes
// or workspaces.
type InvalidError struct {
	Route     string
	Workspace string
	Reason    string
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

// Check reports the first thing that is wrong with the document by itself.
func (d Document) Check() error {
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			return &InvalidError{Reason: "a service has no name"}
		}
		if known[s.Name] {
			return &InvalidError{Reason: fmt.Sprintf("service %q stands twice", s.Name)}
		}
		known[s.Name] = true
	}
	for _, h := range d.Hosts {
		prefixes := make(map[string]bool, len(h.Routes))
		for _, r := range h.Routes {
			if err := r.check(known); err != nil {
				return err
			}
			if prefixes[r.Prefix] {
				return &InvalidError{Route: r.Name, Reason: fmt.Sprintf("prefix %q stands twice at host %q", r.Prefix, h.Name)}
			}
			prefixes[r.Prefix] = true
		}
	}
	return d.checkWorkspaces()
}

func (r Route) check(services map[string]bool) error {
	fail := func(format string, args ...any) error {
		return &InvalidError{Route: r.Name, Reason: fmt.Sprintf(format, args...)}
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fail("prefix %q does not begin with a slash", r.Prefix)
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		return fail("time-out %s is not above 0 and at most %s", r.Timeout, MaxTimeout)
	}
	sum := 0.0
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return fail("service %q is not known", d.Service)
		}
		if d.Weight < 0 {
			return fail("the weight of %s is below 0", d.Service)
		}
		sum += d.Weight
	}
	if sum <= 0 {
		return fail("the weights sum to 0")
	}
	return nil
}

// Match returns the route of one request. Who asks for many builds a Table.
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
