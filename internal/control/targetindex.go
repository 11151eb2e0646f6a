package control

import (
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetIndex knows by their ids the targets of the state that was applied last, so
// that an update which says nothing new, as nearly all do, costs the same at any number of
// targets and nothing of the replica's loop.
type targetIndex struct {
	mu      sync.Mutex
	state   catalog.State
	targets map[string]*wire.Registration
}

// isRedundant reports whether a state holds what a target's update says.
func (x *targetIndex) isRedundant(s catalog.State, r *wire.Registration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refresh(s)
	known := x.targets[r.Id]
	return known != nil && catalog.IsRedundant(known, r)
}

func (x *targetIndex) refresh(s catalog.State) {
	if x.targets == nil {
		x.targets = make(map[string]*wire.Registration)
	}
	if s.SharesTargets(x.state) {
		x.state = s // so that no earlier document is kept in memory
		return
	}
	changed, ended := s.TargetsSince(x.state)
	for _, l := range ended {
		delete(x.targets, l.ID)
	}
	for _, r := range changed {
		x.targets[r.Id] = r
	}
	x.state = s
}
