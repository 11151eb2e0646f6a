package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// These tests guard against a box that ignores the workspaces of its document. Such a box sent each
// request to a target with its key and without the name of its workspace, ran a request with a key
// that had been revoked, and ran a request outside the regions of its workspace.

// workspaceRoutes adds two workspaces to testRoutes, one of them restricted to a region without
// targets. The route /open/ needs no key, and /there/ is restricted to the box's region.
func workspaceRoutes(text []byte) (catalog.Document, error) {
	d, err := testRoutes(text)
	open, there := d.Hosts[0].Routes[0], d.Hosts[0].Routes[0]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	there.Name, there.Prefix, there.Regions = "there", "/there/", []string{"r"}
	d.Hosts[0].Routes = append(d.Hosts[0].Routes, open, there)
	d.Workspaces = []catalog.Workspace{
		{Name: "north", Keys: []string{"key-n1", "key-n2"}},
		{Name: "south", Keys: []string{"key-s"}, Regions: []string{"far"}},
	}
	return d, err
}

// workspaceProtocol adds headers for workspace keys and names to testProtocol.
func workspaceProtocol() Protocol {
	p := testProtocol()
	p.WorkspaceKey = "Test-Secret"
	p.Workspace = "Test-Workspace"
	return p
}

// newWorkspaceBox returns a box with one target, which records the headers that it gets.
func newWorkspaceBox(t *testing.T) (send func(path string, header http.Header) *http.Response, seen chan http.Header, d *Daemon) {
	t.Helper()
	seen = make(chan http.Header, 16)
	s := newTarget(t, func(n int, r *http.Request, c net.Conn) bool {
		seen <- r.Header
		return respondHello(n, r, c)
	})
	config := testConfig()
	config.Protocol = workspaceProtocol()
	config.DecodeRoutes = workspaceRoutes
	d = newDaemon(t, config, s.listener.Addr().String())
	g := serveDaemon(t, d)
	send = func(path string, header http.Header) *http.Response {
		r, err := http.NewRequest(http.MethodGet, g.server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "a.example"
		r.Header = header.Clone()
		r.Header.Set("Test-Id", "id1")
		response, err := g.server.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response
	}
	return send, seen, d
}

func TestTargetGetsTheWorkspaceAndNotTheKey(t *testing.T) {
	send, seen, _ := newWorkspaceBox(t)
	for _, c := range []struct {
		name, path string
		header     http.Header
		workspace  []string
	}{
		{"first key", "/safe/", http.Header{"Test-Secret": {"key-n1"}}, []string{"north"}},
		{"second key", "/safe/", http.Header{"Test-Secret": {"key-n2"}}, []string{"north"}},
		{"a name of the caller's", "/safe/", http.Header{"Test-Secret": {"key-n1"}, "Test-Workspace": {"south", "x"}}, []string{"north"}},
		{"odd case", "/safe/", http.Header{"tEST-secret": {"key-n1"}, "test-WORKSPACE": {"south"}}, []string{"north"}},
		{"public, no key", "/open/", http.Header{"Test-Workspace": {"south"}}, nil},
		{"public, unknown key", "/open/", http.Header{"Test-Secret": {"who"}}, nil},
		{"public, known key", "/open/", http.Header{"Test-Secret": {"key-n1"}}, []string{"north"}},
	} {
		if response := send(c.path, c.header); response.StatusCode != http.StatusOK {
			t.Fatalf("%s: status %d", c.name, response.StatusCode)
		}
		got := <-seen
		if len(got["Test-Secret"]) > 0 {
			t.Errorf("%s: the target got the key", c.name)
		}
		if strings.Join(got["Test-Workspace"], ",") != strings.Join(c.workspace, ",") {
			t.Errorf("%s: the target got workspace %q", c.name, got["Test-Workspace"])
		}
	}
}

func TestRequestWithoutAKnownKeyIsDenied(t *testing.T) {
	send, seen, d := newWorkspaceBox(t)
	headers := map[string]http.Header{
		"none": {}, "unknown": {"Test-Secret": {"who"}}, "empty": {"Test-Secret": {""}}, "two": {"Test-Secret": {"key-n1", "key-n1"}},
		"shown": {"Test-Secret": {catalog.RedactedKey}},
	}
	for name, h := range headers {
		if response := send("/safe/", h); response.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s: status %d", name, response.StatusCode)
		}
	}
	// Without contact with control, the key may have been added.
	d.controlAge = func() time.Duration { return maxControlAge + 1 }
	for name, h := range headers {
		if response := send("/safe/", h); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("%s, no recent contact with control: status %d", name, response.StatusCode)
		}
	}
	if len(seen) > 0 {
		t.Fatal("a target got a request")
	}
}

func TestRegionsOfWorkspaceAndRouteBothApply(t *testing.T) {
	send, seen, _ := newWorkspaceBox(t)
	south := http.Header{"Test-Secret": {"key-s"}}
	for _, path := range []string{"/safe/", "/there/"} {
		if response := send(path, south); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d", path, response.StatusCode)
		}
	}
	if len(seen) > 0 {
		t.Fatal("a target of another region got a request")
	}
}

func TestKeysAreNotLogged(t *testing.T) {
	send, _, d := newWorkspaceBox(t)
	var lines bytes.Buffer
	d.log = zerolog.New(&lines)
	for _, key := range []string{"key-n1", "secret-unknown"} {
		send("/safe/", http.Header{"Test-Secret": {key}})
	}
	text := lines.String()
	if !strings.Contains(text, `"workspace":"north"`) || !strings.Contains(text, reasonUnknownKey) {
		t.Fatalf("the log lacks the requests: %s", text)
	}
	for _, key := range []string{"key-n1", "secret-unknown"} {
		if strings.Contains(text, key) {
			t.Errorf("the log contains the key %s", key)
		}
	}
}
