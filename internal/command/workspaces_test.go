package command

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// workspacesResponse is the response of a replica with two workspaces; another
// replica did not answer, so that its shares are missing.
const workspacesResponse = `{"workspaces":[
{"name":"north","perSecond":50,"burst":3,"issuedPerSecond":12.4,"refusedPerSecond":0.2,"issued":310,"refused":5,"parts":[
 {"replica":"127.0.0.1:7001","number":4,"ageMillis":120,"perSecond":25,"room":3.5,"issuedPerSecond":12.4,"refusedPerSecond":0.2}]},
{"name":"south","perSecond":0,"burst":0,"issuedPerSecond":0,"refusedPerSecond":0,"issued":0,"refused":0,"parts":[]}],
"missing":["127.0.0.1:7002"]}`

func TestWorkspacesAreShown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/workspaces" {
			t.Errorf("got a request for %s", r.URL.Path)
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(workspacesResponse))
	}))
	defer s.Close()
	code, out, errOut := runMain(t, "workspaces", "-servers", strings.TrimPrefix(s.URL, "http://"), "-parts")
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errOut)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "workspaces.golden"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), out); diff != "" {
		t.Error(diff)
	}
	code, out, errOut = runMain(t, "workspaces", "-servers", strings.TrimPrefix(s.URL, "http://"), "-workspace", "north", "-json")
	if code != 0 || !bytes.Contains([]byte(out), []byte(`"north"`)) || strings.Contains(out, "south") {
		t.Errorf("exit code %d: %s%s", code, out, errOut)
	}
}
