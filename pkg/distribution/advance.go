package distribution

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// GapError says that an update does not follow the state at hand.
type GapError struct{ Have, From, To uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("an update from version %d to %d does not follow version %d", e.From, e.To, e.Have)
}

// Advance returns the state after an update. It never returns a lower version.
func Advance(s steering.State, u *wire.Update) (steering.State, []*wire.Command, error) {
	if u.State != nil {
		next, err := steering.Decode(u.State)
		if err != nil {
			return s, nil, err
		}
		if next.Version() < s.Version() {
			return s, nil, &GapError{s.Version(), u.FromVersion, next.Version()}
		}
		return next, nil, nil
	}
	if u.FromVersion > s.Version() || u.Version != u.FromVersion+uint64(len(u.Commands)) {
		return s, nil, &GapError{s.Version(), u.FromVersion, u.Version}
	}
	commands := u.Commands[s.Version()-u.FromVersion:]
	next := s
	for _, c := range commands {
		var result steering.Result
		next, result = next.Apply(c)
		if !result.Changed {
			return s, nil, &GapError{s.Version(), u.FromVersion, u.Version}
		}
	}
	return next, commands, nil
}
