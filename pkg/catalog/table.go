package catalog

import "strings"

// Table finds the routes of requests by one document. It is immutable.
type Table struct{ document Document }

// NewTable returns the table of a document, which must not change afterwards.
func NewTable(d Document) *Table { return &Table{document: d} }

// Match returns the route of a host with the longest prefix that begins path.
// The host may carry a port; letter case does not count.
func (t *Table) Match(host, path string) (Route, bool) {
	best, _ := t.find(host, path)
	if best == nil {
		return Route{}, false
	}
	return *best, true
}

// find returns the route and how many prefixes were compared with the path.
func (t *Table) find(host, path string) (best *Route, looks int) {
	host = withoutPort(host)
	for _, h := range t.document.Hosts {
		if !strings.EqualFold(h.Name, host) {
			continue
		}
		for i := range h.Routes {
			r := &h.Routes[i]
			looks++
			if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
				best = r
			}
		}
	}
	return best, looks
}

func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
