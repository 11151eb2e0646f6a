package boottime

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// marked matches lines that use the monotonic clock or the wall clock on purpose: their
// comment gives the reason after one of these markers.
var marked = regexp.MustCompile(`// (steady clock|time of day): `)

var clockCalls = regexp.MustCompile(`\btime\.(Now|Since|Until)\b|context\.WithDeadline\(|\bctx\.Deadline\(\)|\bboottime\.(Now|Since|Until|Suspended|WithDeadline|Deadline)\b`)

// The code of the daemons must decide nothing by a clock that stops during a suspension, and
// must use the Clock it is given, so that tests can suspend the machines of a simulation one
// by one.
func TestDaemonsUseBootClock(t *testing.T) {
	for _, root := range []string{"../../internal", "../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if strings.Contains(path, "/boottime/") || strings.HasSuffix(filepath.Dir(path), "test") {
				return nil
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for i, line := range strings.Split(string(text), "\n") {
				if clockCalls.MatchString(line) && !marked.MatchString(line) {
					t.Errorf("%s:%d: %s", path, i+1, strings.TrimSpace(line))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
