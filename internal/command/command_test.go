package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ledgesill.dev/ledgesill/internal/operator"
)

func runMain(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Main(t.Context(), args, strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func TestUsageErrorsNameTheCause(t *testing.T) {
	entry := []string{
		"entry", "-name", "e", "-peer-address", "127.0.0.1:1", "-operator-address", "127.0.0.1:2",
		"-caller-address", "127.0.0.1:3", "-region", "r", "-zone", "z", "-controls", "127.0.0.1:4",
	}
	with := func(more ...string) []string { return append(append([]string{"check"}, entry...), more...) }
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"/": {"slots": 0}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"nosuch"}, `unknown command "nosuch"`},
		{with("-zone", "a b"), `flag -zone (environment variable LEDGESILL_ZONE): value "a b" is not allowed`},
		{with("-controls", ""), "flag -controls"},
		{with("-caller-address", "localhost:1"), "an IP address and a port"},
		{with("-log-level", "loud"), "debug, info, warn, error"},
		{with("-certificate", "x"), "together with -certificate-key and -authority"},
		{with("-nosuch"), "nosuch"},
		{[]string{"check", "control", "-name", "c", "-peer-address", "127.0.0.1:1", "-operator-address", "127.0.0.1:2", "-peers", "127.0.0.1:9", "-folder", "x"}, "a list that contains the address of -peer-address"},
		{[]string{"check", "control", "-election-timeout", "1ms"}, "100ms to 30s"},
		{[]string{"check", bad}, "key slots with value \"0\": allowed is 1 to 10000 slots"},
		{[]string{"check", "nosuch.json"}, "nosuch.json"},
		{[]string{"check", "gateway", "-zone", "z", "-region", "r", "-zones", "z=other"}, "this box's zone with its region r"},
		{[]string{"check", "gateway", "-zones", "z"}, "us-a=us,us-b=us"},
		{[]string{"check", "gateway", "-retry-share", "101"}, "0 to 100"},
		{[]string{"check", "gateway", "-retry-window", "0s"}, "a duration above 0"},
		{[]string{"check", "gateway", "-stop-time", "1ms"}, "1s or more"},
		{[]string{"check", "routes"}, "one routes document"},
		{[]string{"check", "routes", bad}, `unknown field "/"`},
		{[]string{"routes", "-file", "nosuch.json"}, "nosuch.json"},
		{[]string{"evacuate", "-withdraw"}, "the name of a zone"},
		{[]string{"set"}, "nothing to set"},
		{[]string{"set", "/"}, "edits come in pairs"},
		{[]string{"set", "east", "slots=1"}, "begins with /"},
		{[]string{"set", "/", "slots"}, "key- to unset"},
		{[]string{"get", "-servers", "here"}, "flag -servers"},
		{[]string{"rollback"}, "-to"},
		{[]string{"shift"}, "-percent"},
		{[]string{"abort"}, "the id of one shift"},
	}
	for _, test := range tests {
		code, _, errOut := runMain(t, test.args...)
		if code != ExitUsage || !strings.Contains(errOut, test.want) {
			t.Errorf("%v: exit %d, %q; want exit 2 and %q", test.args, code, errOut, test.want)
		}
	}
}

func TestEnvironmentVariablesAreRead(t *testing.T) {
	t.Setenv("LEDGESILL_LOG_LEVEL", "loud")
	code, _, errOut := runMain(t, "check", "entry")
	if code != ExitUsage || !strings.Contains(errOut, "LEDGESILL_LOG_LEVEL") {
		t.Errorf("exit %d, %q", code, errOut)
	}
}

func TestSampleTreeIsValid(t *testing.T) {
	code, out, errOut := runMain(t, "check", "../../docs/tree.sample.json")
	if code != ExitOK || !strings.Contains(out, "6 availability zones") {
		t.Errorf("exit %d, %q, %q", code, out, errOut)
	}
}

func TestSampleRoutesAreValid(t *testing.T) {
	code, out, errOut := runMain(t, "check", "routes", "../../docs/routes.sample.json")
	if code != ExitOK || !strings.Contains(out, "document 1, 1 hosts, 2 services") {
		t.Errorf("exit %d, %q, %q", code, out, errOut)
	}
}

// TestManualsAreComplete checks that the manual page lists every command and that
// docs/SETTINGS.md contains the current table of keys.
func TestManualsAreComplete(t *testing.T) {
	manual, err := os.ReadFile("ledgesill.1")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range commands {
		if !strings.Contains(string(manual), ".It Cm "+c.Name+"\n") {
			t.Errorf("the manual page lacks the command %s", c.Name)
		}
		if code, out, _ := runMain(t, c.Name, "-help"); code != ExitOK || (out == "" && !isDaemon(c)) {
			t.Errorf("%s -help: exit %d, %q", c.Name, code, out)
		}
	}
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := runMain(t, "keys", "-markdown")
	if !strings.Contains(string(page), table) {
		t.Error("docs/SETTINGS.md lacks the current table of ledgesill keys -markdown")
	}
}

func TestRollbackCombinesInverseEdits(t *testing.T) {
	list := []operator.HistoryEntry{
		{Version: 5, BaseVersion: 4, Inverse: []operator.Edit{{Path: "/", Key: "slots", Value: "1"}}},
		{Version: 6, BaseVersion: 5, Inverse: []operator.Edit{{Path: "/", Key: "slots", Value: "2"}}},
	}
	c, err := rollbackChange(list, 4)
	if err != nil || c.BaseVersion != 6 || len(c.Edits) != 2 || c.Edits[1].Value != "1" {
		t.Errorf("got %+v, %v", c, err)
	}
	if _, err := rollbackChange(list, 3); err == nil {
		t.Error("a rollback to a version before the history was accepted")
	}
	if _, err := rollbackChange(list, 6); err == nil {
		t.Error("a rollback to the current version was accepted")
	}
}

func TestErrorNamesUnreachableServers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var o, e bytes.Buffer
	if code := Main(ctx, []string{"status", "-servers", "127.0.0.1:1"}, nil, &o, &e); code != ExitFailed || !strings.Contains(e.String(), "127.0.0.1:1") {
		t.Errorf("exit %d, %q", code, e.String())
	}
}
