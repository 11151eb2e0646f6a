package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"ledgesill.dev/ledgesill/pkg/caller"
)

// fakeEntryBox simulates an entry box without a network.
type fakeEntryBox struct{ http.ServeMux }

// RoundTrip implements http.RoundTripper.
func (b *fakeEntryBox) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w.Result(), nil
}

func newFakeEntryBox() *fakeEntryBox {
	b := &fakeEntryBox{}
	b.HandleFunc("GET "+caller.LookupPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(caller.LookupAnswer{ // on an error the client fails to decode the answer
			TTLMillis: 1000, KeyScope: "east.7", Boxes: []caller.Box{{Name: "b1", Address: "10.0.0.1:7600"}},
		})
	})
	b.HandleFunc("POST "+caller.ServicePrefix+"orders/new", func(w http.ResponseWriter, r *http.Request) {
		fmt.Println("the box sees key", r.Header.Get(caller.HeaderKey))
		w.Header().Set(caller.HeaderOutcome, string(caller.Ran))
		w.WriteHeader(http.StatusCreated)
	})
	return b
}

// ExampleClient_Do sends a request that must not run twice.
func ExampleClient_Do() {
	c := caller.NewClient(caller.Config{
		Boxes: []string{"10.0.0.1:7600"}, Service: "orders", Home: "east",
		HTTP:  &http.Client{Transport: newFakeEntryBox()}, // a plain &http.Client{} outside of tests
		Nonce: func() string { return "order-17" },
	})
	a, err := c.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/new", Body: []byte("{}")})
	if err != nil {
		fmt.Println(err) // no entry box answers
		return
	}
	switch a.Outcome {
	case caller.Ran:
		fmt.Println("ran with status", a.Status)
	case caller.NotRun:
		fmt.Println("did not run, come back in", a.RetryAfter)
	case caller.Unknown:
		fmt.Println("send it again with Request.Key set to", a.Key)
	}
	// Output:
	// the box sees key east.7~order-17
	// ran with status 201
}
