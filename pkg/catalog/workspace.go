package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
)

// Workspace is a customer, identified by the keys that its requests carry.
type Workspace struct {
	Name string
	// Keys are secrets: they must not appear in logs, metrics or errors.
	Keys []string
	// Priority ranks the workspaces and takes precedence over the priority of routes; 0
	// is the highest priority.
	Priority int
	// Limit bounds the requests of the workspace over all entry boxes together.
	Limit RateLimit
	// Regions restricts the workspace to these regions; empty means all.
	Regions []string
}

// RateLimit is a number of requests per second and a burst size. A rate of 0 means no
// limit.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// IsUnlimited reports whether there is no limit.
func (l RateLimit) IsUnlimited() bool { return l.PerSecond <= 0 }

// RedactedKey replaces each key in text that is shown to people. No workspace may use
// it as a key, so that a redacted text can't be activated by mistake.
const RedactedKey = "(not shown)"

// checkWorkspaces validates the workspaces and returns the first error found.
func (d Document) checkWorkspaces() error {
	names := make(map[string]bool, len(d.Workspaces))
	holders := make(map[string]string)
	for _, w := range d.Workspaces {
		if err := w.check(); err != nil {
			return err
		}
		if names[w.Name] {
			return &InvalidError{Workspace: w.Name, Reason: "it stands twice"}
		}
		names[w.Name] = true
		for _, k := range w.Keys {
			if other, ok := holders[k]; ok && other != w.Name {
				return &InvalidError{Workspace: w.Name, Reason: fmt.Sprintf("it shares a key with workspace %s", other)}
			}
			holders[k] = w.Name
		}
	}
	return nil
}

func (w Workspace) check() error {
	fail := func(reason string) error { return &InvalidError{Workspace: w.Name, Reason: reason} }
	switch {
	case w.Name == "":
		return fail("a workspace has no name")
	case strings.ContainsFunc(w.Name, unicode.IsControl):
		return fail("its name, which targets are told in a header, has a control character")
	case !isNonNegative(w.Limit.PerSecond):
		return fail("its requests a second are not a number that is 0 or more")
	case !isNonNegative(w.Limit.Burst):
		return fail("its burst is not a number that is 0 or more")
	case slices.Contains(w.Keys, ""):
		return fail("one of its keys is empty")
	case slices.Contains(w.Keys, RedactedKey):
		return fail("one of its keys was left out when the document was shown")
	}
	return nil
}

func isNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// KeyTable maps keys to the workspaces of one document. It is immutable.
type KeyTable struct {
	workspaces map[string]*Workspace
	required   bool
}

// NewKeyTable returns the table of a document, which must not be modified afterwards.
func NewKeyTable(d Document) *KeyTable {
	t := &KeyTable{workspaces: make(map[string]*Workspace), required: len(d.Workspaces) > 0}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for _, k := range w.Keys {
			t.workspaces[k] = w
		}
	}
	return t
}

// Identify returns the workspace that a key belongs to, or nil.
func (t *KeyTable) Identify(key string) *Workspace { return t.workspaces[key] }

// RequiresKey reports whether requests of a route must carry a known key.
func (t *KeyTable) RequiresKey(r Route) bool { return t.required && !r.Public }

// IntersectRegions returns the regions that both lists allow, and whether there are
// any. An empty list allows all regions.
func IntersectRegions(a, b []string) (regions []string, ok bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	for _, region := range a {
		if slices.Contains(b, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}
