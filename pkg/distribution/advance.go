package distribution

import (
	"errors"
	"fmt"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// GapError says that an update does not follow the state at hand.
type GapError struct{ Have, From, To uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("an update from version %d to %d does not follow version %d", e.From, e.To, e.Have)
}

// Advance returns the state after an update and the commands that led to it as
// they came, so that a relay passes on the same bytes. It never returns a lower
// version. A document that can't be unpacked gives a catalog.UnpackError.
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
	next, results := s.ApplyAll(commands)
	for _, r := range results {
		if needsWhole(r.Err) {
			return s, nil, r.Err
		}
		if !r.Changed {
			return s, nil, &GapError{s.Version(), u.FromVersion, u.Version}
		}
	}
	return next, commands, nil
}

// needsWhole reports whether an update failed because a document in it does
// not fit what is at hand: the same commands would fail again.
func needsWhole(err error) bool {
	var unpack *catalog.UnpackError
	return errors.As(err, &unpack)
}

// asked returns the version to subscribe with; 0 asks for the whole state.
func (f *Follower) asked() uint64 {
	if f.whole {
		return 0
	}
	return f.latest().Version()
}
