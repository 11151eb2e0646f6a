package control

import (
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// repeatedUpdates knows by their ids the targets of the state that was applied last, so
// that an update which says nothing new, as nearly all do, costs the same at any number of
// targets and nothing of the replica's loop.
type repeatedUpdates struct {
	mu      sync.Mutex
	state   catalog.State
	targets map[string]*wire.Registration
}

// covers reports whether a state holds what a target's update says.
func (w *repeatedUpdates) covers(s catalog.State, r *wire.Registration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.take(s)
	known := w.targets[r.Id]
	return known != nil && catalog.IsRedundant(known, r)
}

func (w *repeatedUpdates) take(s catalog.State) {
	if w.targets == nil {
		w.targets = make(map[string]*wire.Registration)
	}
	if s.SharesTargets(w.state) {
		w.state = s // so that no earlier document is kept in memory
		return
	}
	changed, ended := s.TargetsSince(w.state)
	for _, l := range ended {
		delete(w.targets, l.ID)
	}
	for _, r := range changed {
		w.targets[r.Id] = r
	}
	w.state = s
}
