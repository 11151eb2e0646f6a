package quota

import (
	"fmt"
	"time"
)

// OverLimitError reports that a workspace or target has used up its limit.
type OverLimitError struct {
	Subject string
	// AvailableIn is the time until a permit may be available. RetryAfter is the time
	// after which this caller should retry: refused callers get different times.
	AvailableIn time.Duration
	RetryAfter  time.Duration
}

// Error implements error.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("the limit of %s is used up; try again in %s", e.Subject, e.RetryAfter)
}

// NoIssuerError reports that no issuer responds.
type NoIssuerError struct {
	Subject    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoIssuerError) Error() string {
	return fmt.Sprintf("no control replica responds to requests for permits of %s; try again in %s", e.Subject, e.RetryAfter)
}
