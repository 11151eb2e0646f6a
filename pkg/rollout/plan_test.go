package rollout

import (
	"errors"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func ready(elapsed time.Duration) Situation {
	return Situation{
		Rollout: running(0.09), Elapsed: elapsed, StepElapsed: elapsed, ReportValidity: 2 * time.Second, ReportsFor: time.Minute,
		Boxes:     []BoxState{{Applied: true}, {Applied: true}},
		Capacity:  Capacity{WarmTarget: 40, Target: 40, Previous: 40},
		Responses: Counts{Answers: 100, PreviousAnswers: 900}, Objective: time.Second,
	}
}

func closedAt(elapsed, step time.Duration) Situation {
	s := ready(elapsed)
	s.Rollout.Share, s.Rollout.PreviousClosed, s.StepElapsed = 1, true, step
	return s
}

// Guards against steps at the wrong time or without what they need.
func TestNextStep(t *testing.T) {
	noSlots := ready(8 * time.Second)
	noSlots.Capacity.WarmTarget = 20
	silent := ready(8 * time.Second)
	silent.Responses.Answers = 3
	late := noSlots
	late.Elapsed = 12 * time.Second
	ramping := ready(9 * time.Second)
	ramping.Rollout.Share, ramping.StepElapsed = rampShare, rampTime
	justRamped := ramping
	justRamped.StepElapsed = rampTime / 2
	bad := ready(time.Second)
	bad.Finding = &Finding{}
	badLate := closedAt(10*time.Second, time.Second)
	badLate.Finding = &Finding{}
	alone := ready(time.Second)
	alone.Rollout.PreviousVersions, alone.Capacity.Previous = nil, 0
	removed := ready(time.Second)
	removed.Removed = true
	const none = wire.RolloutCommand_Action(-1)
	for name, c := range map[string]struct {
		situation Situation
		action    wire.RolloutCommand_Action
		closed    bool
	}{
		"undecided":                     {ready(5 * time.Second), none, false},
		"good":                          {ready(8 * time.Second), wire.RolloutCommand_ACTION_STEP, false},
		"half moved":                    {justRamped, none, false},
		"half moved for long enough":    {ramping, wire.RolloutCommand_ACTION_STEP, true},
		"too few warm slots":            {noSlots, none, false},
		"too few warm slots at the end": {late, wire.RolloutCommand_ACTION_ROLL_BACK, false},
		"no responses":                  {silent, none, false},
		"bad":                           {bad, wire.RolloutCommand_ACTION_ROLL_BACK, false},
		"bad after closing":             {badLate, wire.RolloutCommand_ACTION_ROLL_BACK, false},
		"no other version":              {alone, wire.RolloutCommand_ACTION_COMPLETE, false},
		"service removed":               {removed, wire.RolloutCommand_ACTION_ROLL_BACK, false},
	} {
		got := Next(c.situation)
		if c.action == none {
			if got != nil {
				t.Errorf("%s: got %v", name, got)
			}
			continue
		}
		if got == nil || got.Action != c.action || got.Rollout.PreviousClosed != c.closed {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Guards against a completion while requests may be on their way to targets that stop at once.
func TestCompletionWaitsForRequestsInFlight(t *testing.T) {
	notApplied := closedAt(10*time.Second, time.Second)
	notApplied.Boxes[1].Applied = false
	inFlight := closedAt(20*time.Second, 9*time.Second)
	inFlight.Boxes[1].PreviousInFlight = 1
	silent := closedAt(10*time.Second, time.Second)
	silent.Boxes[1] = BoxState{Silence: 3 * time.Second}
	silentLong := closedAt(12*time.Second, silentBoxTime)
	silentLong.Boxes[1] = BoxState{Silence: 5 * time.Second}
	newLeader := closedAt(10*time.Second, time.Second)
	newLeader.ReportsFor = time.Second
	for name, c := range map[string]struct {
		situation Situation
		completes bool
	}{
		"all have confirmed":             {closedAt(10*time.Second, time.Second), true},
		"a box has not applied the step": {notApplied, false},
		"a request in flight":            {inFlight, false},
		"a box is silent":                {silent, false},
		"a box has been silent for long": {silentLong, true},
		"reports may be missing":         {newLeader, false},
	} {
		got := Next(c.situation)
		if completes := got != nil && got.Action == wire.RolloutCommand_ACTION_COMPLETE; completes != c.completes {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// Guards against orders that can't be carried out.
func TestInvalidOrdersAreRejected(t *testing.T) {
	for _, c := range []struct {
		service, version string
		duration         time.Duration
	}{{"", "v2", time.Minute}, {"s", "", time.Minute}, {"s", "v2", 0}, {"s", "v2", -time.Second}, {"s", "v2", 25 * time.Hour}} {
		var invalid *InvalidError
		if _, err := NewOrder(c.service, c.version, c.duration, 0.1, time.Unix(0, 0)); !errors.As(err, &invalid) {
			t.Errorf("%+v: got %v", c, err)
		}
	}
}
