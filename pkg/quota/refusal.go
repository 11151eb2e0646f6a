package quota

import (
	"fmt"
	"time"
)

// OverLimitError says that a workspace, or a target, has used up its limit.
type OverLimitError struct {
	Of string
	// Room is when there may be room, and After when one of several that were refused may
	// come back.
	Room  time.Duration
	After time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("the limit of %s is used up; try again in %s", e.Of, e.After)
}

// SilentError says that no issuer could be asked.
type SilentError struct {
	Of string
	// After is when one is asked again.
	After time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no control replica tells whether %s is within its limit; try again in %s", e.Of, e.After)
}
