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
	form     = "PACKAGE TEST[|TEST]: what was seen[; command COMMAND][; seed SEED]; issue N[; CI does not pass over it]"
	finding  = "finding"
	notOver  = "CI does not pass over it"
	issue    = "issue "
	seed     = "seed "
	command  = "command "
	between  = "; "
	testFile = "_test.go"
)

// entry is a line of the list: tests of a package that may fail, or a finding without a test.
type entry struct {
	// Line is its number in the list, from 1.
	Line    int
	Package string
	Tests   []string
	// Finding names what was seen without a test; empty for tests.
	Finding string
	Seen    string
	// Command and Seed bring the failure about; empty if none is known.
	Command string
	Seed    string
	Issue   int
	// Run tells that CI runs the tests all the same.
	Run bool
}

// lineError says what is wrong with a line of the list.
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

// parse reads a list. The error is a lineError.
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
		return e, "it is not of the form " + form
	}
	if e, problem = parseHead(head); problem != "" {
		return e, problem
	}
	parts := strings.Split(rest, between)
	parts, e.Run = cutRun(parts)
	parts, number := cutLast(parts, issue)
	if e.Issue, _ = strconv.Atoi(number); e.Issue <= 0 {
		return e, "it names no issue (; issue N)"
	}
	parts, e.Seed = cutLast(parts, seed)
	parts, e.Command = cutLast(parts, command)
	if e.Seen = strings.Join(parts, between); e.Seen == "" {
		return e, "it does not tell what was seen"
	}
	if e.Finding != "" && e.Run {
		return e, "a finding names no test that CI could run"
	}
	return e, ""
}

// parseHead reads what a line is about: tests of a package, or a finding.
func parseHead(head string) (e entry, problem string) {
	name, rest, ok := strings.Cut(head, " ")
	if !ok || !packageName.MatchString(name) {
		return e, fmt.Sprintf("%q does not begin with a package and a test", head)
	}
	if name == finding {
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

// cutRun takes the last part off if it says that CI runs the test.
func cutRun(parts []string) ([]string, bool) {
	last := len(parts) - 1
	if parts[last] == notOver {
		return parts[:last], true
	}
	return parts, false
}

// cutLast takes the last part off if it begins with a word, and returns what follows that.
func cutLast(parts []string, word string) ([]string, string) {
	last := len(parts) - 1
	if last < 0 || !strings.HasPrefix(parts[last], word) {
		return parts, ""
	}
	return parts[:last], strings.TrimPrefix(parts[last], word)
}

// findTests reports the first entry whose test does not exist below a folder.
func findTests(root string, entries []entry) error {
	for _, e := range entries {
		if e.Finding != "" {
			continue
		}
		known, err := testsOf(filepath.Join(root, filepath.FromSlash(e.Package)))
		if err != nil {
			return &lineError{e.Line, fmt.Sprintf("package %s: %v", e.Package, err)}
		}
		for _, t := range e.Tests {
			if !known[t] {
				return &lineError{e.Line, fmt.Sprintf("package %s has no test %s", e.Package, t)}
			}
		}
	}
	return nil
}

// testsOf returns the names of the functions at the top level of a package's test files.
func testsOf(folder string) (map[string]bool, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool)
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), testFile) {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(folder, f.Name()), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, name := range functionsOf(parsed) {
			known[name] = true
		}
	}
	return known, nil
}

// functionsOf returns the names of a file's functions that have no receiver.
func functionsOf(f *ast.File) (names []string) {
	for _, d := range f.Decls {
		if function, ok := d.(*ast.FuncDecl); ok && function.Recv == nil {
			names = append(names, function.Name.Name)
		}
	}
	return names
}
