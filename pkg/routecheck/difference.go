package routecheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// The rules of findings about the document that a new one is compared with.
const (
	RuleBase           catalog.Rule = "base"
	RuleNumber         catalog.Rule = "number"
	RuleKeysUncompared catalog.Rule = "keysNotCompared"
)

// Action is what a new document does to an entry.
type Action string

// The values of Action.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// FieldChange is a changed field of an entry, as text. Keys are shown as the first 8 hex digits
// of their SHA-256.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Change is one difference between two documents.
type Change struct {
	Action Action `json:"action"`
	// Place is where the entry is in the new document, or where a removed one was.
	Place Place `json:"place"`
	// Fields are the changed fields; empty if the entry was added or removed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// String returns the change as one line of text.
func (c Change) String() string {
	text := fmt.Sprintf("%s: %s", c.Action, c.Place)
	for i, f := range c.Fields {
		separator := "; "
		if i == 0 {
			separator = ": "
		}
		text += fmt.Sprintf("%s%s %s -> %s", separator, f.Field, f.Before, f.After)
	}
	return text
}

// Compare returns what a document changes if it replaces another: its general limits first,
// then routes, services and workspaces. The findings say whether it may replace the other.
func Compare(d, other catalog.Document) ([]Change, []Finding) {
	var changes []Change
	if fields := changedFields(describeLimits(other.Limits), describeLimits(d.Limits)); len(fields) > 0 {
		changes = append(changes, Change{Action: Changed, Fields: fields})
	}
	changes = append(changes, compareEntries(routeEntries(d), routeEntries(other))...)
	changes = append(changes, compareEntries(serviceEntries(d), serviceEntries(other))...)
	comparesKeys := !hasRedactedKey(d) && !hasRedactedKey(other)
	changes = append(changes, compareEntries(workspaceEntries(d, comparesKeys), workspaceEntries(other, comparesKeys))...)
	return changes, compareNumbers(d, other, comparesKeys)
}

func compareNumbers(d, other catalog.Document, comparesKeys bool) []Finding {
	var c checker
	if d.Base != other.Number {
		c.add(Error, RuleBase, Place{}, "Apply your changes to the other document, and set the base to its number.",
			"the base is %d, but the number of the other document is %d", d.Base, other.Number)
	}
	if d.Number <= other.Number {
		c.add(Error, RuleNumber, Place{}, "Give the document a higher number.",
			"the number %d is not above %d, the number of the other document", d.Number, other.Number)
	}
	if !comparesKeys {
		c.add(Note, RuleKeysUncompared, Place{}, "Compare with the document as it was written (ledgesill routes -text).",
			"keys are not compared, because one of the documents does not show them")
	}
	return c.findings
}

func hasRedactedKey(d catalog.Document) bool {
	return slices.ContainsFunc(d.Workspaces, func(w catalog.Workspace) bool { return slices.Contains(w.Keys, catalog.RedactedKey) })
}

// field is a field of an entry as text.
type field struct{ name, text string }

// entry is a route, service or workspace. The identity is equal in both documents; entries of
// one document that have the same identity are told apart by their order.
type entry struct {
	identity string
	place    Place
	describe func() []field
}

func compareEntries(entries, others []entry) (changes []Change) {
	type key struct {
		identity string
		// occurrence counts the earlier entries of the same identity.
		occurrence int
	}
	keysOf := func(list []entry) []key {
		counts := make(map[string]int, len(list))
		keys := make([]key, len(list))
		for i, e := range list {
			keys[i] = key{e.identity, counts[e.identity]}
			counts[e.identity]++
		}
		return keys
	}
	previous := make(map[key]entry, len(others))
	otherKeys := keysOf(others)
	for i, k := range otherKeys {
		previous[k] = others[i]
	}
	for i, k := range keysOf(entries) {
		before, ok := previous[k]
		if !ok {
			changes = append(changes, Change{Action: Added, Place: entries[i].place})
			continue
		}
		delete(previous, k)
		if fields := changedFields(before.describe(), entries[i].describe()); len(fields) > 0 {
			changes = append(changes, Change{Changed, entries[i].place, fields})
		}
	}
	for i, k := range otherKeys {
		if _, ok := previous[k]; ok {
			changes = append(changes, Change{Action: Removed, Place: others[i].place})
		}
	}
	return changes
}

// changedFields returns the fields that differ; both lists have the same names.
func changedFields(before, after []field) (out []FieldChange) {
	for i, f := range after {
		if f.text != before[i].text {
			out = append(out, FieldChange{f.name, before[i].text, f.text})
		}
	}
	return out
}

func describeLimits(l catalog.Limits) []field {
	return []field{
		{"header bytes", strconv.Itoa(l.HeaderBytes)},
		{"body bytes", strconv.FormatInt(l.BodyBytes, 10)},
		{"header time", l.HeaderTime.String()},
		{"idle time", l.IdleTime.String()},
	}
}

// routeEntries identifies routes by their host and name, and those without a name by their
// host and prefix.
func routeEntries(d catalog.Document) (out []entry) {
	for i, h := range d.Hosts {
		for j, r := range h.Routes {
			identity := catalog.FoldHost(h.Name) + "\x00name\x00" + r.Name
			if r.Name == "" {
				identity = catalog.FoldHost(h.Name) + "\x00prefix\x00" + r.Prefix
			}
			out = append(out, entry{identity, placeOfRoute(d, i, j), func() []field { return describeRoute(r) }})
		}
	}
	return out
}

func describeRoute(r catalog.Route) []field {
	destinations := make([]string, len(r.Destinations))
	for i, d := range r.Destinations {
		destinations[i] = fmt.Sprintf("%s (%g)", display(d.Service), d.Weight)
	}
	return []field{
		{"prefix", display(r.Prefix)},
		{"repeat", r.Repeat.String()},
		{"objective", r.Objective.String()},
		{"timeout", r.Timeout.String()},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"priority", strconv.Itoa(r.Priority)},
		{"affinity", strconv.FormatBool(r.Affinity)},
		{"public", strconv.FormatBool(r.Public)},
		{"destinations", joinSorted(destinations, "none")},
		{"regions", describeRegions(r.Regions)},
	}
}

