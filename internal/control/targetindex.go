package control

import (
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetIndex indexes the targets of the last applied state. With it, checking a registration update
// costs the same for any number of targets and does not involve the replica's loop.
type targetIndex struct {
	mu    sync.Mutex
	index catalog.Index
}

// isRedundant reports whether a state already holds the contents of an update. Nearly all updates are
// redundant.
func (x *targetIndex) isRedundant(s catalog.State, r *wire.Registration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.index.Advance(s)
	return x.index.IsRedundant(r)
}

// wouldChange reports whether an update would change a state.
func (x *targetIndex) wouldChange(s catalog.State, r *wire.Registration, leave bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.index.Advance(s)
	return x.index.WouldChange(r, leave)
}

// departure returns the departure that a state holds for a target's id, or nil.
func (x *targetIndex) departure(s catalog.State, id string) *wire.Departure {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.index.Advance(s)
	return x.index.Departure(id)
}

// prelude returns the commands that must precede an update in the log.
func (x *targetIndex) prelude(s catalog.State, c *wire.RegistrationCommand) []*wire.RegistrationCommand {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.index.Advance(s)
	return x.index.Prelude(c)
}

// ambiguousLeave returns the registered incarnation of a target if a leave message without an
// incarnation may be a late one of an earlier incarnation.
func (x *targetIndex) ambiguousLeave(s catalog.State, id string) (catalog.Incarnation, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.index.Advance(s)
	return x.index.AmbiguousLeave(id)
}
