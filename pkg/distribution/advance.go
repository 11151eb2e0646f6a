package distribution

import (
	"errors"
	"fmt"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// GapError says that an update does not continue from the local state.
type GapError struct{ Have, From, To uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("an update from version %d to %d does not follow version %d", e.From, e.To, e.Have)
}

// DivergedError says that a command had no effect on the local state, unlike at its
// publisher, so the states differ.
type DivergedError struct{ Have, To uint64 }

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("a command of an update to version %d has no effect on version %d", e.To, e.Have)
}

// Advance applies an update and returns the next state, along with the commands as they
// were received, so that a relay forwards the same bytes. It never returns a lower
// version. A document that can't be unpacked gives a catalog.UnpackError, a command
// without effect a DivergedError.
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
		if requiresFullState(r.Err) {
			return s, nil, r.Err
		}
		if !r.Changed {
			return s, nil, &DivergedError{s.Version(), u.Version}
		}
	}
	return next, commands, nil
}

// requiresFullState reports whether the commands of an update could not be applied to
// the local state. They would fail again, so the follower has to ask for the full state.
func requiresFullState(err error) bool {
	var unpack *catalog.UnpackError
	var diverged *DivergedError
	return errors.As(err, &unpack) || errors.As(err, &diverged)
}

// subscribeVersion returns the version to subscribe from; 0 asks for the full state.
func (f *Follower) subscribeVersion() uint64 {
	if f.needsFullState {
		return 0
	}
	return f.latestState().Version()
}
