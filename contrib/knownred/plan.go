package main

import (
	"fmt"
	"slices"
	"strings"
)

// describe lists the entries: skipped tests, tests that run although they may fail, and findings.
func describe(entries []entry) string {
	if len(entries) == 0 {
		return "no known failures\n"
	}
	var out strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&out, "%s: %s (issue %d)\n", e.subject(), e.Seen, e.Issue)
		if e.Command != "" || e.Seed != "" {
			fmt.Fprintf(&out, "  command %q seed %q\n", e.Command, e.Seed)
		}
	}
	return out.String()
}

// subject returns what an entry is about and how CI treats it.
func (e entry) subject() string {
	if e.Finding != "" {
		return "open finding: " + e.Finding
	}
	tests := e.Package + " " + strings.Join(e.Tests, ", ")
	if e.Run {
		return "known to fail at times, run: " + tests
	}
	return "passed over: " + tests
}

// invocations returns the arguments of the go commands that test packages: one command for all
// packages without skipped tests, and one for each other package.
func invocations(packages []string, entries []entry, race bool) [][]string {
	skipped := make(map[string][]string)
	for _, e := range entries {
		if e.Finding == "" && !e.Run {
			skipped[e.Package] = append(skipped[e.Package], e.Tests...)
		}
	}
	test := []string{"test"}
	if race {
		test = append(test, "-race")
	}
	unfiltered := slices.Clone(test)
	var calls [][]string
	for _, p := range packages {
		names := skipped[p]
		if len(names) == 0 {
			unfiltered = append(unfiltered, "./"+p)
			continue
		}
		calls = append(calls, append(slices.Clone(test), "-skip", "^("+strings.Join(names, "|")+")$", "./"+p))
	}
	if len(unfiltered) > len(test) {
		calls = append([][]string{unfiltered}, calls...)
	}
	return calls
}
