package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// A box of 0.16 cores looked at every route of the document for each request:
// 35 us at 5,000 routes on a whole core, 0.22 ms there, for each request.

// What a request costs to find its route depends on how prefixes are made, not
// on how many there are.
func TestRouteIsFoundWithoutLookingAtAll(t *testing.T) {
	const most = 8 // prefixes of four lengths, and some air
	for _, n := range []int{10, 100, 5000} {
		table := NewTable(sizedDocument(n))
		for _, path := range []string{fmt.Sprintf("/path%d/object", n-1), "/none/", "/path1", strings.Repeat("/", 5000)} {
			if _, looks := table.find("a.example", path); looks > most {
				t.Errorf("%d routes, path %.20q: %d were looked at, want at most %d", n, path, looks, most)
			}
		}
	}
}

// linearMatch says what a match is: the first of the longest prefixes that
// begin the path, of all hosts whose names are the same but for letter case.
func linearMatch(d Document, host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	best := Route{}
	found := false
	for _, h := range d.Hosts {
		if !strings.EqualFold(h.Name, host) {
			continue
		}
		for _, r := range h.Routes {
			if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
				best = r
				found = true
			}
		}
	}
	return best, found
}

// Any documents, also such as Check refuses: prefixes without a slash at their
// end, empty ones, ones that stand twice, hosts that stand twice, and names
// whose letters have more than two cases or are no UTF-8.
func TestTableMatchesAsALinearSearch(t *testing.T) {
	hosts := rapid.SampledFrom([]string{
		"a.example", "A.Example", "a.example:80", "k.example", "K.example", "\u212a.example", "[::1]", "[::1]:80", "::1", "", ":", "a:b:80",
		"stra\u00dfe", "STRA\u1e9eE", "\u017f", "s", "S", "\xff", "\xfe", "\ufffd", "\u0130", "i", "\u03c3", "\u03c2", "\u03a3",
	})
	paths := rapid.StringMatching(`(/?[ab%]{0,2}){0,5}/?`)
	rapid.Check(t, func(t *rapid.T) {
		d := Document{}
		n := 0
		for range rapid.IntRange(0, 4).Draw(t, "hosts") {
			h := Host{Name: hosts.Draw(t, "name")}
			for range rapid.IntRange(0, 8).Draw(t, "routes") {
				n++
				h.Routes = append(h.Routes, Route{Name: fmt.Sprint(n), Prefix: paths.Draw(t, "prefix")})
			}
			d.Hosts = append(d.Hosts, h)
		}
		table := NewTable(d)
		for range 20 {
			host, path := hosts.Draw(t, "host"), paths.Draw(t, "path")
			want, found := linearMatch(d, host, path)
			got, ok := table.Match(host, path)
			if diff := cmp.Diff(want, got); diff != "" || ok != found {
				t.Fatalf("host %q, path %q: found %v, want %v: %s", host, path, ok, found, diff)
			}
		}
	})
}

// Names are the same for the table where strings.EqualFold says so.
func FuzzTableHost(f *testing.F) {
	f.Add("a.example", "A.EXAMPLE")
	f.Add("\u212a", "k")
	f.Add("\xff", "\ufffd")
	f.Add("\u01c4", "\u01c6")
	f.Fuzz(func(t *testing.T, name, host string) {
		d := Document{Hosts: []Host{{Name: name, Routes: []Route{{Name: "r", Prefix: "/"}}}}}
		_, want := linearMatch(d, host, "/")
		if _, ok := NewTable(d).Match(host, "/"); ok != want {
			t.Errorf("%q and %q: found %v, want %v", name, host, ok, want)
		}
	})
}
