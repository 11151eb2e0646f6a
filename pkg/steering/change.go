package steering

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Digest returns a hash of what a change asks for, by which a resend is told
// from another change with the same id. Author and time do not count.
func Digest(c *wire.Change) uint64 {
	d := xxhash.New()
	var number [8]byte
	write := func(text string) {
		binary.BigEndian.PutUint64(number[:], uint64(len(text)))
		_, _ = d.Write(number[:]) // a hash takes every write
		_, _ = d.WriteString(text)
	}
	binary.BigEndian.PutUint64(number[:], c.BaseVersion)
	_, _ = d.Write(number[:])
	for _, e := range c.Edits {
		write(e.Path)
		write(e.Key)
		write(e.Value)
		write(fmt.Sprint(e.Unset))
	}
	return d.Sum64()
}

// applyChange gives a change its one verdict. Of changes made against the same
// version the first is accepted; a resend gets the first answer again.
func (s State) applyChange(c *wire.Change) (State, Result) {
	digest := Digest(c)
	if v, ok := s.Verdict(c.Id); ok {
		if v.Digest == digest {
			return s, Result{Verdict: v}
		}
		return s, Result{Verdict: &wire.Verdict{
			Id:      c.Id,
			Kind:    wire.VerdictKind_VERDICT_KIND_REUSED,
			Version: s.settingsVersion,
			Detail:  "the id was used before for other edits",
		}}
	}
	v := &wire.Verdict{Id: c.Id, Version: s.settingsVersion, Digest: digest}
	if c.BaseVersion != s.settingsVersion {
		return s.refuseBase(c, v)
	}
	next, err := s.tree.WithEdits(c.Edits)
	if err == nil {
		err = s.tree.CheckVoterChange(next)
	}
	if err != nil {
		v.Kind = wire.VerdictKind_VERDICT_KIND_INVALID
		v.Detail = err.Error()
		return s.withVerdict(v), Result{Verdict: v}
	}
	inverse := s.tree.Inverse(c.Edits)
	s.tree = next
	s.version++
	s.settingsVersion = s.version
	v.Kind = wire.VerdictKind_VERDICT_KIND_ACCEPTED
	v.Version = s.settingsVersion
	s.history = bounded(append(slices.Clone(s.history), &wire.Applied{Change: c, Version: s.version, Inverse: inverse}), MaxHistory)
	return s.withVerdict(v), Result{Verdict: v, Changed: true}
}

// refuseBase answers a change made against another version than the present
// one. If the base is older than the memory of ids, an equal change may have
// been accepted before, and the answer says so.
func (s State) refuseBase(c *wire.Change, v *wire.Verdict) (State, Result) {
	if c.BaseVersion < s.forgotten {
		v.Kind = wire.VerdictKind_VERDICT_KIND_FORGOTTEN
		v.Detail = "not applied now; whether it was accepted before is no longer known, see the history"
		return s, Result{Verdict: v}
	}
	v.Kind = wire.VerdictKind_VERDICT_KIND_CONFLICT
	v.Clashes = s.clashes(c)
	v.Detail = fmt.Sprintf("made against version %d, the present one is %d", c.BaseVersion, s.settingsVersion)
	return s.withVerdict(v), Result{Verdict: v}
}

// clashes returns the keys of a change that later changes have touched too.
func (s State) clashes(c *wire.Change) []string {
	var out []string
	for _, a := range s.history {
		if a.Version <= c.BaseVersion {
			continue
		}
		for _, theirs := range a.Change.Edits {
			for _, ours := range c.Edits {
				name := ours.Path + " " + ours.Key
				same := ours.Path == theirs.Path && ours.Key == theirs.Key
				if same && !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	return out
}

// Verdict returns the remembered verdict on a change id.
func (s State) Verdict(id string) (*wire.Verdict, bool) {
	i := slices.IndexFunc(s.verdicts, func(v *wire.Verdict) bool { return v.Id == id })
	if i < 0 {
		return nil, false
	}
	return s.verdicts[i], true
}

func (s State) withVerdict(v *wire.Verdict) State {
	all := append(slices.Clone(s.verdicts), v)
	if extra := len(all) - MaxVerdicts; extra > 0 {
		s.forgotten = max(s.forgotten, all[extra-1].Version)
		all = all[extra:]
	}
	s.verdicts = all
	return s
}

func bounded[T any](list []T, limit int) []T {
	if extra := len(list) - limit; extra > 0 {
		return list[extra:]
	}
	return list
}
