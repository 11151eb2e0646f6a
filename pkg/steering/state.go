// Package steering holds the replicated state of the system: the settings tree, the verdicts on
// changes, the assignment of callers to regions and the shifts between regions. Control replicas
// and entry boxes apply the same commands in the same order and thus reach the same state.
package steering

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Limits on the history that the state keeps.
const (
	// MaxVerdicts is the number of change IDs whose verdicts are remembered.
	MaxVerdicts = 4096
	// MaxHistory is the number of accepted changes that are kept together with their inverses.
	MaxHistory = 256
	// MaxEndedShifts is the number of finished or aborted shifts that are kept.
	MaxEndedShifts = 64
)

// CallerGroup identifies the callers of a service that have the same home region.
type CallerGroup struct{ Service, Region string }

// State is an immutable value; Apply returns the next state.
type State struct {
	version          uint64
	settingsVersion  uint64
	forgottenVersion uint64
	tree             settings.Tree
	verdicts         []*wire.Verdict
	history          []*wire.Applied
	assignments      map[CallerGroup]lookup.Assignment
	shifts           []*wire.Shift
	catalog          catalog.State
}

// Version returns the version of the state. It grows by one with every command that changes the
// state.
func (s State) Version() uint64 { return s.version }

// SettingsVersion returns the version of the last accepted change.
func (s State) SettingsVersion() uint64 { return s.settingsVersion }

// Tree returns the current settings.
func (s State) Tree() settings.Tree { return s.tree }

// Catalog returns the routes, evacuations and registered targets.
func (s State) Catalog() catalog.State { return s.catalog }

// History returns the latest accepted changes, oldest first.
func (s State) History() []*wire.Applied { return slices.Clone(s.history) }

// Shifts returns the running shifts and the latest ended ones.
func (s State) Shifts() []*wire.Shift { return slices.Clone(s.shifts) }

// HasRunningShift reports whether any shift is running.
func (s State) HasRunningShift() bool {
	return slices.ContainsFunc(s.shifts, func(shift *wire.Shift) bool { return shift.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING })
}

// Assignment returns the regions that serve the callers of a service and home region. Without an
// assignment that is the home region alone.
func (s State) Assignment(service, home string) lookup.Assignment {
	if a, ok := s.assignments[CallerGroup{service, home}]; ok {
		return a
	}
	return lookup.SingleRegion(home)
}

// Table returns the lookup table of the state.
func (s State) Table() *lookup.Table { return lookup.NewTable(s.tree, s.Assignment) }

// Result is the result of applying a command. Verdict is set for a change, Err for any other
// command that was rejected.
type Result struct {
	Verdict *wire.Verdict
	Err     error
	// Changed is set if the command changed the state, so that its version grew.
	Changed bool
}

// Apply returns the state after a command.
func (s State) Apply(c *wire.Command) (State, Result) {
	switch {
	case c.Change != nil:
		return s.applyChange(c.Change)
	case c.Shift != nil:
		return s.applyShift(c.Shift)
	case c.Routes != nil, c.Evacuation != nil, c.Registration != nil, c.Quarantine != nil, c.Rollout != nil:
		return s.applyCatalog(c)
	}
	return s, Result{Err: fmt.Errorf("a command without content")}
}

// ApplyAll returns the state after applying commands in order, with the result of each. Consecutive
// registration updates are applied in one batch.
func (s State) ApplyAll(commands []*wire.Command) (State, []Result) {
	results := make([]Result, 0, len(commands))
	for len(commands) > 0 {
		updates := leadingUpdates(commands)
		if len(updates) == 0 {
			var result Result
			s, result = s.Apply(commands[0])
			results = append(results, result)
			commands = commands[1:]
			continue
		}
		var changed []bool
		s.catalog, changed = s.catalog.ApplyRegistrations(updates)
		for _, c := range changed {
			results = append(results, Result{Changed: c})
			if c {
				s.version++
			}
		}
		commands = commands[len(updates):]
	}
	return s, results
}

// leadingUpdates returns the registration updates at the start of commands.
func leadingUpdates(commands []*wire.Command) []*wire.RegistrationCommand {
	var out []*wire.RegistrationCommand
	for _, c := range commands {
		if !isRegistrationUpdate(c) {
			break
		}
		out = append(out, c.Registration)
	}
	return out
}

