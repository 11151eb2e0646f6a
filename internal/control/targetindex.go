package control

import (
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetIndex indexes the targets of the last applied state by id. Nearly all registration updates
// are redundant; with the index, detecting one costs the same for any number of targets and does
// not involve the replica's loop.
type targetIndex struct {
	mu      sync.Mutex
	state   catalog.State
	targets map[string]*wire.Registration
}

// isRedundant reports whether a state already holds the contents of an update.
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
		x.state = s // releases earlier routes documents from memory
		return
	}
	changed, ended := s.TargetsSince(x.state)
	for _, incarnation := range ended {
		delete(x.targets, incarnation.ID)
	}
	for _, r := range changed {
		x.targets[r.Id] = r
	}
	x.state = s
}
