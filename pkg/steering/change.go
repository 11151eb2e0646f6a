package steering

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Digest returns a hash of what a change asks for, which tells a resend from another change with
// the same ID. Author and time are not included.
func Digest(c *wire.Change) uint64 {
	d := xxhash.New()
	var number [8]byte
	write := func(text string) {
		binary.BigEndian.PutUint64(number[:], uint64(len(text)))
		_, _ = d.Write(number[:]) // writing to a hash never fails
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

// applyChange returns the single verdict on a change. Of several changes made against the same
// version, the first is accepted. A resend gets the verdict of the original.
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
		return s.rejectBase(c, v)
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
	s.history = lastN(append(slices.Clone(s.history), &wire.Applied{Change: c, Version: s.version, Inverse: inverse}), MaxHistory)
	return s.withVerdict(v), Result{Verdict: v, Changed: true}
}

// rejectBase returns the verdict on a change made against a version other than the current one. If
// the base is older than the remembered verdicts, an equal change may have been accepted before,
// and the verdict says so.
func (s State) rejectBase(c *wire.Change, v *wire.Verdict) (State, Result) {
	if c.BaseVersion < s.forgottenVersion {
		v.Kind = wire.VerdictKind_VERDICT_KIND_FORGOTTEN
		v.Detail = "not applied now; whether it was accepted before is no longer known, see the history"
		return s, Result{Verdict: v}
	}
	v.Kind = wire.VerdictKind_VERDICT_KIND_CONFLICT
	v.Clashes = s.conflictingKeys(c)
	v.Detail = fmt.Sprintf("made against version %d, the present one is %d", c.BaseVersion, s.settingsVersion)
	return s.withVerdict(v), Result{Verdict: v}
}

// conflictingKeys returns the paths and keys of a change that later changes have also edited.
func (s State) conflictingKeys(c *wire.Change) []string {
	var out []string
	for _, applied := range s.history {
		if applied.Version <= c.BaseVersion {
			continue
		}
		for _, laterEdit := range applied.Change.Edits {
			for _, edit := range c.Edits {
				name := edit.Path + " " + edit.Key
				same := edit.Path == laterEdit.Path && edit.Key == laterEdit.Key
				if same && !slices.Contains(out, name) {
					out = append(out, name)
				}
			}
		}
	}
	return out
}

// Verdict returns the verdict on a change ID if it is still remembered.
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
		s.forgottenVersion = max(s.forgottenVersion, all[extra-1].Version)
		all = all[extra:]
	}
	s.verdicts = all
	return s
}

func lastN[T any](list []T, limit int) []T {
	if extra := len(list) - limit; extra > 0 {
		return list[extra:]
	}
	return list
}
