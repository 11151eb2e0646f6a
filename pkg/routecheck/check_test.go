package routecheck

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var update = flag.Bool("update", false, "write the golden files")

// documents generates documents of few different names and values, so that most rules are
// broken in some of them and some documents are valid.
func documents() *rapid.Generator[catalog.Document] {
	return rapid.Custom(func(t *rapid.T) catalog.Document {
		pick := func(label string, values ...string) string { return rapid.SampledFrom(values).Draw(t, label) }
		number := func(label string, values ...float64) float64 { return rapid.SampledFrom(values).Draw(t, label) }
		count := func(label string) int { return rapid.IntRange(0, 3).Draw(t, label) }
		list := func(label string, values ...string) []string {
			return rapid.SliceOfN(rapid.SampledFrom(values), 0, 2).Draw(t, label)
		}
		d := catalog.Document{Number: rapid.Uint64Range(0, 3).Draw(t, "number"), Base: rapid.Uint64Range(0, 3).Draw(t, "base")}
		for range count("services") {
			d.Services = append(d.Services, catalog.Service{Name: pick("service", "s", "t", "u", "v", "w", "")})
		}
		for range count("hosts") {
			h := catalog.Host{Name: pick("host", "a", "A", "b", "a:1")}
			for range count("routes") {
				r := catalog.Route{
					Name: pick("route", "q", "r", ""), Prefix: pick("prefix", "/x/", "/y/", "/z/", "/z", "z"),
					Timeout:     rapid.SampledFrom([]time.Duration{time.Second, time.Minute, catalog.MaxTimeout, catalog.MaxTimeout + 1, 0, -1}).Draw(t, "timeout"),
					Objective:   rapid.SampledFrom([]time.Duration{time.Second, time.Hour, 0, -1}).Draw(t, "objective"),
					MaxAttempts: rapid.IntRange(-1, 4).Draw(t, "attempts"), Regions: list("regions", "e", "w"),
				}
				for range count("destinations") {
					r.Destinations = append(r.Destinations, catalog.Destination{
						Service: pick("to", "s", "t", "u"), Weight: number("weight", 1, 2, 0, -1, math.NaN(), math.Inf(1)),
					})
				}
				h.Routes = append(h.Routes, r)
			}
			d.Hosts = append(d.Hosts, h)
		}
		for range count("workspaces") {
			d.Workspaces = append(d.Workspaces, catalog.Workspace{
				Name: pick("workspace", "m", "n", "o", "", "\n"), Keys: list("keys", "secret1", "secret2", "secret3", "secret4", "", catalog.RedactedKey),
				Limit:   catalog.RateLimit{PerSecond: number("rate", 0, 5, 9, -1, math.NaN()), Burst: number("burst", 0, 7, math.Inf(1))},
				Regions: list("allowed", "e", "w"),
			})
		}
		return d
	})
}

// Guards against a document that is found valid here and refused by control replicas, or the
// other way round, and against findings that contain keys.
func TestErrorsAgreeWithControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documents().Draw(t, "document")
		findings := Check(d)
		err := d.Check()
		if (Count(findings, Error) > 0) != (err != nil) {
			t.Fatalf("control replicas say %v, got %v", err, findings)
		}
		var invalid *catalog.InvalidError
		if errors.As(err, &invalid) && (findings[0].Rule != invalid.Rule || findings[0].Problem != invalid.Reason) {
			t.Fatalf("control replicas say %v, the first finding is %v", err, findings[0])
		}
		for _, f := range findings {
			if strings.Contains(f.String(), "secret") {
				t.Fatalf("a finding contains a key: %v", f)
			}
			if f.Problem == "" || f.Remedy == "" {
				t.Fatalf("a finding without a problem or remedy: %+v", f)
			}
		}
	})
}

