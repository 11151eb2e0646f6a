package command

import (
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

// compareGolden checks an output with a file below testdata.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

// Guards against an output that lacks errors or shows keys, and against an exit code that lets
// a script send an invalid document.
func TestCheckRoutesListsAllFindings(t *testing.T) {
	const file, other = "testdata/check-routes.json", "testdata/active-routes.json"
	for golden, args := range map[string][]string{
		"check-routes.golden":       {file},
		"check-against.golden":      {file, "-against", other},
		"check-against-json.golden": {"-json", "-against", other, file},
	} {
		code, out, errOut := runMain(t, append([]string{"check", "routes"}, args...)...)
		if code != ExitRejected || !strings.Contains(errOut, "not valid") {
			t.Errorf("%v: exit %d, %q", args, code, errOut)
		}
		if strings.Contains(out+errOut, "secret") {
			t.Errorf("%v: a key is shown: %s%s", args, out, errOut)
		}
		compareGolden(t, golden, out)
	}
}

// Guards against a check that sends or changes something, and against a document that is refused
// because it is the first one.
func TestCheckRoutesReadsActiveDocument(t *testing.T) {
	active, err := os.ReadFile("testdata/active-routes.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		status int
		body   string
		file   string
		code   int
		want   string
	}{
		{http.StatusOK, string(active), "testdata/check-routes.json", ExitRejected, "the base is 1, but the number of the other document is 2"},
		{http.StatusNotFound, `{"code":"notFound","message":"no document of routes is in force"}`, "../../docs/routes.sample.json", ExitOK, "5 differences from the active document"},
		{http.StatusUnauthorized, `{"code":"unauthorized","message":"no token"}`, "../../docs/routes.sample.json", ExitFailed, "reading the active routes document"},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet || r.URL.String() != "/v1/routes?text=true" {
				t.Errorf("got %s %s", r.Method, r.URL)
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}))
		code, out, errOut := runMain(t, "check", "routes", "-against-active", "-servers", strings.TrimPrefix(s.URL, "http://"), c.file)
		s.Close()
		if code != c.code || !strings.Contains(out+errOut, c.want) {
			t.Errorf("status %d: exit %d, %q, %q", c.status, code, out, errOut)
		}
	}
}

// Guards against documents of the users' platform that are decoded in the native format.
func TestCheckPlatformRoutes(t *testing.T) {
	code, out, errOut := runMain(t, "check", "platform-routes", "../../platform/testdata/workspaces.json", "-against", "../../platform/testdata/routes.json")
	if code != ExitRejected || !strings.Contains(out, "document 7, 1 hosts, 1 services") || !strings.Contains(out, "added: workspace huka270") {
		t.Errorf("exit %d, %q, %q", code, out, errOut)
	}
	code, out, errOut = runMain(t, "check", "platform-routes", "../../platform/testdata/routes.json")
	if code != ExitOK || !strings.Contains(out, "- valid") {
		t.Errorf("exit %d, %q, %q", code, out, errOut)
	}
}

// Guards against unclear errors for input that is no document.
func TestUnreadableDocumentsAreNamed(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	huge := write("huge", "{}")
	if err := os.Truncate(huge, maxDocumentBytes+1); err != nil {
		t.Fatal(err)
	}
	good := "../../docs/routes.sample.json"
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{folder}, "reading the routes document"},
		{[]string{huge}, "longer than the 16777216 bytes"},
		{[]string{write("empty", " \n")}, "empty"},
		{[]string{write("cut", "{\n \"number\": 1,\n \"hosts\": [")}, "the text ends too early, at line 3, column 11"},
		{[]string{write("comma", "{\n \"number\": 1,\n}")}, "not valid JSON at line 3, column 1"},
		{[]string{write("more", "{} {}")}, "not valid JSON at line 1, column 4"},
		{[]string{write("type", `{"number": "x"}`)}, "cannot unmarshal string"},
		{[]string{good, "-against", filepath.Join(folder, "cut")}, "cut: not valid JSON"},
		{[]string{good, good}, "one routes document"},
		{[]string{good, "-against", good, "-against-active"}, "either -against or -against-active"},
		{[]string{good, "-nosuch"}, "nosuch"},
	} {
		code, out, errOut := runMain(t, append([]string{"check", "routes"}, c.args...)...)
		if code != ExitUsage || !strings.Contains(errOut, c.want) || strings.Contains(out, "valid") {
			t.Errorf("%v: exit %d, %q, %q; want exit 2 and %q", c.args, code, out, errOut, c.want)
		}
	}
}
