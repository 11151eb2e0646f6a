package gateway

import (
	"fmt"
	"io"
)

// maxResponseHead bounds the status lines and headers of one response, interim ones included. Without
// it a target that writes a header without end takes all memory of the box.
const maxResponseHead = 64 << 10

// headTooLongError says that a target sent a response head that is longer than the limit, or interim
// responses of that length.
type headTooLongError struct{ Limit int }

// Error implements error.
func (e *headTooLongError) Error() string {
	return fmt.Sprintf("the head of the response is longer than %d bytes", e.Limit)
}

// headLimiter reads from a connection and fails once more than maxResponseHead bytes have been read
// while a response head is expected. One goroutine at a time uses it.
type headLimiter struct {
	source io.Reader
	inHead bool
	read   int
}

// begin starts to count: a response head is expected.
func (l *headLimiter) begin() {
	l.inHead = true
	l.read = 0
}

// end stops counting: the head has been read.
func (l *headLimiter) end() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.inHead && l.read >= maxResponseHead {
		return 0, &headTooLongError{maxResponseHead}
	}
	n, err := l.source.Read(p)
	l.read += n
	return n, err
}
