package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"
)

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	// Keys are secrets: they stand in no log, metric or error.
	Keys []string
	// Priority is the rank among workspaces, which goes before that of the routes;
	// 0 is served first.
	Priority int
	// Limit bounds its requests over all entry boxes together.
	Limit RateLimit
	// Regions are the only ones that may serve it; all if it is empty.
	Regions []string
}

// RateLimit is a number of requests a second and how many more may come at
// once. A rate of 0 is no limit.
type RateLimit struct {
	PerSecond float64
	Burst     float64
}

// IsUnlimited reports whether there is no limit.
func (l RateLimit) IsUnlimited() bool { return l.PerSecond <= 0 }

// RedactedKey stands for each key in texts that are shown to people. No
// workspace may have it, so that a shown text is not put in force by mistake.
const RedactedKey = "(not shown)"

// checkWorkspaces reports the first thing that is wrong with the workspaces.
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
	case !isAmount(w.Limit.PerSecond):
		return fail("its requests a second are not a number that is 0 or more")
	case !isAmount(w.Limit.Burst):
		return fail("its burst is not a number that is 0 or more")
	case slices.Contains(w.Keys, ""):
		return fail("one of its keys is empty")
	case slices.Contains(w.Keys, RedactedKey):
		return fail("one of its keys was left out when the document was shown")
	}
	return nil
}

func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// KeyTable finds the workspaces of keys by one document. It is immutable.
type KeyTable struct {
	workspaces map[string]*Workspace
	required   bool
}

// NewKeyTable returns the table of a document, which must not change afterwards.
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

// Identify returns the workspace that holds a key, or nil if none does.
func (t *KeyTable) Identify(key string) *Workspace { return t.workspaces[key] }

// RequiresKey reports whether requests of a route must carry a known key.
func (t *KeyTable) RequiresKey(r Route) bool { return t.required && !r.Public }

// IntersectRegions returns the regions that may serve a request which two lists
// bind, and whether there are any. An empty list binds nothing.
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
