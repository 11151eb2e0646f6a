package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/control"
	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
)

const loopback = "127.0.0.1:0"

// testSystem is one control replica and one entry box on loopback that use the native interface.
type testSystem struct {
	t        *testing.T
	operator *operator.Client
	box      *Daemon
}

func startTestSystem(t *testing.T) *testSystem {
	t.Helper()
	c, err := control.Open(config.Control{
		Common:          config.Common{Name: "c1", PeerAddress: loopback, OperatorAddress: loopback, LogLevel: "error"},
		DataDir:         t.TempDir(),
		Peers:           []string{loopback},
		ElectionTimeout: 100 * time.Millisecond,
		SnapshotEvery:   64,
		LimitBound:      quota.Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	box, err := Open(Config{
		Name: "box", Zone: "z1", Region: "r", RegionOf: map[string]string{"z1": "r", "z2": "r"},
		CallerAddress: loopback, ReadyAddress: loopback, PeerAddress: loopback, Seeds: []string{c.PeerAddress()},
		Protocol: NativeProtocol(), DecodeRoutes: catalog.ParseDocument, ReadyHandler: ReadyHandler,
		RetryShare: 0.2, RetryExtra: 10, RetryWindow: 10 * time.Second, StopTime: time.Second, LogLevel: zerolog.Disabled,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	run(t, c.Run)
	run(t, box.Run)
	return &testSystem{t: t, operator: operator.NewClient([]string{c.OperatorAddress()}, "", &http.Transport{}), box: box}
}

// run runs a daemon until the test ends.
func run(t *testing.T, daemon func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// eventually repeats a step until it succeeds.
func (s *testSystem) eventually(step func() error) {
	s.t.Helper()
	for err := step(); err != nil; err = step() {
		select {
		case <-s.t.Context().Done():
			s.t.Fatal(err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *testSystem) do(method, path string, body, into any) error {
	return s.operator.Do(s.t.Context(), method, path, body, into)
}

// addTarget registers a target in a zone that responds with its id.
func (s *testSystem) addTarget(id, zone string) {
	s.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Ledgesill-Request-Id", r.Header.Get("Ledgesill-Request-Id"))
		fmt.Fprint(w, id)
	}))
	s.t.Cleanup(server.Close)
	target := operator.Target{
		Service: "shop", Address: strings.TrimPrefix(server.URL, "http://"), Zone: zone, Slots: 4, Sequence: 1,
	}
	s.eventually(func() error { return s.do(http.MethodPut, "/v1/targets/"+id, target, &target) })
}

// get sends a request to the box and returns the id of the target that responded.
func (s *testSystem) get() (string, error) {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.box.CallerAddress()+"/v1/menu", nil)
	if err != nil {
		return "", err
	}
	request.Host = "shop.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, text)
	}
	return string(text), err
}

func shopDocument(number, base uint64) catalog.Document {
	return catalog.Document{
		Number: number,
		Base:   base,
		Hosts: []catalog.Host{{Name: "shop.example", Routes: []catalog.Route{{
			Name: "menu", Prefix: "/v1/", Repeat: catalog.Repeatable, Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2,
			Destinations: []catalog.Destination{{Service: "shop", Weight: 1}},
		}}}},
		Services: []catalog.Service{{Name: "shop"}},
	}
}

// rawDocument is a document as a request body of the operator client.
type rawDocument struct{ document catalog.Document }

// MarshalJSON implements json.Marshaler.
func (r rawDocument) MarshalJSON() ([]byte, error) { return r.document.Text(), nil }

func (s *testSystem) putRoutes(d catalog.Document) error {
	var v operator.RoutesVerdict
	return s.do(http.MethodPut, "/v1/routes", rawDocument{d}, &v)
}

// Routes, targets and evacuations work through the native interface, from the operator's command to
// the response of a target.
func TestNativeInterface(t *testing.T) {
	s := startTestSystem(t)
	s.addTarget("t1", "z1")
	s.addTarget("t2", "z2")
	s.eventually(func() error { return s.putRoutes(shopDocument(1, 0)) })
	s.eventually(func() error {
		_, err := s.get()
		return err
	})

	var evacuations operator.Evacuations
	s.eventually(func() error { return s.do(http.MethodPut, "/v1/evacuations/z1", nil, &evacuations) })
	s.eventually(func() error {
		for range 8 { // requests without an affinity key go to all targets in turn
			if by, err := s.get(); err != nil || by != "t2" {
				return fmt.Errorf("%s responded: %w", by, err)
			}
		}
		return nil
	})
	if err := s.do(http.MethodGet, "/v1/evacuations", nil, &evacuations); err != nil || !slices.Equal(evacuations.Zones, []string{"z1"}) {
		t.Errorf("got %v, %v", evacuations, err)
	}
	s.eventually(func() error { return s.do(http.MethodDelete, "/v1/evacuations/z1", nil, &evacuations) })
	s.eventually(func() error {
		if by, err := s.get(); err != nil || by != "t1" {
			return fmt.Errorf("%s responded: %w", by, err)
		}
		return nil
	})

	var targets []operator.Target
	if err := s.do(http.MethodGet, "/v1/targets", nil, &targets); err != nil || len(targets) != 2 {
		t.Errorf("got %v, %v", targets, err)
	}
	s.eventually(func() error { return s.do(http.MethodDelete, "/v1/targets/t1", nil, &operator.Target{}) })
	if err := s.do(http.MethodGet, "/v1/targets", nil, &targets); err != nil || len(targets) != 1 || targets[0].ID != "t2" {
		t.Errorf("got %v, %v", targets, err)
	}
}

// Invalid commands are refused with a specific code and change nothing.
func TestNativeInterfaceRefusesInvalidCommands(t *testing.T) {
	s := startTestSystem(t)
	s.eventually(func() error { return s.putRoutes(shopDocument(1, 0)) })
	unknown := shopDocument(2, 1)
	unknown.Services = nil
	target := operator.Target{}
	tests := []struct {
		name string
		err  error
		code string
	}{
		{"other base", s.putRoutes(shopDocument(3, 2)), operator.CodeConflict},
		{"number not above", s.putRoutes(func() catalog.Document { d := shopDocument(1, 1); d.Limits.BodyBytes = 9; return d }()), operator.CodeInvalid},
		{"unknown service", s.putRoutes(unknown), operator.CodeInvalid},
		{"no document", s.do(http.MethodPut, "/v1/routes", map[string]int{"nosuch": 1}, &target), operator.CodeInvalid},
		{"unknown zone", s.do(http.MethodPut, "/v1/evacuations/nosuch", nil, &target), operator.CodeNotFound},
		{"target without address", s.do(http.MethodPut, "/v1/targets/t", operator.Target{Service: "shop"}, &target), operator.CodeBadRequest},
	}
	for _, test := range tests {
		var failure *operator.FailureError
		if !errors.As(test.err, &failure) || failure.Failure.Code != test.code {
			t.Errorf("%s: got %v, want code %s", test.name, test.err, test.code)
		}
	}
	if err := s.putRoutes(shopDocument(1, 0)); err != nil {
		t.Errorf("the active document, sent again: %v", err)
	}
	var got struct {
		Number uint64 `json:"number"`
	}
	for _, path := range []string{"/v1/routes", "/v1/routes?text=true"} {
		if err := s.do(http.MethodGet, path, nil, &got); err != nil || got.Number != 1 {
			t.Errorf("%s: got %+v, %v", path, got, err)
		}
	}
}