// Guards against a base or number that passes here and that control replicas refuse.
func TestNumbersAgreeWithControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		other, d := documents().Draw(t, "other"), documents().Draw(t, "document")
		var s catalog.State
		if other.Number > 0 { // no document may have the number 0
			var err error
			if s, _, err = s.ApplyRoutes(&wire.RoutesCommand{Document: &wire.RoutesDocument{Number: other.Number, Text: []byte("other")}}); err != nil {
				t.Fatal(err)
			}
		}
		_, _, err := s.ApplyRoutes(&wire.RoutesCommand{BaseNumber: d.Base, Document: &wire.RoutesDocument{Number: d.Number, Text: []byte("new")}})
		changes, findings := Compare(d, other)
		if (Count(findings, Error) > 0) != (err != nil) {
			t.Fatalf("control replicas say %v, got %v", err, findings)
		}
		if text := fmt.Sprint(changes, findings); strings.Contains(text, "secret") {
			t.Fatalf("a key is shown: %s", text)
		}
	})
}

// faulty returns a document that breaks each rule.
func faulty() catalog.Document {
	to := func(list ...catalog.Destination) []catalog.Destination { return list }
	route := func(name, prefix string, change func(r *catalog.Route)) catalog.Route {
		r := catalog.Route{
			Name: name, Prefix: prefix, Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2,
			Destinations: to(catalog.Destination{Service: "s", Weight: 1}),
		}
		if change != nil {
			change(&r)
		}
		return r
	}
	return catalog.Document{
		Number: 2, Base: 1,
		Hosts: []catalog.Host{
			{Name: "a.example", Routes: []catalog.Route{
				route("good", "/good/", nil),
				route("slash", "slash/", nil),
				route("twice", "/good/", nil),
				route("long", "/long/", func(r *catalog.Route) { r.Timeout = catalog.MaxTimeout + time.Second }),
				route("unknown", "/unknown/", func(r *catalog.Route) {
					r.Destinations = to(catalog.Destination{Service: "nosuch", Weight: 1}, catalog.Destination{Service: "s", Weight: -1})
				}),
				route("zero", "/zero/", func(r *catalog.Route) {
					r.Destinations = to(catalog.Destination{Service: "s", Weight: 1}, catalog.Destination{Service: "cold"})
				}),
				route("objective", "/objective/", func(r *catalog.Route) { r.Objective = 3 * time.Second }),
				route("late", "/late/", func(r *catalog.Route) { r.Objective = 0 }),
				route("attempts", "/attempts/", func(r *catalog.Route) { r.MaxAttempts = 3 }),
				route("once", "/once", func(r *catalog.Route) { r.MaxAttempts = 0 }),
				route("west", "/west/", func(r *catalog.Route) { r.Regions = []string{"west"} }),
			}},
			{Name: "A.example", Routes: []catalog.Route{route("shadowed", "/good/", nil), route("more", "/more/", nil)}},
			{Name: "b.example:443"},
			{},
		},
		Services: []catalog.Service{
			{Name: "s", MaxConnections: 10, ColdTime: time.Second, ColdRate: 5},
			{Name: "cold", ColdTime: time.Second},
			{Name: "warm", MaxConnections: 10, ColdRate: 5},
			{Name: "s", MaxConnections: 10},
			{MaxConnections: 10},
		},
		Workspaces: []catalog.Workspace{
			{Name: "north", Keys: []string{"secret1", "secret1"}, Limit: catalog.RateLimit{PerSecond: 10, Burst: 2}, Regions: []string{"east"}},
			{Name: "south", Keys: []string{"secret2", "secret1"}, Limit: catalog.RateLimit{Burst: 2}},
			{Name: "south", Keys: []string{catalog.RedactedKey, ""}},
			{Keys: []string{"secret3"}, Limit: catalog.RateLimit{PerSecond: -1, Burst: -1}},
			{Name: "a\nb"},
		},
	}
}

// Guards against texts that change unnoticed, and against rules that no document breaks.
func TestTextsOfFindings(t *testing.T) {
	findings := Check(faulty())
	seen := make(map[catalog.Rule]bool)
	var b strings.Builder
	for _, f := range findings {
		seen[f.Rule] = true
		fmt.Fprintln(&b, f)
	}
	for rule := range remedies {
		if !seen[rule] {
			t.Errorf("no finding for %s", rule)
		}
	}
	compareGolden(t, "findings.golden", b.String())
}

