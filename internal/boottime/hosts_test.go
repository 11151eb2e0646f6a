package boottime

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// allowed are the places that go by the steady clock or the time of day on purpose; the
// line holds a comment that says why.
var allowed = regexp.MustCompile(`// (steady clock|time of day): `)

var steady = regexp.MustCompile(`\btime\.(Now|Since|Until)\b|context\.WithDeadline\(|\bctx\.Deadline\(\)|\bboottime\.(Now|Since|Until|Suspended|WithDeadline|Deadline)\b`)

// The hosts decide nothing by a clock that stands still in a suspension, and each goes by its
// own machine's.
func TestHostsGoByThisClock(t *testing.T) {
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
				if steady.MatchString(line) && !allowed.MatchString(line) {
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
