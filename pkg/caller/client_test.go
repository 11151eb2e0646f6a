package caller_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"ledgesill.dev/ledgesill/pkg/caller"
)

// boxThatGoes answers one look-up, breaks the request that follows and nothing
// after it.
type boxThatGoes struct {
	*entryBox
	lookups int
}

var errGone = errors.New("the box is gone")

// RoundTrip implements http.RoundTripper.
func (b *boxThatGoes) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(r.URL.Path, caller.LookupPath) {
		return nil, errGone
	}
	if b.lookups++; b.lookups > 1 {
		return nil, errGone
	}
	return b.entryBox.RoundTrip(r)
}

// Guards against a request that was sent and whose key is not told, so that it can't be sent
// again safely.
func TestKeyIsToldWhereNoBoxIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := caller.NewClient(caller.Config{
			Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east",
			HTTP: &http.Client{Transport: &boxThatGoes{entryBox: newEntryBox()}}, Nonce: func() string { return "order-17" },
		})
		a, err := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/new"})
		var none *caller.NoBoxError
		if !errors.As(err, &none) || a.Outcome != caller.Unknown {
			t.Fatalf("got %+v, %v", a, err)
		}
		if a.Key != "east.7~order-17" {
			t.Errorf("told the key %q", a.Key)
		}
	})
}

// noBox is a network on which no box can be reached.
type noBox struct{}

// RoundTrip implements http.RoundTripper.
func (noBox) RoundTrip(*http.Request) (*http.Response, error) { return nil, errGone }

// Guards against a resend that is told that its request did not run, as no box could be asked:
// it may have run when it was sent before.
func TestResendThatReachesNoBoxIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := caller.NewClient(caller.Config{Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east", HTTP: &http.Client{Transport: noBox{}}})
		for key, want := range map[string]caller.Outcome{"": caller.NotRun, "east.7~order-17": caller.Unknown} {
			if a, _ := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/new", Key: key}); a.Outcome != want {
				t.Errorf("with the key %q it is %s, want %s", key, a.Outcome, want)
			}
		}
	})
}
