// Command knownred runs go test without the tests on a list of known failures, each identified
// by package and name, and prints the list. It exits with code 2 if the list is invalid.
//
//	knownred [-list FILE] [-check] [-race] PACKAGES
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// exitUsage is the exit code for an invalid list or flag.
const exitUsage = 2

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "list of known failures; a missing file is an empty list")
	check := flag.Bool("check", false, "only check and print the list")
	race := flag.Bool("race", false, "run with the race detector")
	flag.Parse()
	entries, err := readList(*list)
	if err != nil {
		fail(exitUsage, err)
	}
	if err := checkTestsExist(".", entries); err != nil {
		fail(exitUsage, fmt.Errorf("%s: %w", *list, err))
	}
	fmt.Print(describe(entries))
	if *check {
		return
	}
	packages, err := listPackages(flag.Args())
	if err != nil {
		fail(exitUsage, err)
	}
	if err := runAll(invocations(packages, entries, *race)); err != nil {
		fail(1, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(code)
}

// readList reads the entries of a file. A missing file has none.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	entries, err := parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}

// listPackages returns the directories of packages relative to the module's root.
func listPackages(patterns []string) ([]string, error) {
	command := exec.Command("go", append([]string{"list", "-f", "{{.Module.Path}} {{.ImportPath}}"}, patterns...)...)
	command.Stderr = os.Stderr
	out, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("listing the packages: %w", err)
	}
	var dirs []string
	for line := range strings.Lines(string(out)) {
		module, path, _ := strings.Cut(strings.TrimSpace(line), " ")
		dir := strings.TrimPrefix(strings.TrimPrefix(path, module), "/")
		if dir == "" {
			dir = "."
		}
		dirs = append(dirs, dir)
	}
	return dirs, nil
}

// runAll runs go with each list of arguments, even after one has failed.
func runAll(list [][]string) error {
	var failed []error
	for _, arguments := range list {
		command := exec.Command("go", arguments...)
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		if err := command.Run(); err != nil {
			failed = append(failed, fmt.Errorf("go %s: %w", strings.Join(arguments[:min(len(arguments), 4)], " "), err))
		}
	}
	return errors.Join(failed...)
}
