package caller_test

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/caller"
)

// endlessBytes is how much is read before a body counts as read without a bound.
const endlessBytes = 16 << 20

// endlessBody is a body without an end that counts what is read.
type endlessBody struct{ read *int }

// Read implements io.Reader.
func (b endlessBody) Read(p []byte) (int, error) {
	if *b.read >= endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range p {
		p[i] = 'a'
	}
	*b.read += len(p)
	return len(p), nil
}

// endlessBox answers lookups, or requests, with a body that begins with a text and has no end.
type endlessBox struct {
	lookups bool
	start   string
	read    *int
}

// RoundTrip implements http.RoundTripper.
func (b endlessBox) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	isLookup := strings.HasPrefix(r.URL.Path, caller.LookupPath)
	if isLookup {
		_ = json.NewEncoder(w).Encode(caller.LookupAnswer{TTLMillis: 1000, KeyScope: "east.7", Boxes: []caller.Box{{Address: "10.0.0.1:7600"}}}) // a recorder does not fail
	} else {
		w.Header().Set(caller.HeaderOutcome, string(caller.Ran))
	}
	response := w.Result()
	if isLookup == b.lookups {
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader(b.start), endlessBody{b.read}))
	}
	return response, nil
}

// Guards against an entry box, or what answers in its place, that takes all memory of a caller by a
// body without an end, and against an answer that is cut at the limit and looks whole.
func TestEndlessBodyIsBounded(t *testing.T) {
	for name, box := range map[string]endlessBox{
		"lookup": {lookups: true, start: `{"keyScope":"`},
		"answer": {},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				const limit = 1 << 20
				box.read = new(int)
				c := caller.NewClient(caller.Config{
					Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east", MaxAnswerBytes: limit,
					HTTP: &http.Client{Transport: box}, Nonce: func() string { return "order-17" },
				})
				if box.lookups {
					if _, err := c.Lookup(t.Context()); err == nil {
						t.Error("no error")
					}
				} else {
					a, err := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/new"})
					var tooLong *caller.AnswerTooLongError
					if !errors.As(err, &tooLong) || tooLong.Limit != limit || a.Outcome != caller.Unknown || a.Key == "" || a.Attempts != 1 {
						t.Errorf("got %q with key %q after %d attempts, %v", a.Outcome, a.Key, a.Attempts, err)
					}
				}
				if *box.read > 2*limit {
					t.Errorf("%d bytes were read", *box.read)
				}
			})
		})
	}
}
