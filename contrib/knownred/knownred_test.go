package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a list that is parsed differently from what its author meant: an entry that
// skips a test of another package or one that CI must run, or an invalid line that is ignored.
func TestLists(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("found no lists in testdata: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, []byte(report(string(text))))
		})
	}
}

// report returns what a list results in: an error, or its description and the go commands.
func report(text string) string {
	entries, err := parse(text)
	if err == nil {
		err = checkTestsExist("testdata/module", entries)
	}
	if err != nil {
		var e *lineError
		return fmt.Sprintf("%v (a lineError: %v)\n", err, errors.As(err, &e))
	}
	var out strings.Builder
	out.WriteString(describe(entries))
	for _, arguments := range invocations([]string{".", "a/one", "b/one"}, entries, true) {
		fmt.Fprintf(&out, "go %q\n", arguments)
	}
	return out.String()
}

// Guards against an invalid list of known failures in this repository.
func TestOwnList(t *testing.T) {
	const root = "../.."
	entries, err := readList(filepath.Join(root, "KNOWN-RED.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if err := checkTestsExist(root, entries); err != nil {
		t.Fatal(err)
	}
}
