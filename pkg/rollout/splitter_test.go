package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func running(share float64) *wire.Rollout {
	return &wire.Rollout{Service: "s", TargetVersion: "v2", Number: 1, Share: share, DurationMilli: 12_000, PreviousVersions: []string{"v1"}}
}

func randomRequest(random *rand.Rand) Request {
	return Request{KeyHash: random.Uint64(), HasKey: random.IntN(2) == 0}
}

// send sends a request to the first version that a splitter names and that has a usable target, and
// returns that version.
func send(s *Splitter, now time.Time, r Request, previousUsable bool) string {
	c := s.Candidates(now, r)
	version := "v1"
	if c.First.Contains("v2") || !previousUsable && c.HasSecond {
		version = "v2"
	}
	s.RecordSent(version)
	return version
}

// Guards against boxes that together send a version more than its share of the service's requests:
// with any number of boxes, restarts, lost responses and targets of the previous version that are
// out of use.
func TestSharesOfAllBoxesKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share = 0.1
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Unix(0, 0)
		boxes := make([]*Splitter, rapid.IntRange(1, 40).Draw(t, "boxes"))
		for i := range boxes {
			boxes[i] = NewSplitter(now, running(share))
		}
		lost := rapid.Float64Range(0, 0.5).Draw(t, "lost")
		var target, all int
		for range 4000 {
			now = now.Add(time.Millisecond)
			i := random.IntN(len(boxes))
			if random.IntN(500) == 0 {
				boxes[i] = NewSplitter(now, running(share))
			}
			version := send(boxes[i], now, randomRequest(random), random.IntN(10) > 0)
			if version == "v2" {
				target++
			}
			all++
			if random.Float64() >= lost {
				boxes[i].RecordReached()
			}
			if float64(target) > share*float64(all) {
				t.Fatalf("%d of %d requests went to the version", target, all)
			}
		}
	})
}

// Guards against a version that gets far less than its share, which delays the verdict.
func TestShareIsUsed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	s := NewSplitter(now, running(0.1))
	target := 0
	for range 2000 {
		if send(s, now, randomRequest(random), true) == "v2" {
			target++
		}
		s.RecordReached()
	}
	if target < 160 {
		t.Errorf("%d of 2000 requests went to the version, want about 200", target)
	}
}

// Guards against an object that moves back and forth between versions while the share grows.
func TestObjectMovesOnce(t *testing.T) {
	now := time.Unix(0, 0)
	for i := range 200 {
		moved := false
		for _, share := range []float64{0.1, 0.5, 0.9} {
			s := NewSplitter(now, running(share))
			for range 100 {
				s.RecordReached()
			}
			prefers := s.Candidates(now, Request{KeyHash: uint64(i) << 56, HasKey: true}).First.Contains("v2")
			if moved && !prefers {
				t.Fatalf("object %d moved back at a share of %v", i, share)
			}
			moved = prefers
		}
	}
}

// Guards against a request that fails at the version and is sent to it again.
func TestRetryGoesToThePreviousVersion(t *testing.T) {
	s := NewSplitter(time.Unix(0, 0), running(1))
	for range 100 {
		s.RecordReached()
	}
	c := s.Candidates(time.Unix(0, 0), Request{TriedTarget: true})
	if c.First.Contains("v2") || c.HasSecond {
		t.Errorf("got %+v", c)
	}
}

// Guards against requests to a version that must get none: the previous one once it is closed or the
// roll-out is completed, and the target version once it is rolled back.
func TestEndedVersionsGetNothing(t *testing.T) {
	now := time.Unix(0, 0)
	closed := running(1)
	closed.PreviousClosed = true
	completed := running(1)
	completed.Phase = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED
	rolledBack := running(1)
	rolledBack.Phase = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	for _, c := range []struct {
		name    string
		rollout *wire.Rollout
		allowed map[string]bool
	}{
		{"closed", closed, map[string]bool{"v1": false, "v2": true, "v3": false}},
		{"completed", completed, map[string]bool{"v1": false, "v2": true, "v3": true}},
		{"rolled back", rolledBack, map[string]bool{"v1": true, "v2": false, "v3": true}},
	} {
		s := NewSplitter(now, c.rollout)
		got := s.Candidates(now, Request{})
		for version, want := range c.allowed {
			if s.Allows(version) != want || got.First.Contains(version) != want || got.HasSecond {
				t.Errorf("%s: version %s is allowed %v, want %v", c.name, version, s.Allows(version), want)
			}
		}
	}
}

// Guards against a box that is cut off from control and refuses requests forever because the previous
// targets are gone.
func TestBoxWithoutControlUsesAnyVersionAfterTheEnd(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewSplitter(now, running(0.1))
	if s.Candidates(now, Request{}).HasSecond {
		t.Error("the share is exceeded before any request")
	}
	if c := s.Candidates(now.Add(13*time.Second), Request{}); !c.HasSecond {
		t.Errorf("got %+v after the duration", c)
	}
}

// Guards against a box that waits for control although its own responses show that a version is bad.
func TestBoxStopsOnItsOwnEvidence(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewSplitter(now, running(0.1))
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		s.RecordReached()
		s.RecordResponse(now, Response{Route: "r", Version: "v1", Target: "a", Took: 100 * time.Millisecond, UsualTime: 100 * time.Millisecond}, 8)
		if i%4 == 0 {
			s.RecordResponse(now, Response{Route: "r", Version: "v2", Target: fmt.Sprint(i % 8), Took: 100 * time.Millisecond, Failed: true}, 8)
		}
	}
	if c := s.Candidates(now, Request{}); c.First.Contains("v2") || c.HasSecond || s.Allows("v2") {
		t.Error("the version still gets requests")
	}
	if r := s.Report(3); !r.Stopped || r.PreviousInFlight != 3 || len(r.Routes) != 1 || r.Routes[0].Bad == 0 {
		t.Errorf("got %v", r)
	}
}

func ExampleSplitter() {
	now := time.Unix(0, 0)
	s := NewSplitter(now, &wire.Rollout{Service: "resolver", TargetVersion: "v2", Share: 0.25, DurationMilli: 60_000, PreviousVersions: []string{"v1"}})
	sent := map[string]int{}
	for range 100 {
		version := "v1"
		if s.Candidates(now, Request{}).First.Contains("v2") {
			version = "v2"
		}
		s.RecordSent(version)
		s.RecordReached()
		sent[version]++
	}
	fmt.Println(sent)
	// Output: map[v1:76 v2:24]
}
