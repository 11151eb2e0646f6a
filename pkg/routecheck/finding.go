// Package routecheck examines routes documents before they are sent: it lists all errors for
// which control replicas would refuse a document, entries that can never match or serve,
// limits that contradict each other, and the differences from another document. It does no
// I/O, and what it returns contains no keys of workspaces.
package routecheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Severity ranks findings.
type Severity int

// The values of Severity.
const (
	// Note is a finding that is likely to be intended.
	Note Severity = iota
	// Warning is a finding in a document that is accepted but may not do what is intended.
	Warning
	// Error is a finding for which control replicas refuse the document.
	Error
)

var severityNames = []string{"note", "warning", "error"}

// String returns the name that texts use.
func (s Severity) String() string { return severityNames[s] }

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Place says where in a document a finding is. A field is empty if it does not apply; all are
// for the document as a whole.
type Place struct {
	Host      string `json:"host,omitempty"`
	Route     string `json:"route,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	Service   string `json:"service,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Number is the position of the route at its host, or of the host, service or workspace
	// in its list, from 1 on.
	Number int `json:"number,omitempty"`
	// kind says which list Number counts in.
	kind placeKind
}

type placeKind int

const (
	documentPlace placeKind = iota
	hostPlace
	routePlace
	servicePlace
	workspacePlace
)

// String returns the place as texts name it.
func (p Place) String() string {
	switch p.kind {
	case hostPlace:
		return fmt.Sprintf("host %s (no. %d)", display(p.Host), p.Number)
	case routePlace:
		return fmt.Sprintf("host %s, route %s (no. %d)", display(p.Host), display(p.Route), p.Number)
	case servicePlace:
		return fmt.Sprintf("service %s (no. %d)", display(p.Service), p.Number)
	case workspacePlace:
		return fmt.Sprintf("workspace %s (no. %d)", display(p.Workspace), p.Number)
	}
	return "document"
}

// display returns a name as it is, or quoted if it is empty or has characters that a terminal
// might act on or that would hide where it ends.
func display(name string) string {
	if quoted := strconv.Quote(name); name == "" || quoted != `"`+name+`"` || strings.ContainsAny(name, " ,()") {
		return quoted
	}
	return name
}

func placeOfHost(d catalog.Document, i int) Place {
	return Place{kind: hostPlace, Host: d.Hosts[i].Name, Number: i + 1}
}

func placeOfRoute(d catalog.Document, host, i int) Place {
	r := d.Hosts[host].Routes[i]
	return Place{kind: routePlace, Host: d.Hosts[host].Name, Route: r.Name, Prefix: r.Prefix, Number: i + 1}
}

func placeOfService(d catalog.Document, i int) Place {
	return Place{kind: servicePlace, Service: d.Services[i].Name, Number: i + 1}
}

func placeOfWorkspace(d catalog.Document, i int) Place {
	return Place{kind: workspacePlace, Workspace: d.Workspaces[i].Name, Number: i + 1}
}

// Finding is something in a document that its author should know before sending it.
type Finding struct {
	Severity Severity `json:"severity"`
	// Rule names what is wrong. It is stable, so that programs may go by it.
	Rule  catalog.Rule `json:"rule"`
	Place Place        `json:"place"`
	// Problem is what is wrong, Remedy one sentence that says what to do.
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s. %s", f.Severity, f.Place, f.Problem, f.Remedy)
}

// Count returns how many findings have a severity.
func Count(list []Finding, s Severity) int {
	n := 0
	for _, f := range list {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Sort puts the most severe findings first and keeps the order of each severity.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(b.Severity, a.Severity) })
}