// isRegistrationUpdate reports whether a command contains a registration update and nothing else.
func isRegistrationUpdate(c *wire.Command) bool {
	return c.Registration != nil && c.Change == nil && c.Shift == nil && c.Routes == nil && c.Evacuation == nil && c.Quarantine == nil && c.Rollout == nil
}

func (s State) applyCatalog(c *wire.Command) (State, Result) {
	var result Result
	switch {
	case c.Routes != nil:
		s.catalog, result.Changed, result.Err = s.catalog.ApplyRoutes(c.Routes)
	case c.Evacuation != nil:
		s.catalog, result.Changed = s.catalog.ApplyEvacuation(c.Evacuation)
	case c.Registration != nil:
		s.catalog, result.Changed = s.catalog.ApplyRegistration(c.Registration)
	case c.Quarantine != nil:
		s.catalog, result.Changed = s.catalog.ApplyQuarantine(c.Quarantine)
	case c.Rollout != nil:
		s.catalog, result.Changed, result.Err = s.catalog.ApplyRollout(c.Rollout)
	}
	if result.Changed {
		s.version++
	}
	return s, result
}

// Encode returns the state as a message.
func (s State) Encode() *wire.State {
	out := &wire.State{
		Version:          s.version,
		SettingsVersion:  s.settingsVersion,
		ForgottenVersion: s.forgottenVersion,
		Settings:         s.tree.Settings(),
		Verdicts:         s.verdicts,
		History:          s.history,
		Shifts:           s.shifts,
		Catalog:          s.catalog.Encode(),
	}
	for group, a := range s.assignments {
		out.Assignments = append(out.Assignments, &wire.Assignment{Service: group.Service, Home: group.Region, Intervals: a.Intervals()})
	}
	slices.SortFunc(out.Assignments, func(a, b *wire.Assignment) int {
		if a.Service+"\x00"+a.Home < b.Service+"\x00"+b.Home {
			return -1
		}
		return 1
	})
	return out
}

// EncodeForBoxes returns the state without the verdicts and the history, which only control needs.
func (s State) EncodeForBoxes() *wire.State {
	s.verdicts = nil
	s.history = nil
	return s.Encode()
}

// Decode returns the state in a message, or an error if it is invalid.
func Decode(m *wire.State) (State, error) {
	tree, err := settings.FromSettings(m.Settings)
	if err != nil {
		return State{}, fmt.Errorf("decoding the state: %w", err)
	}
	decodedCatalog, err := catalog.Decode(m.Catalog)
	if err != nil {
		return State{}, fmt.Errorf("decoding the state: %w", err)
	}
	s := State{
		version:          m.Version,
		settingsVersion:  m.SettingsVersion,
		forgottenVersion: m.ForgottenVersion,
		tree:             tree,
		verdicts:         m.Verdicts,
		history:          m.History,
		shifts:           m.Shifts,
		catalog:          decodedCatalog,
		assignments:      make(map[CallerGroup]lookup.Assignment, len(m.Assignments)),
	}
	for _, a := range m.Assignments {
		decoded, err := lookup.FromIntervals(a.Intervals)
		if err != nil {
			return State{}, fmt.Errorf("decoding the assignment of %s from %s: %w", a.Service, a.Home, err)
		}
		s.assignments[CallerGroup{a.Service, a.Home}] = decoded
	}
	return s, nil
}

// Marshal returns an encoding of the state that is identical for equal states.
func (s State) Marshal() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.Encode())
}

// Unmarshal decodes the output of Marshal.
func Unmarshal(data []byte) (State, error) {
	m := &wire.State{}
	if err := proto.Unmarshal(data, m); err != nil {
		return State{}, fmt.Errorf("decoding the state: %w", err)
	}
	return Decode(m)
}

func (s State) withAssignment(group CallerGroup, a lookup.Assignment) State {
	s.assignments = maps.Clone(s.assignments)
	if s.assignments == nil {
		s.assignments = make(map[CallerGroup]lookup.Assignment)
	}
	s.assignments[group] = a
	return s
}
