package catalog

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Table finds the routes of requests by one document. It is immutable.
//
// A request costs one look-up for each length that prefixes of its host have,
// however many routes there are and however many slashes a caller sends.
type Table struct{ hosts map[string]*hostTable }

// hostTable holds the routes of one host by their prefixes.
type hostTable struct {
	routes map[string]*Route
	// lengths are those of the prefixes, the longest first.
	lengths []int
}

// NewTable returns the table of a document, which must not change afterwards.
func NewTable(d Document) *Table {
	t := &Table{hosts: make(map[string]*hostTable, len(d.Hosts))}
	for _, h := range d.Hosts {
		t.host(foldName(h.Name), len(h.Routes)).add(h.Routes)
	}
	for _, h := range t.hosts {
		h.lengths = lengthsOf(h.routes)
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

// add takes the routes of a host; of two with the same prefix the first counts.
func (h *hostTable) add(routes []Route) {
	for i := range routes {
		r := &routes[i]
		if h.routes[r.Prefix] == nil {
			h.routes[r.Prefix] = r
		}
	}
}

func lengthsOf(routes map[string]*Route) []int {
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

// Match returns the route of a host with the longest prefix that begins path.
// The host may carry a port; letter case does not count.
func (t *Table) Match(host, path string) (Route, bool) {
	best, _ := t.find(host, path)
	if best == nil {
		return Route{}, false
	}
	return *best, true
}

// find returns the route and how many prefixes were looked up.
func (t *Table) find(host, path string) (best *Route, looks int) {
	h := t.hosts[foldName(withoutPort(host))]
	if h == nil {
		return nil, 0
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		looks++
		if r := h.routes[path[:n]]; r != nil {
			return r, looks
		}
	}
	return nil, looks
}

func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}

// foldName returns the same text for all names that strings.EqualFold holds to
// be the same; a name of small ASCII letters is its own.
func foldName(name string) string {
	for i := range len(name) {
		if c := name[i]; c >= utf8.RuneSelf || 'A' <= c && c <= 'Z' {
			return strings.Map(foldRune, name)
		}
	}
	return name
}

// foldRune returns the least of the letters that differ in case only, or its
// small letter if that is an ASCII one.
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
