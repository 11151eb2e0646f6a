// Package requestkey ensures that a request that must not be repeated runs at most
// once.
//
// A caller sends such a request with a request key, and uses the same key for every
// resend. The key begins with a scope that an entry box issued. The scope names that
// box, the owner, with its incarnation; the witness with its incarnation; and the time
// of issue. Only the owner runs the request. Before it does, it has the witness record
// that the key has started. If the witness was asked about the key before that, it
// refuses to record the start, so its answer that the key never started stays true.
//
// Owner and Witness are state machines without I/O. Neither stores anything on disk: a
// restarted box has a new incarnation and never runs a key of an earlier one.
package requestkey

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Scope is the part of a key that the owner issues.
type Scope struct {
	Owner            string
	OwnerIncarnation string
	// Witness is empty if the owner had no witness when it issued the scope.
	Witness            string
	WitnessIncarnation string
	IssuedAt           time.Time
}

// Key is a complete request key.
type Key struct {
	Scope Scope
	// Nonce is the caller's part, which distinguishes its requests.
	Nonce string
}

// FormatError is returned for a text that is not a request key.
type FormatError struct{ Reason string }

// Error implements error.
func (e *FormatError) Error() string { return "request key: " + e.Reason }

const (
	scopeFields = 5
	maxKeyBytes = 300
	separator   = "~"
)

// String returns the scope as it appears at the start of a key.
func (s Scope) String() string {
	issued := strconv.FormatInt(s.IssuedAt.UnixMilli(), 10)
	return strings.Join([]string{s.Owner, s.OwnerIncarnation, s.Witness, s.WitnessIncarnation, issued}, separator)
}

// String returns the text form of the key.
func (k Key) String() string { return k.Scope.String() + separator + k.Nonce }

// Parse parses the text form of a key.
func Parse(text string) (Key, error) {
	if len(text) > maxKeyBytes {
		return Key{}, &FormatError{fmt.Sprintf("it has more than %d bytes", maxKeyBytes)}
	}
	parts := strings.SplitN(text, separator, scopeFields+1)
	if len(parts) != scopeFields+1 {
		return Key{}, &FormatError{"it must be the key scope of a look-up, ~ and a part of your own"}
	}
	issued, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil {
		return Key{}, &FormatError{fmt.Sprintf("its time %q is not a number", parts[4])}
	}
	if parts[0] == "" || parts[1] == "" || parts[5] == "" {
		return Key{}, &FormatError{"the owner, its incarnation and your own part may not be empty"}
	}
	scope := Scope{
		Owner:              parts[0],
		OwnerIncarnation:   parts[1],
		Witness:            parts[2],
		WitnessIncarnation: parts[3],
		IssuedAt:           time.UnixMilli(issued),
	}
	return Key{Scope: scope, Nonce: parts[5]}, nil
}
