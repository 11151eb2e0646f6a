package bubble_test

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"ledgesill.dev/ledgesill/internal/bubble"
)

// raceTest runs a test of a package below testdata under the race detector.
func raceTest(t *testing.T, pkg, name string) (output string, err error) {
	t.Helper()
	cmd := exec.Command("go", "test", "-race", "-count=1", "-run", "^"+name+"$", "./testdata/"+pkg)
	cmd.Env = append(os.Environ(), "GORACE=") // its exit code and report are checked
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// Guards against crashes of the race detector when several goroutines run due timers.
func TestDueTimersUnderRaceDetector(t *testing.T) {
	for _, name := range []string{"TestReceive", "TestAfterFunc", "TestSleepAndReceive"} {
		if out, err := raceTest(t, "duetimers", name); err != nil || !strings.HasPrefix(out, "ok") {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
}

// Guards against races that go unreported because goroutines share a thread.
func TestRacesAreReported(t *testing.T) {
	for _, name := range []string{"TestUnlockedCounter", "TestUnlockedMap", "TestUnlockedRarePath", "TestUnlockedAfterReceive", "TestUnlockedCallback"} {
		out, err := raceTest(t, "races", name)
		if err == nil || !strings.Contains(out, "WARNING: DATA RACE") {
			t.Errorf("%s: %v, no data race was reported\n%s", name, err, out)
		}
	}
}

func TestThreadsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	bubble.Test(t, func(t *testing.T) {})
	if after := runtime.GOMAXPROCS(0); after != before {
		t.Errorf("GOMAXPROCS is %d after a bubble, %d before", after, before)
	}
}

// Guards against a test that enters a bubble without this package, by whatever name.
func TestBubblesUsePackage(t *testing.T) {
	direct := regexp.MustCompile(`\bsynctest\.(Test|Run)\b|[\w.]+[ \t]+"testing/synctest"`)
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || filepath.Dir(path) == "../../internal/bubble" {
			return err
		}
		text, err := os.ReadFile(path)
		if err == nil && direct.Match(text) {
			t.Errorf("%s calls synctest directly, not bubble.Test", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
