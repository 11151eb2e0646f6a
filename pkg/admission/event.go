// Package admission decides which requests run on the targets of one pool: the
// targets of one service in one availability zone.
//
// A Pool is a state machine without I/O. The process that holds the pool's
// lease hosts it and tells it of arrivals, ends, measurements and settings; the
// Pool answers with grants and refusals. Its invariant is that a target never
// has more requests granted than its slots, and the pool none without a lease.
// What a target reports can only lower what the Pool grants.
package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Class says whether a request may be repeated.
type Class int

// The classes of requests.
const (
	Unrepeatable Class = iota
	Repeatable
)

// Config are the settings in force for the pool.
type Config struct {
	// RoundRobin selects the baseline policy: targets in turn, no queue, no
	// ejection.
	RoundRobin bool
	// Slots is how many requests one target runs at once.
	Slots int
	// ReserveShare is the percentage of slots that the class RefuseFirst and
	// requests from elsewhere can't use.
	ReserveShare int
	// RefuseFirst is the class that is refused first; nil for none.
	RefuseFirst  *Class
	QueueLimit   int
	MaxQueueWait time.Duration
	// ForeignShare is the percentage of slots that requests of callers who
	// are assigned to another region may use.
	ForeignShare       int
	RampUp             time.Duration
	EjectAfterFailures int
	EjectShare         int
	EjectionTime       time.Duration
	// MaxRequestTime is after how long a request of an earlier lease holder
	// has surely ended.
	MaxRequestTime time.Duration
}

// Target is one target of the pool's settings.
type Target struct {
	Name     string
	Draining bool
}

// Event is one input of a Pool.
type Event interface{ event() }

// Configure puts settings and the list of targets in force.
type Configure struct {
	Config  Config
	Targets []Target
}

// SetLease tells until when the lease is held.
type SetLease struct{ Until time.Time }

// Arrive asks for a slot. ID must be new.
type Arrive struct {
	ID       uint64
	Class    Class
	Deadline time.Time
	// Foreign marks a caller who is assigned to another region.
	Foreign bool
	// Exclude names targets that the request has already failed on.
	Exclude []string
	// NoWait asks for a slot at once or a refusal, since another pool may have
	// one free.
	NoWait bool
}

// Cancel takes back an Arrive that still waits.
type Cancel struct{ ID uint64 }

// Result is how a granted request ended.
type Result int

// The results of a granted request.
const (
	Succeeded Result = iota
	// Failed: the target broke the connection, timed out or erred.
	Failed
	// Shed: the target refused the request unrun.
	Shed
	// Canceled: the caller left; it says nothing about the target.
	Canceled
)

// Finish ends a granted request and frees its slot.
type Finish struct {
	ID      uint64
	Result  Result
	Latency time.Duration
}

// HealthReport is what a target says of itself.
type HealthReport struct {
	Target string
	// Ready is false if the target can't take work or did not answer.
	Ready    bool
	Draining bool
	// Cold marks a target that has just started.
	Cold bool
	// Busy is how many requests the target says it runs; negative if unknown.
	Busy int
}

// TargetUpdate is what an answer of a target reports to all boxes.
type TargetUpdate struct {
	Target string
	Update targetstatus.Update
}

// BackOff is a target's request to send it nothing for a time.
type BackOff struct {
	Target string
	Wait   time.Duration
}

// Tick lets time pass.
type Tick struct{}

func (Configure) event()    {}
func (SetLease) event()     {}
func (Arrive) event()       {}
func (Cancel) event()       {}
func (Finish) event()       {}
func (HealthReport) event() {}
func (TargetUpdate) event() {}
func (BackOff) event()      {}
func (Tick) event()         {}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	NoLease      Reason = "noLease"
	NoTarget     Reason = "noTarget"
	Overloaded   Reason = "overloaded"
	QueueFull    Reason = "queueFull"
	QueueTimeout Reason = "queueTimeout"
	ForeignCap   Reason = "foreignCap"
	Displaced    Reason = "displaced"
)

// Grant gives a request a slot of a target.
type Grant struct {
	ID     uint64
	Target string
}

// Refusal is the final answer to a request that got no slot: it did not run,
// and the caller may come back after RetryAfter.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Output is what to carry out after an event.
type Output struct {
	Grants   []Grant
	Refusals []Refusal
	// NextTick is when a Tick is needed at the latest; zero for never.
	NextTick time.Time
}