func serviceEntries(d catalog.Document) (out []entry) {
	for i, s := range d.Services {
		out = append(out, entry{s.Name, placeOfService(d, i), func() []field {
			return []field{
				{"health path", display(s.HealthPath)},
				{"connections", strconv.Itoa(s.MaxConnections)},
				{"cold time", s.ColdTime.String()},
				{"cold rate", fmt.Sprintf("%g", s.ColdRate)},
			}
		}})
	}
	return out
}

func workspaceEntries(d catalog.Document, withKeys bool) (out []entry) {
	for i, w := range d.Workspaces {
		out = append(out, entry{w.Name, placeOfWorkspace(d, i), func() []field {
			fields := []field{
				{"priority", strconv.Itoa(w.Priority)},
				{"rate", fmt.Sprintf("%g", w.Limit.PerSecond)},
				{"burst", fmt.Sprintf("%g", w.Limit.Burst)},
				{"regions", describeRegions(w.Regions)},
			}
			if withKeys {
				fields = append(fields, field{"keys", describeKeys(w.Keys)})
			}
			return fields
		}})
	}
	return out
}

func describeRegions(regions []string) string {
	shown := make([]string, len(regions))
	for i, region := range regions {
		shown[i] = display(region)
	}
	return joinSorted(shown, "all")
}

// shownKeyDigits is how many hex digits of a key's digest are shown: enough to tell the keys of a
// document apart, too few to identify a key with certainty.
const shownKeyDigits = 8

func describeKeys(keys []string) string {
	shown := make([]string, len(keys))
	for i, k := range keys {
		digest := sha256.Sum256([]byte(k))
		shown[i] = hex.EncodeToString(digest[:])[:shownKeyDigits]
	}
	return joinSorted(shown, "none")
}

// joinSorted joins the items in an order of its own, because theirs makes no difference; empty
// stands for no items.
func joinSorted(items []string, empty string) string {
	if len(items) == 0 {
		return empty
	}
	slices.Sort(items)
	return strings.Join(slices.Compact(items), ", ")
}
