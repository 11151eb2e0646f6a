// Package admission decides which requests run on the targets of one pool: the targets of one
// service in one availability zone.
//
// A Pool is a state machine without I/O. It runs in the process that holds the pool's lease, which
// passes it arrivals, ends of requests, health reports and settings; the Pool returns grants and
// refusals. Its invariants are that a target never has more granted requests than slots, and that
// nothing is granted without a lease. Reports from targets can only lower what the Pool grants.
package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Class tells whether a request may be repeated.
type Class int

// The classes of requests.
const (
	Unrepeatable Class = iota
	Repeatable
)

// Config holds the settings of a pool.
type Config struct {
	// RoundRobin selects the baseline policy: round robin without a queue or ejections.
	RoundRobin bool
	// Slots is how many requests a target runs at once.
	Slots int
	// ReserveShare is the percentage of slots that neither requests of the class RefuseFirst nor
	// foreign ones can use.
	ReserveShare int
	// RefuseFirst is the class that is refused first; nil for none.
	RefuseFirst  *Class
	QueueLimit   int
	MaxQueueWait time.Duration
	// ForeignShare is the percentage of slots that requests of callers assigned to another region
	// may use.
	ForeignShare       int
	RampUp             time.Duration
	EjectAfterFailures int
	EjectShare         int
	EjectionTime       time.Duration
	// MaxRequestTime is the time after which a request that was granted by an earlier lease holder, or
	// that was broken off, counts as ended.
	MaxRequestTime time.Duration
}

// Target is a target in the pool's settings.
type Target struct {
	Name     string
	Draining bool
}

// Event is an input of a Pool.
type Event interface{ event() }

// Configure sets the settings and the list of targets.
type Configure struct {
	Config  Config
	Targets []Target
}

// SetLease sets the time until which the lease is held.
type SetLease struct{ Until time.Time }

// Arrive requests a slot. The ID must be new.
type Arrive struct {
	ID       uint64
	Class    Class
	Deadline time.Time
	// Foreign is set if the caller is assigned to another region.
	Foreign bool
	// Exclude names the targets on which the request has already failed.
	Exclude []string
	// NoWait asks for a refusal if no slot is free at once, because another pool may have one.
	NoWait bool
}

// Cancel withdraws an Arrive that is still waiting.
type Cancel struct{ ID uint64 }

// Result is how a granted request ended.
type Result int

// The results of a granted request.
const (
	Succeeded Result = iota
	// Failed: the target broke the connection, timed out or returned an error.
	Failed
	// Shed: the target rejected the request without running it.
	Shed
	// Canceled: the caller gave up, which says nothing about the target.
	Canceled
)

// Finish ends a granted request and frees its slot. The result of a request that was broken off is
// ignored, since BreakOff has reported it.
type Finish struct {
	ID      uint64
	Result  Result
	Latency time.Duration
}

// BreakOff ends a granted request whose connection to the target was broken off before its response
// was complete. Its result counts at once. The slot stays taken until Finish, which reports that the
// target has stopped, but no longer than Config.MaxRequestTime.
type BreakOff struct {
	ID     uint64
	Result Result
}

// HealthReport is the result of a target's health check.
type HealthReport struct {
	Target string
	// Ready is false if the target cannot accept work or did not respond.
	Ready    bool
	Draining bool
	// Cold is set if the target has just started.
	Cold bool
	// Busy is the number of requests that the target reports as running; negative if unknown.
	Busy int
}

// TargetUpdate is the part of a target's response that concerns all boxes.
type TargetUpdate struct {
	Target string
	Update targetstatus.Update
}

// BackOff is a target's request to send it nothing for a time.
type BackOff struct {
	Target string
	Wait   time.Duration
}

// Tick only lets time pass.
type Tick struct{}

func (Configure) event()    {}
func (SetLease) event()     {}
func (Arrive) event()       {}
func (Cancel) event()       {}
func (Finish) event()       {}
func (BreakOff) event()     {}
func (HealthReport) event() {}
func (TargetUpdate) event() {}
func (BackOff) event()      {}
func (Tick) event()         {}

// Reason is why a request was refused.
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

// Grant assigns a slot of a target to a request.
type Grant struct {
	ID     uint64
	Target string
}

// Refusal is the final answer to a request that got no slot. The request did not run, and the
// caller may retry after RetryAfter.
type Refusal struct {
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration
}

// Output is what to carry out after an event.
type Output struct {
	Grants   []Grant
	Refusals []Refusal
	// Reclaimed lists requests that were broken off and whose targets have not stopped within
	// Config.MaxRequestTime. Their slots are free again; their connections must be closed.
	Reclaimed []uint64
	// NextTick is when the next Tick is due at the latest; zero for never.
	NextTick time.Time
}
