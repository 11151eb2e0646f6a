package requestkey

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

var start = time.Unix(10_000, 0)

func newKey(nonce, witness string) Key {
	s := Scope{Owner: "a", OwnerIncarnation: "1", IssuedAt: start}
	if witness != "" {
		s.Witness, s.WitnessIncarnation = witness, "9"
	}
	return Key{s, nonce}
}

// TestAtMostOneRun resends a few keys to the owner and, as after a failure of the
// owner, asks the witness about them. Messages between the two are delayed, duplicated
// or lost, and attempts end in every state.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		owner := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 100})
		witness := NewWitness("w", "9", time.Minute, 100)
		ran := make(map[string]int)             // attempts that ended as ran or unknown
		running := make(map[string]Key)         // attempts in progress
		reportedNotRun := make(map[string]bool) // keys that the witness reported as not run
		var delayed []*wire.WitnessRequest
		var token uint64
		waiting := make(map[uint64]string)
		var answers []WitnessResult // in transit from the witness to the owner
		deliver := func(out Output[string]) {
			for _, r := range out.Replies {
				name := waiting[r.Token]
				delete(waiting, r.Token)
				_, inProgress := running[name]
				if r.State == wire.KeyState_KEY_STATE_NOT_RUN && (ran[name] > 0 || inProgress) {
					t.Fatalf("key %s was reported as not run, but it ran", name)
				}
			}
			if out.Run != nil {
				name := out.Run.Key.Nonce
				if _, ok := running[name]; ok || ran[name] > 0 {
					t.Fatalf("key %s runs twice", name)
				}
				if _, ok := waiting[out.Run.Token]; !ok {
					t.Fatalf("key %s runs for arrival %d, whose caller has disconnected", name, out.Run.Token)
				}
				if out.Run.Request != name {
					t.Fatalf("key %s runs the request of %q", name, out.Run.Request)
				}
				if reportedNotRun[name] {
					t.Fatalf("key %s runs after the witness reported it as not run", name)
				}
				running[name] = out.Run.Key
			}
			if m := out.Record; m != nil {
				if m.State != wire.KeyState_KEY_STATE_STARTED {
					delayed = append(delayed, m)
					return
				}
				key, _ := Parse(m.Key)
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0: // the message is lost
					answers = append(answers, WitnessResult{Key: key, Failed: true})
				case 1: // the answer is lost, and the message is delivered again later
					delayed = append(delayed, proto.CloneOf(m))
					witness.Handle(now, m)
					answers = append(answers, WitnessResult{Key: key, Failed: true})
				default:
					a := witness.Handle(now, m)
					if rapid.Bool().Draw(t, "doubled") {
						delayed = append(delayed, proto.CloneOf(m))
					}
					answers = append(answers, WitnessResult{Key: key, Refused: a.Refused})
				}
			}
		}
		names := []string{"x", "y", "z"}
		pick := func() Key { return newKey(rapid.SampledFrom(names).Draw(t, "key"), "w") }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(*rapid.T) {
				token++
				k := pick()
				waiting[token] = k.Nonce
				deliver(owner.Handle(now, Begin[string]{Token: token, Key: k, Digest: 5, Request: k.Nonce}))
			},
			"end": func(t *rapid.T) {
				for _, name := range names {
					k, ok := running[name]
					if !ok {
						continue
					}
					delete(running, name)
					state := rapid.SampledFrom([]wire.KeyState{
						wire.KeyState_KEY_STATE_RAN, wire.KeyState_KEY_STATE_NOT_RUN, wire.KeyState_KEY_STATE_UNKNOWN,
					}).Draw(t, "state")
					if state != wire.KeyState_KEY_STATE_NOT_RUN {
						ran[name]++
					}
					deliver(owner.Handle(now, Finished{Key: k, State: state}))
					return
				}
			},
			"late": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				witness.Handle(now, delayed[i])
				if rapid.Bool().Draw(t, "gone") {
					delayed = append(delayed[:i], delayed[i+1:]...)
				}
			},
			"ask": func(t *rapid.T) {
				k := pick()
				a := witness.Handle(now, &wire.WitnessRequest{Action: wire.WitnessRequest_ACTION_ASK, Key: k.String(), Digest: 5})
				_, inProgress := running[k.Nonce]
				notRun := a.State == wire.KeyState_KEY_STATE_ABSENT || a.State == wire.KeyState_KEY_STATE_NOT_RUN
				if notRun && (inProgress || ran[k.Nonce] > 0) {
					t.Fatalf("the witness reported key %s as not run, but it ran or is running", k.Nonce)
				}
				reportedNotRun[k.Nonce] = reportedNotRun[k.Nonce] || notRun
			},
			"answer": func(*rapid.T) {
				if len(answers) == 0 {
					return
				}
				a := answers[0]
				answers = answers[1:]
				deliver(owner.Handle(now, a))
			},
			"leave": func(t *rapid.T) {
				if token == 0 {
					return
				}
				gone := rapid.Uint64Range(1, token).Draw(t, "gone")
				name, ok := waiting[gone]
				if !ok {
					return
				}
				delete(waiting, gone)
				deliver(owner.Handle(now, CallerLeft{Key: newKey(name, "w"), Token: gone}))
			},
			"pass": func(*rapid.T) { now = now.Add(20 * time.Second) },
		})
	})
}

