// Package lockorder provides mutexes that are acquired in one order, which tests check.
//
// Two goroutines that acquire the same two locks in different orders may wait for each other for
// good. Each Mutex has a rank; a goroutine that holds one may acquire only those of a lower rank.
// Locks of the same rank are never held together. The check finds an acquisition out of order even
// if no other goroutine competes for the locks.
package lockorder

import "sync"

// Rank is the place of a mutex in the order: higher ranks are acquired first.
type Rank int

// The ranks of all locks of a process, the innermost first. A lock without a rank is a Leaf. The
// packages process and boottime have locks of their own, which are held for no call to other packages.
const (
	// Leaf is the rank of a lock whose holder acquires no other one.
	Leaf Rank = iota
	// PermitStream orders the requests that an entry box writes to a stream of permits.
	PermitStream
	// BufferedResponse guards the response of a request that started behind another one, whose holder
	// reserves memory of the caller's connection.
	BufferedResponse
	// Permits guards the permits of an entry box or a replica, whose holder asks for the replicas or
	// the limits in force.
	Permits
	// ServingBoxes guards the list of boxes that a replica names, which is made from their reports.
	ServingBoxes
	// PoolSettings orders the settings that an entry box passes to its pools.
	PoolSettings
	// Balancing guards the choice of targets. Its holder asks what targets and settings say.
	Balancing
)

var rankNames = [...]string{
	Leaf: "Leaf", PermitStream: "PermitStream", BufferedResponse: "BufferedResponse", Permits: "Permits",
	ServingBoxes: "ServingBoxes", PoolSettings: "PoolSettings", Balancing: "Balancing",
}

// String implements fmt.Stringer.
func (r Rank) String() string { return rankNames[r] }

// Mutex is a sync.Mutex with a rank. The zero value is an unlocked Leaf.
type Mutex struct {
	// Rank must not change once the mutex is in use.
	Rank Rank

	mutex sync.Mutex
}

// Lock implements sync.Locker.
func (m *Mutex) Lock() {
	if checked {
		held.acquire(m)
	}
	m.mutex.Lock()
}

// Unlock implements sync.Locker.
func (m *Mutex) Unlock() {
	m.mutex.Unlock()
	if checked {
		held.release(m)
	}
}
