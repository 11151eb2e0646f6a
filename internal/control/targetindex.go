package control

import (
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetIndex indexes the targets of the last published state. With it, checking a registration update
// costs the same for any number of targets and does not involve the replica's loop. Until it follows
// published states, it advances to the state of each check.
type targetIndex struct {
	mu        lockorder.Mutex
	index     catalog.Index
	following bool
}

// follow advances the index to a state that is published. isNext tells that the state follows the
// previous one by few commands.
func (x *targetIndex) follow(s catalog.State, isNext bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.following = true
	if isNext {
		x.index.Advance(s)
		return
	}
	x.index.Load(s)
}

// lock locks the index for a check against a state.
func (x *targetIndex) lock(s catalog.State) *catalog.Index {
	x.mu.Lock()
	if !x.following {
		x.index.Advance(s)
	}
	return &x.index
}

// isRedundant reports whether a state already holds the contents of an update. Nearly all updates are
// redundant.
func (x *targetIndex) isRedundant(s catalog.State, r *wire.Registration) bool {
	defer x.mu.Unlock()
	return x.lock(s).IsRedundant(r)
}

// wouldChange reports whether an update would change a state.
func (x *targetIndex) wouldChange(s catalog.State, r *wire.Registration, leave bool) bool {
	defer x.mu.Unlock()
	return x.lock(s).WouldChange(r, leave)
}

// departure returns the last known departure of a target's id, or nil.
func (x *targetIndex) departure(s catalog.State, id string) *wire.Departure {
	defer x.mu.Unlock()
	return x.lock(s).Departure(id)
}

// commandFor returns the command to submit for an update or a leave of a target.
func (x *targetIndex) commandFor(s catalog.State, c *wire.RegistrationCommand) *wire.RegistrationCommand {
	defer x.mu.Unlock()
	index := x.lock(s)
	switch {
	case c.Leave && c.Registration.BornUnixMilli == 0:
		return index.Leave(c.Registration.Id)
	case !c.Leave && c.Registration.Draining:
		return index.Withdrawal(c)
	}
	return c
}

// prelude returns the commands that must precede an update in the log.
func (x *targetIndex) prelude(s catalog.State, c *wire.RegistrationCommand) []*wire.RegistrationCommand {
	defer x.mu.Unlock()
	return x.lock(s).Prelude(c)
}

// ambiguousLeave returns the registered incarnation of a target if a leave message without an
// incarnation may be a late one of another incarnation.
func (x *targetIndex) ambiguousLeave(s catalog.State, id string) (catalog.Incarnation, bool) {
	defer x.mu.Unlock()
	return x.lock(s).AmbiguousLeave(id)
}
