package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against trying a replica that is frozen or not the leader again at every
// request.
func TestClientStaysWithTheLeader(t *testing.T) {
	asked := 0
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = w.Write([]byte(`{"code":"notLeader","message":"no"}`))
	}))
	defer follower.Close()
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"version":7}`))
	}))
	defer leader.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := NewClient([]string{address(follower), address(leader)}, "", &http.Transport{})
	for range 5 {
		var got Settings
		if err := c.Do(t.Context(), http.MethodGet, "/v1/settings", nil, &got); err != nil || got.Version != 7 {
			t.Fatalf("got %+v, %v", got, err)
		}
	}
	if asked != 1 {
		t.Errorf("the follower was asked %d times, want once", asked)
	}
}
