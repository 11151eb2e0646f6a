package steering

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func change(id string, base uint64, slots int) *wire.Command {
	return &wire.Command{Change: &wire.Change{Id: id, BaseVersion: base, Edits: []*wire.Edit{
		{Path: "/", Key: "slots", Value: fmt.Sprint(slots)},
	}}}
}

// TestOneVerdictPerID sends changes with current and outdated bases and resends them, also to a
// state restored from a snapshot. It checks that each ID keeps its verdict and that versions never
// decrease.
func TestOneVerdictPerID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		verdicts := make(map[string]*wire.Verdict)
		commands := make(map[string]*wire.Command)
		bases := make(map[uint64]int)
		for i := range 60 {
			c := change(fmt.Sprint("id-", i), uint64(max(int(s.SettingsVersion())-rapid.IntRange(0, 2).Draw(t, "late"), 0)), rapid.IntRange(-1, 5).Draw(t, "slots"))
			if i > 0 && rapid.Bool().Draw(t, "resend") {
				c = commands[fmt.Sprint("id-", rapid.IntRange(0, i-1).Draw(t, "which"))]
			}
			if c == nil {
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				data, err := s.Marshal()
				if err != nil {
					t.Fatal(err)
				}
				restored, err := Unmarshal(data)
				if err != nil {
					t.Fatal(err)
				}
				again, err := restored.Marshal()
				if err != nil || string(again) != string(data) {
					t.Fatalf("a restored state encodes differently: %v", err)
				}
				s = restored
			}
			before := s.Version()
			next, result := s.Apply(c)
			if next.Version() < before {
				t.Fatal("the version decreased")
			}
			commands[c.Change.Id] = c
			if first := verdicts[c.Change.Id]; first != nil {
				if diff := cmp.Diff(first, result.Verdict, protocmp.Transform()); diff != "" {
					t.Fatalf("a resend got another verdict: %s", diff)
				}
			} else if result.Verdict.Kind == wire.VerdictKind_VERDICT_KIND_ACCEPTED {
				if bases[c.Change.BaseVersion]++; bases[c.Change.BaseVersion] > 1 {
					t.Fatalf("two changes made against version %d were accepted", c.Change.BaseVersion)
				}
			}
			verdicts[c.Change.Id] = result.Verdict
			s = next
		}
	})
}

func TestReusedIDIsRejected(t *testing.T) {
	s, _ := State{}.Apply(change("a", 0, 3))
	next, result := s.Apply(change("a", 0, 4))
	if result.Verdict.Kind != wire.VerdictKind_VERDICT_KIND_REUSED || next.Version() != s.Version() {
		t.Errorf("got %v", result.Verdict)
	}
}

func TestConflictNamesTheConflictingKeys(t *testing.T) {
	s, _ := State{}.Apply(change("a", 0, 3))
	_, result := s.Apply(change("b", 0, 4))
	v := result.Verdict
	if v.Kind != wire.VerdictKind_VERDICT_KIND_CONFLICT || len(v.Clashes) != 1 || v.Clashes[0] != "/ slots" || v.Version != 1 {
		t.Errorf("got %v", v)
	}
}

// TestResendAfterItsVerdictWasDropped checks that a resend whose verdict is no longer remembered is
// neither applied nor reported as an ordinary conflict.
func TestResendAfterItsVerdictWasDropped(t *testing.T) {
	s, _ := State{}.Apply(change("first", 0, 3))
	for i := range MaxVerdicts + 5 {
		s, _ = s.Apply(change(fmt.Sprint("id-", i), s.SettingsVersion(), i%9+1))
	}
	next, result := s.Apply(change("first", 0, 3))
	if result.Verdict.Kind != wire.VerdictKind_VERDICT_KIND_FORGOTTEN || next.Version() != s.Version() {
		t.Errorf("got %v", result.Verdict)
	}
	if len(s.verdicts) > MaxVerdicts || len(s.history) > MaxHistory {
		t.Errorf("%d verdicts and %d changes are kept", len(s.verdicts), len(s.history))
	}
}

func FuzzUnmarshal(f *testing.F) {
	s, _ := State{}.Apply(change("a", 0, 3))
	data, err := s.Marshal()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Unmarshal(data); err == nil {
			s.Table()
		}
	})
}
