package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func withWorkspaces(list ...Workspace) Document {
	return Document{Number: 1, Workspaces: list}
}

func TestInvalidWorkspacesAreNamed(t *testing.T) {
	good := Workspace{Name: "north", Keys: []string{"k1"}, Limit: RateLimit{PerSecond: 10, Burst: 10}}
	for name, d := range map[string]Document{
		"shared key":        withWorkspaces(good, Workspace{Name: "south", Keys: []string{"k2", "k1"}}),
		"twice":             withWorkspaces(good, Workspace{Name: "north", Keys: []string{"k2"}}),
		"no name":           withWorkspaces(Workspace{Keys: []string{"k1"}}),
		"control character": withWorkspaces(Workspace{Name: "a\r\nx"}),
		"rate below 0":      withWorkspaces(Workspace{Name: "a", Limit: RateLimit{PerSecond: -1}}),
		"burst below 0":     withWorkspaces(Workspace{Name: "a", Limit: RateLimit{Burst: -1}}),
		"empty key":         withWorkspaces(Workspace{Name: "a", Keys: []string{""}}),
		"shown key":         withWorkspaces(Workspace{Name: "a", Keys: []string{RedactedKey}}),
	} {
		err := d.Check()
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: got %v", name, err)
			continue
		}
		if strings.Contains(err.Error(), "k1") {
			t.Errorf("%s: the error tells a key: %v", name, err)
		}
	}
	if err := withWorkspaces(good, Workspace{Name: "south", Keys: []string{"k2", "k2"}}).Check(); err != nil {
		t.Errorf("sound workspaces: %v", err)
	}
}

// What people are shown holds no key, and can't be put in force.
func TestShownDocumentHoldsNoKeys(t *testing.T) {
	d := withWorkspaces(Workspace{Name: "north", Keys: []string{"k1", "k2"}, Priority: 2, Limit: RateLimit{10, 5}, Regions: []string{"r"}})
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
		t.Fatal("a text without its keys is taken for a document")
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
