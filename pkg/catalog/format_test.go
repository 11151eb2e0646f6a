package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// A document that is written as text parses as the same document.
func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := documentGenerator().Draw(t, "document")
		got, err := ParseDocument(d.Text())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d, got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func documentGenerator() *rapid.Generator[Document] {
	return rapid.Custom(func(t *rapid.T) Document {
		name := rapid.StringMatching(`[a-z]{1,8}`)
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 600_000).Draw(t, "millis")) * time.Millisecond
		})
		route := rapid.Custom(func(t *rapid.T) Route {
			return Route{
				Name:         name.Draw(t, "route"),
				Prefix:       "/" + name.Draw(t, "prefix") + "/",
				Repeat:       Repeat(rapid.IntRange(0, len(repeatNames)-1).Draw(t, "repeat")),
				Objective:    duration.Draw(t, "objective"),
				Priority:     rapid.IntRange(0, 5).Draw(t, "priority"),
				Affinity:     rapid.Bool().Draw(t, "affinity"),
				Destinations: []Destination{{Service: name.Draw(t, "service"), Weight: rapid.Float64Range(0, 100).Draw(t, "weight")}},
				Timeout:      duration.Draw(t, "timeout"),
				MaxAttempts:  rapid.IntRange(1, 5).Draw(t, "attempts"),
				Regions:      rapid.SliceOfN(name, 0, 2).Draw(t, "regions"),
			}
		})
		return Document{
			Number:   rapid.Uint64().Draw(t, "number"),
			Base:     rapid.Uint64().Draw(t, "base"),
			Limits:   Limits{HeaderBytes: rapid.IntRange(0, 1<<20).Draw(t, "header"), IdleTime: duration.Draw(t, "idle")},
			Hosts:    []Host{{Name: name.Draw(t, "host"), Routes: rapid.SliceOfN(route, 0, 3).Draw(t, "routes")}},
			Services: []Service{{Name: name.Draw(t, "cluster"), ColdTime: duration.Draw(t, "cold"), ColdRate: rapid.Float64Range(0, 50).Draw(t, "rate")}},
		}
	})
}

func TestParseErrorNamesCause(t *testing.T) {
	tests := []struct{ text, want string }{
		{``, "EOF"},
		{`{"number": 1`, "EOF"},
		{`{"nosuch": 1}`, `unknown field "nosuch"`},
		{`{"number": 1} {}`, "behind its end"},
		{`{"hosts": [{"routes": [{"name": "r", "repeat": "often"}]}]}`, `route r: repeat is "often"`},
	}
	for _, test := range tests {
		_, err := ParseDocument([]byte(test.text))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: got %v, want %q", test.text, err, test.want)
		}
	}
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"number":1,"hosts":[{"name":"a","routes":[{"name":"r","prefix":"/","repeat":"download"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ParseDocument(text)
		if err != nil {
			return
		}
		if _, err := ParseDocument(d.Text()); err != nil {
			t.Errorf("%q parses, but its re-encoded form does not: %v", text, err)
		}
	})
}

func ExampleParseDocument() {
	d, err := ParseDocument([]byte(`{
	  "number": 7, "base": 5,
	  "hosts": [{"name": "flags.example", "routes": [{
	    "name": "read", "prefix": "/v1/", "repeat": "repeatable", "objectiveMillis": 400,
	    "destinations": [{"service": "resolver", "weight": 1}], "timeoutMillis": 2000, "maxAttempts": 2}]}],
	  "services": [{"name": "resolver"}]}`))
	route, ok := d.Match("flags.example:443", "/v1/new-menu")
	fmt.Println(err, d.Check(), ok, route.Name, route.Timeout)
	// Output: <nil> <nil> true read 2s
}
