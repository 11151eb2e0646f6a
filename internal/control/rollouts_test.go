package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const rolloutDuration = 12 * time.Second

// submitService gives the replicas a document with one service, and targets of a version.
func submitService(t *testing.T, s *slowReplicas, version string, targets int) {
	t.Helper()
	document := catalog.Document{Number: 1, Services: []catalog.Service{{Name: "s"}}}
	routes := &wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: document.Text()}}}
	submitAll(t, s, append([]*wire.Command{routes}, versionTargets(version, targets)...))
}

func submitAll(t *testing.T, s *slowReplicas, commands []*wire.Command) {
	t.Helper()
	for _, c := range commands {
		if err := s.daemons[0].Submit(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(time.Second) // all replicas apply them
}

func versionTargets(version string, count int) (out []*wire.Command) {
	for i := range count {
		out = append(out, &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprint(version, "-", i), Service: "s", Address: fmt.Sprint(version, i), Zone: "z", Software: version, Slots: 4, Sequence: 1,
		}}})
	}
	return out
}

// rolloutBoxes reports to all replicas as entry boxes do while a roll-out runs.
type rolloutBoxes struct {
	replicas *slowReplicas
	mu       sync.Mutex
	// previousInFlight is reported by the last box, bad is set if the version fails half of its
	// requests.
	previousInFlight int
	bad              bool
	answers          uint64
}

func (b *rolloutBoxes) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// run reports and advances the roll-outs of all replicas until the context ends.
func (b *rolloutBoxes) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, d := range b.replicas.daemons {
			d.collectReport(&wire.Report{Boxes: b.reports(d)})
			d.advanceRollouts(ctx)
		}
		time.Sleep(rolloutInterval)
	}
}

func (b *rolloutBoxes) reports(d *Daemon) (out []*wire.BoxReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers += 4
	for i := range 3 {
		report := &wire.BoxReport{Box: fmt.Sprint("box", i), Incarnation: "1", CallerAddress: "a"}
		for _, r := range d.latest().Catalog().Rollouts() {
			counts := &wire.RouteEvidence{Route: "r", Answers: b.answers, PreviousAnswers: 9 * b.answers}
			if b.bad {
				counts.Bad = b.answers / 2
			}
			own := &wire.RolloutReport{Number: r.Number, Step: r.Step, Routes: []*wire.RouteEvidence{counts}}
			if i == 2 {
				own.PreviousInFlight = uint32(b.previousInFlight)
			}
			report.Rollouts = append(report.Rollouts, own)
		}
		out = append(out, report)
	}
	return out
}

// runRollout runs a function in virtual time with replicas that have started a roll-out to v2, whose
// targets are registered.
func runRollout(t *testing.T, run func(t *testing.T, s *slowReplicas, b *rolloutBoxes)) {
	t.Helper()
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		submitService(t, s, "v1", 5)
		b := &rolloutBoxes{replicas: s}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			b.run(ctx)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		if err := s.daemons[0].StartRollout(ctx, "s", "v2", rolloutDuration); err != nil {
			t.Fatal(err)
		}
		submitAll(t, s, versionTargets("v2", 5))
		run(t, s, b)
	})
}

// wantPhase checks that every replica reads a phase of the roll-out.
func wantPhase(t *testing.T, s *slowReplicas, phase wire.RolloutPhase) *wire.Rollout {
	t.Helper()
	var last *wire.Rollout
	for _, d := range s.daemons {
		r, err := d.Rollout(t.Context(), "s")
		if err != nil {
			t.Fatalf("%s: %v", d.config.Name, err)
		}
		if r.Phase != phase {
			t.Errorf("%s reads %s at step %d (%s), want %s", d.config.Name, r.Phase, r.Step, r.Reason, phase)
		}
		last = r
	}
	return last
}

// Guards against a good version that is not completed before the end of the roll-out, or is completed
// while a request is in flight at a target of the previous version.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	runRollout(t, func(t *testing.T, s *slowReplicas, b *rolloutBoxes) {
		b.set(func() { b.previousInFlight = 1 })
		time.Sleep(rolloutDuration - 3*time.Second)
		if r := wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_RUNNING); !r.PreviousClosed {
			t.Errorf("the previous version is still used: %v", r)
		}
		b.set(func() { b.previousInFlight = 0 })
		time.Sleep(time.Second)
		wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED)
	})
}

// Guards against a bad version that gets requests for longer than the 5 s in which all boxes must have
// stopped, and against a verdict whose reason is lost.
func TestBadVersionIsRolledBack(t *testing.T) {
	runRollout(t, func(t *testing.T, s *slowReplicas, b *rolloutBoxes) {
		time.Sleep(2 * time.Second)
		wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_RUNNING)
		b.set(func() { b.bad = true })
		time.Sleep(2 * time.Second)
		if r := wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK); r.Reason == "" {
			t.Error("the reason is missing")
		}
	})
}

