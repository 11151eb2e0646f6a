package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func mustTree(t *testing.T, edits ...string) Tree {
	t.Helper()
	tree, err := Tree{}.WithEdits(parseEdits(t, edits...))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// parseEdits parses edits of the form "path key=value", or "path key-" to unset.
func parseEdits(t *testing.T, edits ...string) []*wire.Edit {
	t.Helper()
	var out []*wire.Edit
	for _, text := range edits {
		path, rest, _ := strings.Cut(text, " ")
		if key, unset := strings.CutSuffix(rest, "-"); unset {
			out = append(out, &wire.Edit{Path: path, Key: key, Unset: true})
			continue
		}
		key, value, ok := strings.Cut(rest, "=")
		if !ok {
			t.Fatalf("edit %q has no value", text)
		}
		out = append(out, &wire.Edit{Path: path, Key: key, Value: value})
	}
	return out
}

func TestInheritance(t *testing.T) {
	tree := mustTree(
		t,
		"/ slots=2", "/east slots=3", "/east/a slots=4", "/:web slots=5", "/east:web slots=6", "/east/a:web slots=7",
	)
	tests := map[string]string{
		"/west": "2", "/east": "3", "/east/b": "3", "/east/a": "4", "/west:web": "5", "/east/b:web": "6", "/east/a:web": "7", "/east/a:other": "4",
	}
	for path, want := range tests {
		p, err := ParsePath(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := tree.Get(p, Slots); got != want {
			t.Errorf("slots at %s: got %s, want %s", path, got, want)
		}
	}
}

func TestInvalidEditsAreRefused(t *testing.T) {
	base := mustTree(
		t,
		"/east/a entryBoxes=b1=127.0.0.1:1+127.0.0.1:2", "/east/a:web targets=t1=127.0.0.1:9", "/west/c entryBoxes=b9=127.0.0.1:91+127.0.0.1:92",
	)
	tests := map[string]string{
		"/ nosuch=1":    "there is no such key",
		"/ slots=0":     "allowed is 1 to 10000 slots",
		"/ slots=many":  "allowed is 1 to 10000 slots",
		"/ drain=yes":   "allowed is true or false",
		"/ policy=best": "allowed is roundRobin, leastLoaded",
		"/ entryBoxes=b2=127.0.0.1:3+127.0.0.1:4":            "only at an availability zone",
		"/east/b targets=t2=127.0.0.1:8":                     "only at a service",
		"/east/b entryBoxes=b1=127.0.0.1:3+127.0.0.1:4":      "has an entry box of this name too",
		"/east/b entryBoxes=b2=127.0.0.1:1+127.0.0.1:4":      "has this address too",
		"/east/b entryBoxes=b2=example.org:1+127.0.0.1:4":    "is not an IP number and port",
		"/east/b:web targets=t2=127.0.0.1:9":                 "has this address too",
		"/west/a drain=false":                                "has a zone of this name too",
		"/ shiftStepShare=30":                                "may not exceed the cap",
		"/ requestTimeoutMillis=50":                          "may not exceed requestTimeoutMillis",
		"/east/a:web drainTargets=t1":                        "every target of the service would be draining",
		"/east drain=true":                                   "every target of the service would be draining",
		"/east/a leaseVoters=b9":                             "entry box of this availability zone",
		"/east/a leaseWitness=b1":                            "entry box of another availability zone",
		"/east/a/x slots=1":                                  "more than a region and an availability zone",
		"east slots=1":                                       "must begin with /",
		"/east/a entryBoxes=b1=127.0.0.1:1+127.0.0.1:2,b1=x": "must be name=callerAddress+peerAddress",
	}
	for edit, want := range tests {
		got, err := base.WithEdits(parseEdits(t, edit))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want an error with %q", edit, err, want)
		}
		if diff := cmp.Diff(base.Settings(), got.Settings(), protocmp.Transform()); diff != "" {
			t.Errorf("%s: a refused edit changed the tree: %s", edit, diff)
		}
	}
}

func TestInvalidErrorNamesTheKey(t *testing.T) {
	_, err := Tree{}.WithEdits(parseEdits(t, "/east slots=0"))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || invalid.Key != Slots || invalid.Path != "/east" {
		t.Errorf("got %v, want an InvalidError that names slots at /east", err)
	}
}

func TestOneVoterChangeAtATime(t *testing.T) {
	before := mustTree(t, "/east/a entryBoxes=b1=127.0.0.1:1+127.0.0.1:2,b2=127.0.0.1:3+127.0.0.1:4", "/east/b entryBoxes=b3=127.0.0.1:5+127.0.0.1:6")
	one, err := before.WithEdits(parseEdits(t, "/east/a leaseWitness=b3"))
	if err != nil {
		t.Fatal(err)
	}
	if err := before.CheckVoterChange(one); err != nil {
		t.Errorf("adding one voter: %v", err)
	}
	two, err := before.WithEdits(parseEdits(t, "/east/a entryBoxes=b1=127.0.0.1:1+127.0.0.1:2,b9=127.0.0.1:7+127.0.0.1:8"))
	if err != nil {
		t.Fatal(err)
	}
	if err := before.CheckVoterChange(two); err == nil {
		t.Error("replacing a voter in one change was allowed")
	}
}

func TestInverseUndoesEdits(t *testing.T) {
	before := mustTree(t, "/ slots=2", "/east slots=3")
	edits := parseEdits(t, "/ slots-", "/east slots=9", "/west slots=4", "/west slots=5")
	after, err := before.WithEdits(edits)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := after.WithEdits(before.Inverse(edits))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before.Settings(), restored.Settings(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

func TestFileRoundTrip(t *testing.T) {
	tree := mustTree(
		t,
		"/ slots=2", "/ policy=roundRobin", "/east drain=false",
		"/east/a entryBoxes=b1=127.0.0.1:1+127.0.0.1:2", "/east/a:web targets=t1=127.0.0.1:9,t2=127.0.0.1:10",
	)
	data, err := FormatFile(tree)
	if err != nil {
		t.Fatal(err)
	}
	edits, err := ParseFile(data)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Tree{}.WithEdits(edits)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(tree.Settings(), parsed.Settings(), protocmp.Transform()); diff != "" {
		t.Error(diff)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"/": {"slots": 3}}`))
	f.Add([]byte(`{"/east/a:web": {"targets": ["t1=127.0.0.1:9"]}}`))
	f.Add([]byte(`{"/": {"slots": [3]}} x`))
	f.Fuzz(func(t *testing.T, data []byte) {
		edits, err := ParseFile(data)
		if err != nil {
			return
		}
		if _, err := (Tree{}).WithEdits(edits); err != nil {
			var invalid *InvalidError
			var path *PathError
			if !errors.As(err, &invalid) && !errors.As(err, &path) {
				t.Errorf("got %v, want an InvalidError or a PathError", err)
			}
		}
	})
}

// ExampleTree_Get overrides a default for one region.
func ExampleTree_Get() {
	t, err := Tree{}.WithEdits([]*wire.Edit{
		{Path: "/", Key: Slots, Value: "3"},
		{Path: "/east", Key: Slots, Value: "9"},
	})
	fmt.Println(t.Get(Path{Region: "east", Zone: "a"}, Slots), t.Get(Path{Region: "west"}, Slots), err)
	// Output: 9 3 <nil>
}
