package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func documentWithWorkspaces(list ...Workspace) Document {
	return Document{Number: 1, Workspaces: list}
}

func TestInvalidWorkspacesAreRefused(t *testing.T) {
	good := Workspace{Name: "north", Keys: []string{"k1"}, Limit: RateLimit{PerSecond: 10, Burst: 10}}
	for name, d := range map[string]Document{
		"shared key":        documentWithWorkspaces(good, Workspace{Name: "south", Keys: []string{"k2", "k1"}}),
		"duplicate name":    documentWithWorkspaces(good, Workspace{Name: "north", Keys: []string{"k2"}}),
		"no name":           documentWithWorkspaces(Workspace{Keys: []string{"k1"}}),
		"control character": documentWithWorkspaces(Workspace{Name: "a\r\nx"}),
		"rate below 0":      documentWithWorkspaces(Workspace{Name: "a", Limit: RateLimit{PerSecond: -1}}),
		"burst below 0":     documentWithWorkspaces(Workspace{Name: "a", Limit: RateLimit{Burst: -1}}),
		"empty key":         documentWithWorkspaces(Workspace{Name: "a", Keys: []string{""}}),
		"redacted key":      documentWithWorkspaces(Workspace{Name: "a", Keys: []string{RedactedKey}}),
	} {
		err := d.Check()
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: got %v", name, err)
			continue
		}
		if strings.Contains(err.Error(), "k1") {
			t.Errorf("%s: the error contains a key: %v", name, err)
		}
	}
	if err := documentWithWorkspaces(good, Workspace{Name: "south", Keys: []string{"k2", "k2"}}).Check(); err != nil {
		t.Errorf("valid workspaces: %v", err)
	}
}

// The text that is shown to people contains no keys and can't be activated.
func TestTextRedactsKeys(t *testing.T) {
	d := documentWithWorkspaces(Workspace{Name: "north", Keys: []string{"k1", "k2"}, Priority: 2, Limit: RateLimit{10, 5}, Regions: []string{"r"}})
	shown, err := ParseDocument(d.Text())
	if err != nil {
		t.Fatal(err)
	}
	want := d.Workspaces[0]
	want.Keys = []string{RedactedKey, RedactedKey}
	if diff := cmp.Diff([]Workspace{want}, shown.Workspaces); diff != "" {
		t.Fatal(diff)
	}
	if shown.Check() == nil {
		t.Fatal("a redacted text passes as a valid document")
	}
}

func ExampleKeyTable() {
	table := NewKeyTable(Document{Workspaces: []Workspace{{Name: "north", Keys: []string{"k1"}}}})
	fmt.Println(table.Identify("k1").Name, table.Identify("k2") == nil)
	fmt.Println(table.RequiresKey(Route{}), table.RequiresKey(Route{Public: true}))
	// Output:
	// north true
	// true false
}

func ExampleIntersectRegions() {
	regions, ok := IntersectRegions([]string{"us-east", "eu-west"}, []string{"eu-west"})
	fmt.Println(regions, ok)
	_, ok = IntersectRegions([]string{"us-east"}, []string{"eu-west"})
	fmt.Println(ok)
	// Output:
	// [eu-west] true
	// false
}
