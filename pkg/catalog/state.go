package catalog

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Limits on the history that the state keeps.
const (
	// maxAcceptedDigests is how many accepted documents are recognized when they are
	// sent again: several times the hundreds of changes of a busy day.
	maxAcceptedDigests = 1024
	// maxDepartures is how many departures are kept, so that a late update does not
	// register a departed target again.
	maxDepartures = 1024
)

// State is an immutable value; each Apply method returns the next state.
type State struct {
	document  *wire.RoutesDocument
	accepted  []uint64
	evacuated []string
	targets   []*wire.Registration
	departed  []*wire.Departure
	// quarantined lists the requests that are on probation or held, oldest first.
	quarantined []*wire.Quarantined
	// rollouts holds the latest roll-out of each service, oldest first.
	rollouts []*wire.Rollout
}

// ConflictError says that a document was derived from another document than the active
// one.
type ConflictError struct{ Base, Current uint64 }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the document was made against number %d, number %d is in force", e.Base, e.Current)
}

// Document returns the active document as it was submitted, or nil.
func (s State) Document() *wire.RoutesDocument { return s.document }

// Evacuated returns the zones that must receive no requests.
func (s State) Evacuated() []string { return s.evacuated }

// Targets returns the registered targets, which the caller must not modify.
func (s State) Targets() []*wire.Registration { return s.targets }

// SharesTargets reports whether the lists of targets and evacuated zones are the same
// ones as in an earlier state. Every change makes a new list, so the comparison takes
// constant time. States that were decoded separately share nothing, even if they are
// equal.
func (s State) SharesTargets(earlier State) bool {
	return sameBacking(s.targets, earlier.targets) && sameBacking(s.evacuated, earlier.evacuated)
}

// TargetsSince returns the registrations that an earlier state lacks, and the
// incarnations that only the earlier state has. Registrations are compared by pointer:
// between states that follow each other by commands it returns the changes, between
// states that were decoded separately everything. A registration whose position in the
// list changed may be returned in both results.
func (s State) TargetsSince(earlier State) (changed []*wire.Registration, ended []Incarnation) {
	if sameBacking(s.targets, earlier.targets) {
		return nil, nil
	}
	next := 0
	for _, r := range earlier.targets {
		if next < len(s.targets) && s.targets[next] == r {
			next++ // most targets; comparing pointers spares reading them
			continue
		}
		if next == len(s.targets) || s.targets[next].Id != r.Id {
			ended = append(ended, IncarnationOf(r))
			continue
		}
		changed = append(changed, s.targets[next])
		if IncarnationOf(s.targets[next]) != IncarnationOf(r) {
			ended = append(ended, IncarnationOf(r))
		}
		next++
	}
	return append(changed, s.targets[next:]...), ended
}

func sameBacking[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Target returns the registration of a target.
func (s State) Target(id string) (*wire.Registration, bool) {
	i := s.indexOf(id)
	if i < 0 {
		return nil, false
	}
	return s.targets[i], true
}

func (s State) indexOf(id string) int {
	return slices.IndexFunc(s.targets, func(r *wire.Registration) bool { return r.Id == id })
}

// ApplyRoutes activates a document if it was derived from the active one. A document
// that was accepted before is accepted again and changes nothing. A packed document is
// unpacked first; if that fails the error is an UnpackError.
func (s State) ApplyRoutes(c *wire.RoutesCommand) (State, bool, error) {
	document := c.Document
	if c.Packed != nil {
		var err error
		if document, err = Unpack(s.document, c.Packed); err != nil {
			return s, false, err
		}
	}
	digest := xxhash.Sum64(document.GetText())
	if slices.Contains(s.accepted, digest) {
		return s, false, nil
	}
	current := s.document.GetNumber()
	if c.BaseNumber != current {
		return s, false, &ConflictError{Base: c.BaseNumber, Current: current}
	}
	if document.GetNumber() <= current {
		reason := fmt.Sprintf("number %d is not above %d, which is in force", document.GetNumber(), current)
		return s, false, &InvalidError{Reason: reason}
	}
	s.document = document
	s.accepted = appendBounded(s.accepted, digest, maxAcceptedDigests)
	return s, true, nil
}

// ApplyEvacuation starts or ends the evacuation of a zone.
func (s State) ApplyEvacuation(c *wire.EvacuationCommand) (State, bool) {
	has := slices.Contains(s.evacuated, c.Zone)
	if has != c.Withdraw {
		return s, false
	}
	if c.Withdraw {
		s.evacuated = slices.DeleteFunc(slices.Clone(s.evacuated), func(z string) bool { return z == c.Zone })
		return s, true
	}
	s.evacuated = append(slices.Clone(s.evacuated), c.Zone)
	return s, true
}

// Encode returns the state as a message, or nil if it is empty.
func (s State) Encode() *wire.Catalog {
	if s.isEmpty() {
		return nil
	}
	return &wire.Catalog{
		Document:      s.document,
		Accepted:      s.accepted,
		Evacuated:     s.evacuated,
		Registrations: s.targets,
		Departures:    s.departed,
		Quarantined:   s.quarantined,
		Rollouts:      s.rollouts,
	}
}

func (s State) isEmpty() bool {
	return s.document == nil && len(s.evacuated) == 0 && len(s.targets) == 0 && len(s.departed) == 0 && len(s.accepted) == 0 &&
		len(s.quarantined) == 0 && len(s.rollouts) == 0
}

// Decode builds a state from a message, which may be nil, and unpacks a packed
// document. All errors are UnpackErrors.
func Decode(m *wire.Catalog) (State, error) {
	if m == nil {
		return State{}, nil
	}
	m = proto.CloneOf(m)
	document := m.Document
	if m.Packed != nil {
		var err error
		if document, err = Unpack(nil, m.Packed); err != nil {
			return State{}, err
		}
	}
	return State{
		document:  document,
		accepted:  m.Accepted,
		evacuated: m.Evacuated,
		targets:   m.Registrations,
		departed:  append(departuresOf(m.Departed), m.Departures...),

		quarantined: m.Quarantined,
		rollouts:    m.Rollouts,
	}, nil
}

// appendBounded returns list with item appended, without the oldest items beyond limit.
func appendBounded[T any](list []T, item T, limit int) []T {
	list = append(slices.Clone(list), item)
	if extra := len(list) - limit; extra > 0 {
		return list[extra:]
	}
	return list
}
