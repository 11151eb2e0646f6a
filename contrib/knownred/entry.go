package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

const (
	entryFormat    = "PACKAGE TEST[|TEST]: what was seen[; command COMMAND][; seed SEED]; issue N[; CI does not pass over it]"
	findingWord    = "finding"
	runMarker      = "CI does not pass over it"
	issuePrefix    = "issue "
	seedPrefix     = "seed "
	commandPrefix  = "command "
	separator      = "; "
	testFileSuffix = "_test.go"
)

// entry is a line of the list: tests of a package that may fail, or a finding that no test covers.
type entry struct {
	// Line is the line number in the list, from 1.
	Line    int
	Package string
	Tests   []string
	// Finding is the subject of a finding, empty for tests.
	Finding string
	Seen    string
	// Command and Seed reproduce the failure, empty if unknown.
	Command string
	Seed    string
	Issue   int
	// Run says that CI runs the tests although they may fail.
	Run bool
}

// lineError describes an invalid line of the list.
type lineError struct {
	Line    int
	Problem string
}

// Error implements error.
func (e *lineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Problem) }

var (
	packageName = regexp.MustCompile(`^[a-zA-Z0-9_.-]+(/[a-zA-Z0-9_.-]+)*$`)
	testName    = regexp.MustCompile(`^Test[A-Za-z0-9_]*$`)
)

// parse parses a list. Its error is a *lineError.
func parse(text string) ([]entry, error) {
	var entries []entry
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		e, problem := parseLine(line)
		if problem != "" {
			return nil, &lineError{number, problem}
		}
		e.Line = number
		entries = append(entries, e)
	}
	return entries, nil
}

func parseLine(line string) (e entry, problem string) {
	head, rest, ok := strings.Cut(line, ": ")
	if !ok {
		return e, "it is not of the form " + entryFormat
	}
	if e, problem = parseHead(head); problem != "" {
		return e, problem
	}
	parts := strings.Split(rest, separator)
	parts, e.Run = cutRunMarker(parts)
	parts, number := cutLastPrefixed(parts, issuePrefix)
	if e.Issue, _ = strconv.Atoi(number); e.Issue <= 0 {
		return e, "it names no issue (; issue N)"
	}
	parts, e.Seed = cutLastPrefixed(parts, seedPrefix)
	parts, e.Command = cutLastPrefixed(parts, commandPrefix)
	if e.Seen = strings.Join(parts, separator); e.Seen == "" {
		return e, "it does not tell what was seen"
	}
	if e.Finding != "" && e.Run {
		return e, "a finding names no test that CI could run"
	}
	return e, ""
}

// parseHead parses the start of a line: tests of a package, or a finding.
func parseHead(head string) (e entry, problem string) {
	name, rest, ok := strings.Cut(head, " ")
	if !ok || !packageName.MatchString(name) {
		return e, fmt.Sprintf("%q does not begin with a package and a test", head)
	}
	if name == findingWord {
		e.Finding = rest
		return e, ""
	}
	e.Package = name
	e.Tests = strings.Split(rest, "|")
	for _, t := range e.Tests {
		if !testName.MatchString(t) {
			return e, fmt.Sprintf("%q is not the name of a test", t)
		}
	}
	return e, ""
}

// cutRunMarker removes the last part if it is the marker that CI runs the tests.
func cutRunMarker(parts []string) ([]string, bool) {
	last := len(parts) - 1
	if parts[last] == runMarker {
		return parts[:last], true
	}
	return parts, false
}

// cutLastPrefixed removes the last part if it has a prefix, and returns what follows the prefix.
func cutLastPrefixed(parts []string, prefix string) ([]string, string) {
	last := len(parts) - 1
	if last < 0 || !strings.HasPrefix(parts[last], prefix) {
		return parts, ""
	}
	return parts[:last], strings.TrimPrefix(parts[last], prefix)
}

// checkTestsExist returns a *lineError for the first entry with a test that does not exist below
// root.
func checkTestsExist(root string, entries []entry) error {
	for _, e := range entries {
		if e.Finding != "" {
			continue
		}
		tests, err := testNames(filepath.Join(root, filepath.FromSlash(e.Package)))
		if err != nil {
			return &lineError{e.Line, fmt.Sprintf("package %s: %v", e.Package, err)}
		}
		for _, t := range e.Tests {
			if !tests[t] {
				return &lineError{e.Line, fmt.Sprintf("package %s has no test %s", e.Package, t)}
			}
		}
	}
	return nil
}

// testNames returns the names of the functions without a receiver in a package's test files.
func testNames(dir string) (map[string]bool, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make(map[string]bool)
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), testFileSuffix) {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(dir, f.Name()), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, name := range functionNames(parsed) {
			names[name] = true
		}
	}
	return names, nil
}

// functionNames returns the names of a file's functions without a receiver.
func functionNames(f *ast.File) (names []string) {
	for _, d := range f.Decls {
		if function, ok := d.(*ast.FuncDecl); ok && function.Recv == nil {
			names = append(names, function.Name.Name)
		}
	}
	return names
}
