package lease

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const duration = 2 * time.Second

type packet struct {
	at      time.Time
	to      int
	request *wire.LeaseRequest
	answer  *wire.LeaseAnswer
}

// TestAtMostOneHolder lets three boxes compete for a pool and checks that no two hold it at
// once. The network delays, duplicates and loses messages, clocks run up to 4 % fast or
// slow, and boxes restart.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		names := []string{"b0", "b1", "b2"}
		speed := make([]float64, len(names))
		voters, holders := make([]*Voter, len(names)), make([]*Holder, len(names))
		local := func(i int) time.Time {
			return time.Unix(0, 0).Add(time.Duration(float64(now.Sub(time.Unix(0, 0))) * speed[i]))
		}
		incarnations := 0
		boot := func(i int) {
			incarnations++
			voters[i] = NewVoter(local(i), names[i], duration)
			holders[i] = NewHolder(local(i), Config{
				Pool: "p", Name: names[i], Incarnation: fmt.Sprint(incarnations), Voters: names, Rank: i, Duration: duration, Seed: uint64(incarnations),
			})
		}
		for i := range names {
			speed[i] = 1 + float64(rapid.IntRange(-40, 40).Draw(t, "speed"))/1000
			boot(i)
		}
		var network []packet
		healed := false
		send := func(f packet) {
			if healed {
				f.at = now.Add(time.Millisecond)
				network = append(network, f)
				return
			}
			copies := rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(t, "copies")
			for range copies {
				f.at = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "delay")) * time.Millisecond)
				network = append(network, f)
			}
		}
		holding := 0
		for round := range 800 {
			now = now.Add(50 * time.Millisecond)
			healed = round >= 400
			if !healed && rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				boot(rapid.IntRange(0, len(names)-1).Draw(t, "which"))
			}
			due := network
			network = nil
			for _, f := range due {
				switch {
				case now.Before(f.at):
					network = append(network, f)
				case f.request != nil:
					a := voters[f.to].Handle(local(f.to), proto.CloneOf(f.request))
					for i, name := range names {
						if name == f.request.Holder {
							send(packet{to: i, answer: a})
						}
					}
				default:
					holders[f.to].HandleAnswer(local(f.to), f.answer)
				}
			}
			for i, h := range holders {
				for _, r := range h.Tick(local(i)) {
					for j, name := range names {
						if name == r.To {
							send(packet{to: j, request: r.Message})
						}
					}
				}
			}
			count := 0
			for i, h := range holders {
				if h.Held(local(i)) {
					count++
				}
			}
			if count > 1 {
				t.Fatal("two boxes hold the pool")
			}
			holding = count
		}
		if holding != 1 {
			t.Fatal("no box holds the pool long after the network has recovered")
		}
	})
}

// TestSingleVoterHoldsAfterStartupDelay checks that the only box of a zone acquires the
// lease, but not before its own voter grants any.
func TestSingleVoterHoldsAfterStartupDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewVoter(now, "b", duration)
	h := NewHolder(now, Config{Pool: "p", Name: "b", Incarnation: "1", Voters: []string{"b"}, Duration: duration})
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for _, r := range h.Tick(now) {
			h.HandleAnswer(now, v.Handle(now, r.Message))
		}
		if h.Held(now) && now.Before(time.Unix(1002, 0)) {
			t.Fatal("held before the voter's startup delay was over")
		}
	}
	if !h.Held(now) {
		t.Error("the only box of a zone does not hold the pool")
	}
}

func TestReleaseFreesThePool(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewVoter(now.Add(-duration), "b", duration)
	ask := &wire.LeaseRequest{Pool: "p", Holder: "a", Incarnation: "1", Ballot: 3, DurationMilli: duration.Milliseconds()}
	if !v.Handle(now, ask).Granted {
		t.Fatal("not granted")
	}
	v.Handle(now, &wire.LeaseRequest{Pool: "p", Holder: "a", Incarnation: "1", Ballot: 2, Release: true})
	other := &wire.LeaseRequest{Pool: "p", Holder: "c", Incarnation: "2", Ballot: 1, DurationMilli: duration.Milliseconds()}
	if v.Handle(now, other).Granted {
		t.Error("a late release of an earlier round released the pool")
	}
	v.Handle(now, &wire.LeaseRequest{Pool: "p", Holder: "a", Incarnation: "1", Ballot: 3, Release: true})
	if !v.Handle(now, other).Granted {
		t.Error("the release had no effect")
	}
}

// TestNonVoterLearnsTheHolder checks that a candidate that is not a voter learns the
// holder from a refusal.
func TestNonVoterLearnsTheHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewVoter(now.Add(-duration), "b", duration)
	v.Handle(now, &wire.LeaseRequest{Pool: "p", Holder: "b", Incarnation: "1", DurationMilli: duration.Milliseconds()})
	h := NewHolder(now, Config{Pool: "p", Name: "c", Incarnation: "2", Voters: []string{"b"}, Duration: duration})
	for _, r := range h.Tick(now) {
		h.HandleAnswer(now, v.Handle(now, r.Message))
	}
	if name, ok := h.KnownHolder(now); !ok || name != "b" || h.Held(now) {
		t.Errorf("got holder %q, %t, want b, true", name, ok)
	}
}

// TestAnswerToEarlierIncarnationIsIgnored delivers a grant that was made to the
// box before it restarted.
func TestAnswerToEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(now, Config{Pool: "p", Name: "b", Incarnation: "2", Voters: []string{"b"}, Duration: duration})
	r := h.Tick(now)[0].Message
	h.HandleAnswer(now, &wire.LeaseAnswer{Pool: "p", Voter: "b", Ballot: r.Ballot, Granted: true, Holder: "b", Incarnation: "1"})
	if h.Held(now) {
		t.Error("a grant to an earlier incarnation was counted")
	}
}

// TestLateGrantAfterReleaseIsIgnored delivers further grants of a round after the holder,
// without a majority so far, has released that round's grants.
func TestLateGrantAfterReleaseIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(now, Config{Pool: "p", Name: "b", Incarnation: "2", Voters: []string{"x", "y", "z"}, Duration: duration})
	r := h.Tick(now)[0].Message
	grant := func(voter string) *wire.LeaseAnswer {
		return &wire.LeaseAnswer{Pool: "p", Voter: voter, Ballot: r.Ballot, Granted: true, Holder: "b", Incarnation: "2"}
	}
	h.HandleAnswer(now, grant("x"))
	now = now.Add(duration / 3)
	if releases := h.Tick(now); len(releases) == 0 || !releases[0].Message.Release {
		t.Fatal("the grants were not released")
	}
	h.HandleAnswer(now, grant("y"))
	h.HandleAnswer(now, grant("z"))
	if h.Held(now) {
		t.Error("released grants were counted")
	}
}
