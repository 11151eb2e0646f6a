package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func reportProblems(t *testing.T, s *system) {
	t.Helper()
	for _, p := range s.problems {
		t.Error(p)
	}
}

// Guards against forwarding a keyed request back and forth between the owner of its key and
// the box that holds the pool.
func TestKeyedRequestRunsThroughAnyBox(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 2)
		for name, host := range boxHosts {
			c := s.client("flags")
			c.Pin(host + ":1")
			began := time.Now()
			a := s.toggle(c, "through "+name, 3*time.Second)
			if a.Outcome != caller.Ran || time.Since(began) > time.Second {
				t.Errorf("through %s: %s after %s", name, a.Outcome, time.Since(began))
			}
		}
		s.close(2)
		reportProblems(t, s)
	})
}

// Guards against failed requests through a box that does not vote on the leases of its zone,
// and so must learn the holder of the pool from other boxes.
func TestNonVotingBoxFindsHolder(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 2)
		s.change(&wire.Edit{Path: "/east/za", Key: "leaseVoters", Value: "b1"})
		time.Sleep(5 * time.Second)
		for name, host := range boxHosts {
			c := s.client("flags")
			c.Pin(host + ":1")
			if a := s.toggle(c, "through "+name, 3*time.Second); a.Outcome != caller.Ran || a.Attempts > 1 {
				t.Errorf("through %s: %s after %d attempts", name, a.Outcome, a.Attempts)
			}
		}
		s.close(2)
		reportProblems(t, s)
	})
}

// Guards against requests to a target that the platform lists as leaving. The list shows a
// change two seconds late.
func TestTargetListedAsLeavingGetsNoRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		const lag = 2 * time.Second
		s := newSystemWith(t, 2, "http://10.0.7.1:1/")
		list := standin.NewBoxList(lag, time.Now)
		l, err := s.network.listen("10.0.7.1:1")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: list}
		done := make(chan error, 1)
		go func() { done <- server.Serve(l) }()
		for _, g := range []string{"a1", "b1"} {
			list.Set(targetHost(g)+":1", "leaving")
		}
		time.Sleep(lag + 2*time.Second)
		c := s.client("flags")
		for i := range 20 {
			a := s.toggle(c, fmt.Sprint("toggle-", i), time.Second)
			if got := a.Header.Get(caller.HeaderTarget); a.Outcome != caller.Ran || got == "a1" || got == "b1" {
				t.Errorf("toggle %d: %s at %q", i, a.Outcome, got)
			}
		}
		_ = server.Close()
		<-done
		s.close(2)
		reportProblems(t, s)
	})
}

// TestReadsTogglesAndExportsRun checks that every kind of request runs if there is no fault.
func TestReadsTogglesAndExportsRun(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 2)
		c := s.client("flags")
		for i := range 20 {
			if a := s.read(c, time.Second); a.Outcome != caller.Ran {
				t.Errorf("read %d: %s", i, a.Outcome)
			}
			if a := s.toggle(c, fmt.Sprintf("toggle-%d", i), time.Second); a.Outcome != caller.Ran {
				t.Errorf("toggle %d: %s", i, a.Outcome)
			}
		}
		if a := s.export(c, 3*time.Second); a.Outcome != caller.Ran {
			t.Errorf("export: %s", a.Outcome)
		}
		s.close(2)
		reportProblems(t, s)
	})
}