func TestKeyOfEarlierIncarnationIsUnknown(t *testing.T) {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "2", Retention: time.Minute, MaxKeys: 9})
	out := o.Handle(start, Begin[string]{Token: 1, Key: newKey("x", ""), Digest: 1})
	if out.Run != nil || out.Replies[0].State != wire.KeyState_KEY_STATE_UNKNOWN {
		t.Errorf("got %+v, want unknown", out)
	}
}

// TestCallerLeavesBeforeTheStartIsRecorded checks that a key does not run if its only
// caller leaves while the witness records the start, and that a waiting resend runs in
// its place.
func TestCallerLeavesBeforeTheStartIsRecorded(t *testing.T) {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 9})
	k := newKey("x", "w")
	o.Handle(start, Begin[string]{Token: 1, Key: k, Digest: 1})
	o.Handle(start, CallerLeft{Key: k, Token: 1})
	out := o.Handle(start, WitnessResult{Key: k})
	if out.Run != nil || out.Record == nil || out.Record.State != wire.KeyState_KEY_STATE_NOT_RUN {
		t.Errorf("got %+v, want the key recorded as not run", out)
	}

	o.Handle(start, Begin[string]{Token: 2, Key: k, Digest: 1})
	o.Handle(start, Begin[string]{Token: 3, Key: k, Digest: 1})
	o.Handle(start, CallerLeft{Key: k, Token: 2})
	out = o.Handle(start, WitnessResult{Key: k})
	if out.Run == nil || out.Run.Token != 3 {
		t.Errorf("got %+v, want the waiting arrival to run", out)
	}
}

func TestExpiredKeyIsUnknown(t *testing.T) {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 9})
	out := o.Handle(start.Add(2*time.Minute), Begin[string]{Token: 1, Key: newKey("x", ""), Digest: 1})
	if out.Run != nil || out.Replies[0].State != wire.KeyState_KEY_STATE_UNKNOWN {
		t.Errorf("got %+v, want unknown", out)
	}
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 9})
	k := newKey("x", "")
	o.Handle(start, Begin[string]{Token: 1, Key: k, Digest: 1})
	out := o.Handle(start, Begin[string]{Token: 2, Key: k, Digest: 2})
	if out.Run != nil || len(out.Replies) != 1 || out.Replies[0].State != wire.KeyState_KEY_STATE_NOT_RUN {
		t.Errorf("got %+v, want a refusal", out)
	}
}

func TestNewKeysAreRefusedAtMaxKeys(t *testing.T) {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 1})
	o.Handle(start, Begin[string]{Token: 1, Key: newKey("x", ""), Digest: 1})
	out := o.Handle(start, Begin[string]{Token: 2, Key: newKey("y", ""), Digest: 1})
	if out.Run != nil || out.Replies[0].State != wire.KeyState_KEY_STATE_NOT_RUN {
		t.Errorf("got %+v, want a refusal", out)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(newKey("x", "w").String())
	f.Add("a~b~c")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(k.String())
		if err != nil || again != k {
			t.Errorf("%q became %q: %v", text, k, err)
		}
	})
}

// ExampleOwner runs a request once and answers its resend with the stored answer.
func ExampleOwner() {
	o := NewOwner[string](OwnerConfig{Name: "a", Incarnation: "1", Retention: time.Minute, MaxKeys: 10})
	k := newKey("order-7", "")
	now := start
	out := o.Handle(now, Begin[string]{Token: 1, Key: k, Digest: 1})
	fmt.Println("run:", out.Run != nil)
	o.Handle(now, Finished{Key: k, State: wire.KeyState_KEY_STATE_RAN, Answer: &wire.StoredAnswer{Status: 200}})
	out = o.Handle(now, Begin[string]{Token: 2, Key: k, Digest: 1})
	fmt.Println("run:", out.Run != nil, "answer:", out.Replies[0].Answer.Status)
	// Output:
	// run: true
	// run: false answer: 200
}
