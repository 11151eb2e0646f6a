package quota

import (
	"fmt"
	"time"
)

// OverLimitError says that a workspace, or a target, has used up its limit.
type OverLimitError struct {
	Subject string
	// AvailableIn is when there may be room, and After when one of several that were refused may
	// come back.
	AvailableIn time.Duration
	RetryAfter  time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("the limit of %s is used up; try again in %s", e.Subject, e.RetryAfter)
}

// NoIssuerError says that no issuer could be asked.
type NoIssuerError struct {
	Subject string
	// RetryAfter is when one is asked again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoIssuerError) Error() string {
	return fmt.Sprintf("no control replica tells whether %s is within its limit; try again in %s", e.Subject, e.RetryAfter)
}
