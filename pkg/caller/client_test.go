package caller_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/caller"
)

// failingBox answers one lookup and fails every request after it.
type failingBox struct {
	*fakeEntryBox
	lookups int
}

var errUnreachable = errors.New("the box is unreachable")

// RoundTrip implements http.RoundTripper.
func (b *failingBox) RoundTrip(r *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(r.URL.Path, caller.LookupPath) {
		return nil, errUnreachable
	}
	if b.lookups++; b.lookups > 1 {
		return nil, errUnreachable
	}
	return b.fakeEntryBox.RoundTrip(r)
}

// TestKeyIsReturnedIfNoBoxIsLeft guards against a lost request key: without it a
// request that was sent can't be resent safely.
func TestKeyIsReturnedIfNoBoxIsLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := caller.NewClient(caller.Config{
			Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east",
			HTTP: &http.Client{Transport: &failingBox{fakeEntryBox: newFakeEntryBox()}}, Nonce: func() string { return "order-17" },
		})
		a, err := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/new"})
		var none *caller.NoBoxError
		if !errors.As(err, &none) || a.Outcome != caller.Unknown {
			t.Fatalf("got %+v, %v", a, err)
		}
		if a.Key != "east.7~order-17" {
			t.Errorf("got key %q, want east.7~order-17", a.Key)
		}
	})
}

// unreachableBoxes is a transport on which no box can be reached.
type unreachableBoxes struct{}

// RoundTrip implements http.RoundTripper.
func (unreachableBoxes) RoundTrip(*http.Request) (*http.Response, error) { return nil, errUnreachable }

// TestResendThatReachesNoBoxIsUnknown guards against a resend that is reported as not
// run because no box could be reached: the request may have run when it was first sent.
func TestResendThatReachesNoBoxIsUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := caller.NewClient(caller.Config{Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east", HTTP: &http.Client{Transport: unreachableBoxes{}}})
		for key, want := range map[string]caller.Outcome{"": caller.NotRun, "east.7~order-17": caller.Unknown} {
			if a, _ := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/new", Key: key}); a.Outcome != want {
				t.Errorf("outcome with key %q is %s, want %s", key, a.Outcome, want)
			}
		}
	})
}
