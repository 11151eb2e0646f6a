package main

import (
	"fmt"
	"slices"
	"strings"
)

// describe returns what is passed over, and what is run though it may fail.
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

// subject tells what an entry is about and what CI does with it.
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

// invocations returns the arguments of go that test packages: one without skipped tests for
// those of which none is passed over, and one for each other.
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
	whole := slices.Clone(test)
	var parts [][]string
	for _, p := range packages {
		names := skipped[p]
		if len(names) == 0 {
			whole = append(whole, "./"+p)
			continue
		}
		parts = append(parts, append(slices.Clone(test), "-skip", "^("+strings.Join(names, "|")+")$", "./"+p))
	}
	if len(whole) > len(test) {
		parts = append([][]string{whole}, parts...)
	}
	return parts
}
