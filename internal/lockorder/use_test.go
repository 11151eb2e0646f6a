package lockorder

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against locks of the daemons whose order is not checked.
func TestDaemonsUseRankedLocks(t *testing.T) {
	unranked := regexp.MustCompile(`(?m)^\t+(\w+ +)?sync\.(RW)?Mutex`)
	for _, name := range []string{"control", "entry", "gateway", "isolation", "link", "relay", "tunnel"} {
		paths, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("no files of package %s: %v", name, err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(path, "_test.go") && unranked.Match(text) {
				t.Errorf("%s has a lock without a rank; use a Mutex of this package", path)
			}
		}
		if text, err := os.ReadFile(filepath.Join("..", name, "main_test.go")); err != nil || !strings.Contains(string(text), "lockorder.Check()") {
			t.Errorf("the tests of package %s don't check the order of locks: %v", name, err)
		}
	}
}
