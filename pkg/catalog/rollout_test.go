package catalog

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func rolloutOrder(service, version string, startedMilli int64) *wire.RolloutCommand {
	return &wire.RolloutCommand{Rollout: &wire.Rollout{
		Service: service, TargetVersion: version, DurationMilli: 12_000, StartedUnixMilli: startedMilli, Share: 0.09,
	}}
}

func applyRollout(t *testing.T, s State, c *wire.RolloutCommand) State {
	t.Helper()
	next, changed, err := s.ApplyRollout(c)
	if err != nil || !changed {
		t.Fatalf("changed %v, error %v", changed, err)
	}
	return next
}

func stateWithVersions(versions ...string) State {
	var s State
	for _, v := range versions {
		s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: &wire.Registration{Id: "t-" + v, Service: "s", Address: v, Software: v, Sequence: 1}})
	}
	return s
}

// Guards against a resent order that starts a second roll-out, and against a second order that
// replaces one under way.
func TestRolloutOrderIsAppliedOnce(t *testing.T) {
	s := applyRollout(t, stateWithVersions("v1", "v2"), rolloutOrder("s", "v2", 1000))
	r, _ := s.Rollout("s")
	if diff := cmp.Diff([]string{"v1"}, r.PreviousVersions); diff != "" {
		t.Error(diff)
	}
	if _, changed, err := s.ApplyRollout(rolloutOrder("s", "v2", 2500)); changed || err != nil {
		t.Errorf("resent order: changed %v, error %v", changed, err)
	}
	var running *RolloutRunningError
	if _, changed, err := s.ApplyRollout(rolloutOrder("s", "v3", 2500)); changed || !errors.As(err, &running) || running.TargetVersion != "v2" {
		t.Errorf("second order: changed %v, error %v", changed, err)
	}
	if _, changed, err := s.ApplyRollout(rolloutOrder("other", "v3", 2500)); !changed || err != nil {
		t.Errorf("order for another service: changed %v, error %v", changed, err)
	}
	end := &wire.RolloutCommand{Action: wire.RolloutCommand_ACTION_ROLL_BACK, Rollout: &wire.Rollout{Service: "s", Number: r.Number, Reason: "x"}}
	s = applyRollout(t, s, end)
	if _, changed, err := s.ApplyRollout(rolloutOrder("s", "v2", 2500)); changed || err != nil {
		t.Errorf("order resent after the end: changed %v, error %v", changed, err)
	}
	s = applyRollout(t, s, rolloutOrder("s", "v2", 1000+resendMilli))
	if next, _ := s.Rollout("s"); next.Number != 2 || next.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		t.Errorf("a later order of the same version gave %v", next)
	}
}

// Guards against a step that two leaders decide on, or that is decided on an ended roll-out.
func TestRolloutStepAppliesOnce(t *testing.T) {
	s := applyRollout(t, stateWithVersions("v1"), rolloutOrder("s", "v2", 1000))
	step := &wire.RolloutCommand{Action: wire.RolloutCommand_ACTION_STEP, Rollout: &wire.Rollout{Service: "s", Number: 1, Step: 0, Share: 0.5}}
	s = applyRollout(t, s, step)
	if r, _ := s.Rollout("s"); r.Step != 1 || r.Share != 0.5 || r.PreviousClosed {
		t.Errorf("got %v", r)
	}
	for name, c := range map[string]*wire.RolloutCommand{
		"same step":     step,
		"other number":  {Action: wire.RolloutCommand_ACTION_COMPLETE, Rollout: &wire.Rollout{Service: "s", Number: 2, Step: 1}},
		"other service": {Action: wire.RolloutCommand_ACTION_COMPLETE, Rollout: &wire.Rollout{Service: "q", Number: 1, Step: 1}},
	} {
		var stale *StaleRolloutError
		if _, changed, err := s.ApplyRollout(c); changed || !errors.As(err, &stale) {
			t.Errorf("%s: changed %v, error %v", name, changed, err)
		}
	}
}

// Guards against a snapshot or a full state for boxes that loses an acknowledged roll-out.
func TestRolloutSurvivesEncoding(t *testing.T) {
	s := applyRollout(t, State{}, rolloutOrder("s", "v2", 1000))
	restored, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	r, ok := restored.Rollout("s")
	if !ok || r.TargetVersion != "v2" || r.Number != 1 || r.Share != 0.09 {
		t.Errorf("got %v", r)
	}
	if !s.SharesRollouts(s) || s.SharesRollouts(State{}) {
		t.Error("a change of the list is not noticed")
	}
}

// Guards against a list of roll-outs that grows with each service that ever had one.
func TestEndedRolloutsAreBounded(t *testing.T) {
	var s State
	for i := range maxRollouts + 10 {
		service := string(rune('a'+i%26)) + string(rune('a'+i/26))
		s = applyRollout(t, s, rolloutOrder(service, "v2", 1000))
		if i == 0 {
			continue // keeps running
		}
		r, _ := s.Rollout(service)
		s = applyRollout(t, s, &wire.RolloutCommand{Action: wire.RolloutCommand_ACTION_COMPLETE, Rollout: &wire.Rollout{Service: service, Number: r.Number}})
	}
	if n := len(s.Rollouts()); n != maxRollouts {
		t.Errorf("%d roll-outs are kept, want %d", n, maxRollouts)
	}
	if _, ok := s.Rollout("aa"); !ok {
		t.Error("a running roll-out was dropped")
	}
}