// Guards against differences that are missed, and against keys in their text.
func TestTextsOfChanges(t *testing.T) {
	d, other := faulty(), faulty()
	d.Limits.BodyBytes = 1
	d.Hosts[0].Routes = d.Hosts[0].Routes[1:]
	d.Hosts[0].Routes[0].Prefix = "/slash/"
	d.Hosts[0].Routes[1].Regions = []string{"west", "east"}
	d.Hosts[1].Name = "a.EXAMPLE" // the same host
	d.Hosts[1].Routes = append(d.Hosts[1].Routes, catalog.Route{Name: "new", Prefix: "/new/"})
	d.Services = append(d.Services[1:], catalog.Service{Name: "fresh"})
	d.Workspaces[0].Limit.Burst = 10
	d.Workspaces[1].Keys = []string{"secret3"}
	d.Workspaces = d.Workspaces[:4]
	for name, hidden := range map[string]bool{"changes.golden": false, "changes-without-keys.golden": true} {
		if !hidden {
			d.Workspaces[2].Keys, other.Workspaces[2].Keys = nil, nil
		} else {
			other.Workspaces[2].Keys = []string{catalog.RedactedKey}
		}
		var b strings.Builder
		changes, findings := Compare(d, other)
		for _, f := range findings {
			fmt.Fprintln(&b, f)
		}
		for _, c := range changes {
			fmt.Fprintln(&b, c)
		}
		compareGolden(t, name, b.String())
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	if strings.Contains(got, "secret") {
		t.Errorf("a key is shown:\n%s", got)
	}
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

func ExampleCheck() {
	findings := Check(catalog.Document{
		Hosts: []catalog.Host{{Name: "a.example", Routes: []catalog.Route{{
			Name: "read", Prefix: "/read/", Objective: 2 * time.Second, Timeout: time.Second, MaxAttempts: 2,
			Destinations: []catalog.Destination{{Service: "store", Weight: 1}},
		}}}},
		Services: []catalog.Service{{Name: "sture", MaxConnections: 10}},
	})
	for _, f := range findings {
		fmt.Println(f)
	}
	// Output:
	// error: host a.example, route read (no. 1): service "store" is not known. Add the service to the list of services, or correct its name here.
	// warning: host a.example, route read (no. 1): the timeout 1s is below the latency objective 2s, which a response can't use up. Lengthen the timeout, or shorten the objective.
	// warning: service sture (no. 1): no route uses the service. Add it to a route, or remove it.
}

// BenchmarkCheck examines a document of 10,000 routes and compares it with another.
func BenchmarkCheck(b *testing.B) {
	document := func(objective time.Duration) catalog.Document {
		d := catalog.Document{Number: 2, Base: 1}
		for i := range 100 {
			d.Services = append(d.Services, catalog.Service{Name: fmt.Sprint("s", i), MaxConnections: 10})
			h := catalog.Host{Name: fmt.Sprintf("h%d.example", i)}
			for j := range 100 {
				h.Routes = append(h.Routes, catalog.Route{
					Name: fmt.Sprint("r", j), Prefix: fmt.Sprintf("/path%d/", j), Objective: objective, Timeout: 2 * time.Second, MaxAttempts: 2,
					Destinations: []catalog.Destination{{Service: fmt.Sprint("s", i), Weight: 1}}, Regions: []string{fmt.Sprint("region", j%20)},
				})
			}
			d.Hosts = append(d.Hosts, h)
			d.Workspaces = append(d.Workspaces, catalog.Workspace{
				Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("key", i)}, Regions: []string{fmt.Sprint("region", i%20)},
			})
		}
		return d
	}
	d, other := document(time.Second), document(3*time.Second)
	for b.Loop() {
		if len(Check(d)) == 0 {
			b.Fatal("no findings")
		}
		if changes, _ := Compare(d, other); len(changes) != 10_000 {
			b.Fatalf("%d changes", len(changes))
		}
	}
}