// Guards against a roll-out that is lost or starts anew when another replica becomes the leader.
func TestNewLeaderContinuesRollout(t *testing.T) {
	runRollout(t, func(t *testing.T, s *slowReplicas, _ *rolloutBoxes) {
		time.Sleep(4 * time.Second)
		leader, _ := s.leaderAndAnother(t)
		_ = leader.replica.inbox.put(t.Context(), leadershipTransfer{})
		time.Sleep(time.Second)
		if next, _ := s.leaderAndAnother(t); next == leader {
			t.Fatal("the leader has not changed")
		}
		time.Sleep(rolloutDuration - 6*time.Second)
		if r := wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED); r.Number != 1 {
			t.Errorf("got %v", r)
		}
	})
}

// Guards against orders that are answered wrongly: a resent one, one beside a running roll-out and
// those that can't be carried out.
func TestRolloutOrders(t *testing.T) {
	runRollout(t, func(t *testing.T, s *slowReplicas, _ *rolloutBoxes) {
		for _, d := range s.daemons {
			if err := d.StartRollout(t.Context(), "s", "v2", rolloutDuration); err != nil {
				t.Errorf("resent order: %v", err)
			}
			var conflict *RolloutConflictError
			if err := d.StartRollout(t.Context(), "s", "v3", rolloutDuration); !errors.As(err, &conflict) {
				t.Errorf("second order: %v", err)
			}
			var unknown *UnknownServiceError
			if err := d.StartRollout(t.Context(), "q", "v3", rolloutDuration); !errors.As(err, &unknown) {
				t.Errorf("unknown service: %v", err)
			}
			var invalid *rollout.InvalidError
			if err := d.StartRollout(t.Context(), "s", "v3", 0); !errors.As(err, &invalid) {
				t.Errorf("no duration: %v", err)
			}
			var none *NoRolloutError
			if _, err := d.Rollout(t.Context(), "q"); !errors.As(err, &none) {
				t.Errorf("service without a roll-out: %v", err)
			}
		}
		if err := s.daemons[1].AbortRollout(t.Context(), "s"); err != nil {
			t.Fatal(err)
		}
		wantPhase(t, s, wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK)
		var conflict *RolloutConflictError
		if err := s.daemons[1].AbortRollout(t.Context(), "s"); !errors.As(err, &conflict) {
			t.Errorf("second abort: %v", err)
		}
	})
}

// Guards against an order that a replica of an earlier version would not apply.
func TestRolloutNeedsSupportOfAllReplicas(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		submitService(t, s, "v1", 1)
		d := s.daemons[0]
		hello := d.evidence.hello
		d.evidence.hello = func(ctx context.Context, address string) (*wire.HelloAnswer, error) {
			answer, err := hello(ctx, address)
			if answer != nil {
				answer.TakesRollouts = false
			}
			return answer, err
		}
		var unsupported *RolloutsUnsupportedError
		if err := d.StartRollout(t.Context(), "s", "v2", rolloutDuration); !errors.As(err, &unsupported) || len(unsupported.Replicas) != 2 {
			t.Errorf("got %v", err)
		}
	})
}

// Guards against a roll-out whose time starts anew at a replica that restarts or was cut off.
func TestTimeOfRolloutContinuesAfterRestart(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	running := []*wire.Rollout{{Service: "s", Number: 1, Step: 1, StartedUnixMilli: start.UnixMilli()}}
	x := newRolloutTracker(start.Add(4 * time.Second))
	x.update(start.Add(5*time.Second), start.Add(5*time.Second), running, true)
	if elapsed := start.Add(5 * time.Second).Sub(x.tracked[1].startedAt); elapsed != 5*time.Second {
		t.Errorf("the roll-out counts as running for %s, want 5s", elapsed)
	}
}

// Guards against a clock that steps between the order and its arrival at a replica, which must not
// move the end of the roll-out.
func TestTimeOfRolloutIgnoresSteppedClocks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	x := newRolloutTracker(now)
	x.update(now, now, nil, true)
	now = now.Add(rolloutInterval)
	running := []*wire.Rollout{{Service: "s", Number: 1, StartedUnixMilli: now.Add(-8 * time.Second).UnixMilli()}}
	x.update(now, now, running, true)
	if elapsed := now.Sub(x.tracked[1].startedAt); elapsed != 0 {
		t.Errorf("a roll-out that has just begun counts as running for %s", elapsed)
	}
}
