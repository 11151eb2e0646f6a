package catalog

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Table matches requests to the routes of one document. It is immutable.
//
// A match costs one map lookup for each distinct prefix length of the host, regardless
// of the number of routes and of the slashes in the path.
type Table struct{ hosts map[string]*hostTable }

// hostTable holds the routes of one host by prefix.
type hostTable struct {
	routes map[string]*Route
	// lengths are the distinct prefix lengths, longest first.
	lengths []int
}

// NewTable returns the table of a document, which must not be modified afterwards.
func NewTable(d Document) *Table {
	t := &Table{hosts: make(map[string]*hostTable, len(d.Hosts))}
	for _, h := range d.Hosts {
		t.host(foldName(h.Name), len(h.Routes)).add(h.Routes)
	}
	for _, h := range t.hosts {
		h.lengths = prefixLengths(h.routes)
	}
	return t
}

func (t *Table) host(name string, size int) *hostTable {
	h := t.hosts[name]
	if h == nil {
		h = &hostTable{routes: make(map[string]*Route, size)}
		t.hosts[name] = h
	}
	return h
}

// add adds the routes of a host; the first route of a prefix wins.
func (h *hostTable) add(routes []Route) {
	for i := range routes {
		r := &routes[i]
		if h.routes[r.Prefix] == nil {
			h.routes[r.Prefix] = r
		}
	}
}

func prefixLengths(routes map[string]*Route) []int {
	seen := make(map[int]bool)
	var out []int
	for prefix := range routes {
		if n := len(prefix); !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b int) int { return b - a })
	return out
}

// Match returns the route of the host with the longest prefix that matches the path.
// The host may include a port and is compared without regard to case.
func (t *Table) Match(host, path string) (Route, bool) {
	best, _ := t.find(host, path)
	if best == nil {
		return Route{}, false
	}
	return *best, true
}

// find returns the route and the number of lookups made.
func (t *Table) find(host, path string) (best *Route, lookups int) {
	h := t.hosts[foldName(trimPort(host))]
	if h == nil {
		return nil, 0
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		lookups++
		if r := h.routes[path[:n]]; r != nil {
			return r, lookups
		}
	}
	return nil, lookups
}

func trimPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}

// FoldHost maps all names of hosts that a Table does not tell apart to the same string.
func FoldHost(name string) string { return foldName(name) }

// foldName maps all names that are equal under strings.EqualFold to the same string.
// Names in lower-case ASCII are returned as they are.
func foldName(name string) string {
	for i := range len(name) {
		if c := name[i]; c >= utf8.RuneSelf || 'A' <= c && c <= 'Z' {
			return strings.Map(foldRune, name)
		}
	}
	return name
}

// foldRune returns the smallest rune among the case variants of r, or its lower-case
// letter if that rune is ASCII.
func foldRune(r rune) rune {
	least := r
	for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
		least = min(least, next)
	}
	if 'A' <= least && least <= 'Z' {
		return least + 'a' - 'A'
	}
	return least
}
