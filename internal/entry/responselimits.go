package entry

import (
	"encoding/json"
	"fmt"
	"io"
)

// Limits on responses that other processes send. Without them a process that writes without end takes
// all memory of the box.
const (
	// maxResponseHeaderBytes bounds the head of a response, interim responses included.
	maxResponseHeaderBytes = 64 << 10
	// maxHealthBytes bounds the body of a health response.
	maxHealthBytes = 64 << 10
	// maxPlatformListBytes bounds the platform's list of boxes, at about 60 bytes each.
	maxPlatformListBytes = 1 << 20
)

// responseTooLongError says that a response is longer than its limit.
type responseTooLongError struct{ Limit int }

// Error implements error.
func (e *responseTooLongError) Error() string {
	return fmt.Sprintf("the response is longer than %d bytes", e.Limit)
}

// decodeJSON decodes a body of at most limit bytes. The error of a longer one is a
// responseTooLongError.
func decodeJSON(body io.Reader, limit int, into any) error {
	limited := &io.LimitedReader{R: body, N: int64(limit) + 1}
	err := json.NewDecoder(limited).Decode(into)
	if limited.N <= 0 {
		return &responseTooLongError{limit}
	}
	return err
}
