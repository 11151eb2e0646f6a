package command

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// targetsResponse is the response of a replica with two targets, one of which is
// rate-limited.
const targetsResponse = `[
{"id":"i-1","service":"resolver","address":"10.1.0.1:80","zone":"a","software":"v1","slots":9,"sequence":3,
 "limit":{"perSecond":5.6,"saidAgoMillis":2100,"issued":41,"refusedAsks":12}},
{"id":"i-2","service":"resolver","address":"10.1.0.2:80","zone":"b","software":"v1","slots":9,"sequence":3,"draining":true}]`

func TestTargetsAreShown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(targetsResponse))
	}))
	defer s.Close()
	code, out, errOut := runMain(t, "targets", "-servers", strings.TrimPrefix(s.URL, "http://"))
	if code != 0 {
		t.Fatalf("exit code %d: %s", code, errOut)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "targets.golden"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), out); diff != "" {
		t.Error(diff)
	}
}
