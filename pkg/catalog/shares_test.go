package catalog

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Boxes skip rebuilding their targets for a state that shares them with the previous
// one. So states that share targets must have equal ones, and a command that does not
// touch the targets must return a state that shares them.
func TestSharedTargetsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []State{{}}
		for i := range rapid.IntRange(0, 20).Draw(t, "commands") {
			s := states[rapid.IntRange(0, len(states)-1).Draw(t, "from")]
			id := fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next, _, err := s.ApplyRoutes(routesCommand(s.Document().GetNumber(), s.Document().GetNumber()+1, fmt.Sprint(i)))
				if err != nil || !next.SharesTargets(s) {
					t.Fatalf("after a routes document: shares targets %v, %v", next.SharesTargets(s), err)
				}
				s = next
			case 1:
				s, _ = s.ApplyEvacuation(&wire.EvacuationCommand{Zone: id, Withdraw: rapid.Bool().Draw(t, "withdraw")})
			case 2:
				s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true})
			default:
				s = apply(s, registrationUpdate(id, id, rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.Bool().Draw(t, "draining")))
			}
			states = append(states, s)
		}
		for _, a := range states {
			for _, b := range states {
				if !a.SharesTargets(b) {
					continue
				}
				if diff := cmp.Diff(a.Targets(), b.Targets(), protocmp.Transform(), cmpopts.EquateEmpty()); diff != "" {
					t.Fatal(diff)
				}
				if fmt.Sprint(a.Evacuated()) != fmt.Sprint(b.Evacuated()) {
					t.Fatalf("evacuated %v and %v", a.Evacuated(), b.Evacuated())
				}
			}
		}
	})
}
