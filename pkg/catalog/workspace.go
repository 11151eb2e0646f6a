package catalog

import (
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

// checkWorkspaces passes the errors of the workspaces to yield until that returns false.
func (d Document) checkWorkspaces(yield func(*InvalidError) bool) bool {
	names := make(map[string]bool, len(d.Workspaces))
	holders := make(map[string]string)
	for i, w := range d.Workspaces {
		fail := func(rule Rule, reason string) bool {
			return yield(&InvalidError{Workspace: w.Name, Index: i, Rule: rule, Reason: reason})
		}
		if !w.check(fail) {
			return false
		}
		if w.Name != "" && names[w.Name] && !fail(RuleWorkspaceTwice, "it stands twice") {
			return false
		}
		names[w.Name] = true
		if others := w.sharers(holders); len(others) > 0 &&
			!fail(RuleKeyShared, "it shares a key with workspace "+strings.Join(others, ", ")) {
			return false
		}
		for _, k := range w.Keys {
			holders[k] = w.Name
		}
	}
	return true
}

// sharers returns the other workspaces that hold keys of w, by the holder of each key. Keys
// that are errors by themselves don't count.
func (w Workspace) sharers(holders map[string]string) (others []string) {
	for _, k := range w.Keys {
		if k == "" || k == RedactedKey {
			continue
		}
		if other, ok := holders[k]; ok && other != w.Name && !slices.Contains(others, other) {
			others = append(others, other)
		}
	}
	return others
}

// check passes the errors of a workspace on its own to fail until that returns false.
func (w Workspace) check(fail func(rule Rule, reason string) bool) bool {
	for _, c := range []struct {
		broken bool
		rule   Rule
		reason string
	}{
		{w.Name == "", RuleWorkspaceName, "a workspace has no name"},
		{strings.ContainsFunc(w.Name, unicode.IsControl), RuleWorkspaceText, "its name, which targets are told in a header, has a control character"},
		{!isNonNegative(w.Limit.PerSecond), RuleRateRange, "its requests a second are not a number that is 0 or more"},
		{!isNonNegative(w.Limit.Burst), RuleBurstRange, "its burst is not a number that is 0 or more"},
		{slices.Contains(w.Keys, ""), RuleKeyEmpty, "one of its keys is empty"},
		{slices.Contains(w.Keys, RedactedKey), RuleKeyRedacted, "one of its keys was left out when the document was shown"},
	} {
		if c.broken && !fail(c.rule, c.reason) {
			return false
		}
	}
	return true
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
