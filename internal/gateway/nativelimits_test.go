package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Workspace keys and rate limits work through the native interface, from the operator's document to
// the response, with a real replica and a real box. Of far more requests than the bound allows, no
// more than the bound are served; the others are refused with a Retry-After.
func TestNativeInterfaceLimits(t *testing.T) {
	s := startTestSystem(t)
	s.addTarget("t1", "z1")
	d := shopDocument(1, 0)
	d.Workspaces = []catalog.Workspace{{Name: "north", Keys: []string{"k"}, Limit: catalog.RateLimit{PerSecond: 50, Burst: 3}}}
	text := bytes.ReplaceAll(d.Text(), []byte(catalog.RedactedKey), []byte("key-north"))
	s.eventually(func() error {
		return s.do(http.MethodPut, "/v1/routes", json.RawMessage(text), &operator.RoutesVerdict{})
	})
	send := func(key string) int {
		t.Helper()
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.box.CallerAddress()+"/v1/menu", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = "shop.example"
		r.Header.Set("Ledgesill-Key", key)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusTooManyRequests && response.Header.Get("Retry-After") == "" {
			t.Error("a refusal has no Retry-After")
		}
		return response.StatusCode
	}
	s.eventually(func() error {
		if status := send("key-north"); status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	if status := send("another"); status != http.StatusUnauthorized {
		t.Errorf("unknown key: got status %d", status)
	}
	counts := make(map[int]int)
	for range 1000 {
		counts[send("key-north")]++
	}
	const most = 298 // (50 per second in 5 s, and the burst of 3), a tenth more, and 20
	if served := counts[http.StatusOK]; served == 0 || served > most {
		t.Errorf("%d of 1000 requests were served, the bound is %d: %v", served, most, counts)
	}
	if counts[http.StatusTooManyRequests] == 0 {
		t.Errorf("no request was refused: %v", counts)
	}
	var shown operator.Workspaces
	if err := s.do(http.MethodGet, "/v1/workspaces", nil, &shown); err != nil || len(shown.Workspaces) != 1 || len(shown.Missing) != 0 {
		t.Fatalf("got workspaces %+v, %v", shown, err)
	}
	w := shown.Workspaces[0]
	if w.Name != "north" || w.PerSecond != 50 || w.Burst != 3 || len(w.Shares) != 1 || w.Shares[0].Number != 1 {
		t.Errorf("got workspace %+v", w)
	}
	if w.Issued < uint64(counts[http.StatusOK]) || w.Denied == 0 {
		t.Errorf("%d permits issued and %d refused; %v", w.Issued, w.Denied, counts)
	}
}
