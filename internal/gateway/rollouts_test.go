package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// withVersions gives a rig's daemon a state in which its targets have the given versions, with a
// roll-out to v2.
func withVersions(t *testing.T, s *rig, share float64, versions ...string) steering.State {
	t.Helper()
	commands := []*wire.Command{
		{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}},
		{Rollout: &wire.RolloutCommand{Rollout: &wire.Rollout{Service: "s", TargetVersion: "v2", DurationMilli: 60_000, Share: share}}},
	}
	for i, v := range versions {
		commands = append(commands, &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint(i), Zone: "z", Software: v, Slots: 4, Sequence: 2,
		}}})
	}
	state, results := steering.State{}.ApplyAll(commands)
	for _, r := range results {
		if r.Err != nil {
			t.Fatal(r.Err)
		}
	}
	s.daemon.applyState(state, nil)
	return state
}

// Guards against a request that a bad version fails and that is sent to that version again, although
// targets of the previous one are free.
func TestFailureOfVersionIsRetriedAtThePreviousOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 4)
		withVersions(t, s, 1, "v1", "v2", "v2", "v2")
		for n := range 8 { // the share is of the requests that reached targets
			s.scripts = scripts(s.responds(10*time.Millisecond, "ok"))
			if got := s.send(t.Context(), "/long/", fmt.Sprint(n)); got.status != http.StatusOK {
				t.Fatalf("got %d", got.status)
			}
		}
		for len(s.reached) > 0 {
			<-s.reached
		}
		s.scripts = scripts(s.respondsStatus(10*time.Millisecond, http.StatusInternalServerError), s.responds(10*time.Millisecond, "ok"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusOK {
			t.Fatalf("got %d %q", got.status, got.body)
		}
		if first, second := <-s.reached, <-s.reached; first == s.targets[0] || second != s.targets[0] {
			t.Error("the request did not go from the new version to the previous one")
		}
		report := s.daemon.boxReport()
		if len(report.Rollouts) != 1 || len(report.Rollouts[0].Routes) != 1 {
			t.Fatalf("got %v", report)
		}
		if e := report.Rollouts[0].Routes[0]; e.Route != "long" || e.Bad != 1 || e.Failed != 1 || e.Answers == 0 || e.PreviousAnswers == 0 {
			t.Errorf("the box reports %v", e)
		}
	})
}

// Guards against a box that goes on with a version after the step that rules it out.
func TestBoxFollowsTheEndOfRollout(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		for _, c := range []struct {
			action wire.RolloutCommand_Action
			target int
		}{{wire.RolloutCommand_ACTION_COMPLETE, 1}, {wire.RolloutCommand_ACTION_ROLL_BACK, 0}} {
			s := newRig(t, testConfig(), 2)
			state := withVersions(t, s, 0.1, "v1", "v2")
			state, result := state.Apply(&wire.Command{Rollout: &wire.RolloutCommand{Action: c.action, Rollout: &wire.Rollout{Service: "s", Number: 1}}})
			if !result.Changed {
				t.Fatal(result.Err)
			}
			s.daemon.applyState(state, nil)
			for n := range 4 {
				s.scripts = scripts(s.responds(10*time.Millisecond, "ok"))
				if got := s.send(t.Context(), "/once/", fmt.Sprint(n)); got.status != http.StatusOK {
					t.Fatalf("%s: got %d", c.action, got.status)
				}
				if at := <-s.reached; at != s.targets[c.target] {
					t.Errorf("%s: a request reached the wrong version", c.action)
				}
			}
			if r := s.daemon.boxReport().Rollouts; len(r) != 0 {
				t.Errorf("%s: the box reports %v", c.action, r)
			}
		}
	})
}

// Guards against boxes that report every 0.5 s before they know how many they are: before the first
// document 984 boxes sent each replica 2,000 reports a second, beside the first registrations.
func TestBoxWithoutRoutesReportsRarely(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		if got := s.daemon.reportInterval(); got != lookup.ReportInterval(1) {
			t.Errorf("a serving box reports every %s", got)
		}
		s.daemon.routing.Store(nil)
		if got := s.daemon.reportInterval(); got != lookup.IdleReportInterval {
			t.Errorf("a box without routes reports every %s", got)
		}
	})
}
