package gateway

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// uploadBuffer is the size of the pieces in which a long body is passed on.
	uploadBuffer = 16 << 10
	// lingerTime is for how long a caller that is still sending its body is read from after its
	// deadline, so that it can read the response before the connection is reset.
	lingerTime = 500 * time.Millisecond
)

// bodyError says that a caller has not sent its whole body.
type bodyError struct{ err error }

// Error implements error.
func (e *bodyError) Error() string { return "reading the request body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *bodyError) Unwrap() error { return e.err }

// upload is the sending of one request to a target. The part of a long body that is not buffered is
// read by the upload alone, until the caller has sent it or its connection fails. What the target no
// longer takes is discarded, because some callers read no response before they have sent the body.
type upload struct {
	// sent is closed when nothing more is sent to the target, and read when nothing more is read
	// from the caller.
	sent chan struct{}
	read chan struct{}
	// sendErr is why the target did not get the whole request. It may be read once sent is closed.
	sendErr error
	// readErr is why the body was not read to its end. It may be read once read is closed.
	readErr error
}

// endedUpload returns the upload of a request that was sent completely, or failed with an error.
func endedUpload(err error) *upload {
	u := &upload{sent: make(chan struct{}), read: make(chan struct{}), sendErr: err}
	close(u.sent)
	close(u.read)
	return u
}

// startUpload starts to send the rest of a body to a target. requestBody.finish waits for its end.
func startUpload(b *requestBody, c *connection) *upload {
	u := &upload{sent: make(chan struct{}), read: make(chan struct{})}
	go u.run(b, c)
	return u
}

func (u *upload) run(b *requestBody, c *connection) {
	defer close(u.read)
	u.sendErr = b.sendRest(c)
	close(u.sent)
	var broken *bodyError
	switch {
	case u.sendErr == nil:
	case errors.As(u.sendErr, &broken):
		u.readErr = broken
		_ = c.Close() // so that the target does not take the truncated body for a complete one
	default:
		_, u.readErr = io.Copy(io.Discard, b.rest)
	}
}

// hasEnded reports whether nothing more is sent to the target.
func (u *upload) hasEnded() bool {
	select {
	case <-u.sent:
		return true
	default:
		return false
	}
}

func (u *upload) succeeded() bool { return u.hasEnded() && u.sendErr == nil }

// failure returns the error with which sending ended; nil if it has not ended.
func (u *upload) failure() error {
	if !u.hasEnded() {
		return nil
	}
	return u.sendErr
}

// sendRest streams the body, in chunks if its length is unknown. The error is a bodyError if the caller
// does not send all of it.
func (b *requestBody) sendRest(c *connection) error {
	write := func(p []byte) error { _, err := c.Write(p); return err }
	if b.length < 0 {
		write = func(p []byte) error { return writeChunk(c, p) }
		if err := write(b.data); err != nil {
			return err
		}
	}
	total := int64(len(b.data))
	buffer := make([]byte, uploadBuffer)
	for {
		n, err := b.rest.Read(buffer)
		total += int64(n)
		if n > 0 {
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return b.endRest(c, total)
		}
		if err != nil {
			return &bodyError{err}
		}
	}
}

// endRest ends a body of which total bytes were sent.
func (b *requestBody) endRest(c *connection, total int64) error {
	switch {
	case b.length < 0:
		_, err := io.WriteString(c, lastChunk)
		return err
	case total != b.length:
		return &bodyError{io.ErrUnexpectedEOF}
	}
	return nil
}

// lastChunk ends a body in chunks that has no trailer.
const lastChunk = "0\r\n\r\n"

func writeChunk(c *connection, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err
}

// awaitUpload waits after a complete response until the target has got the whole body: it may read on.
// The wait ends at the deadline, and when the caller stops sending or the target takes no more. It does
// not end when the caller disconnects: it may have sent all of its body before.
func (c *callerRequest) awaitUpload(u *upload) {
	deadline := time.NewTimer(c.gateway.clock.Until(c.deadline))
	defer deadline.Stop()
	select {
	case <-u.sent:
	case <-deadline.C:
	}
	c.gateway.metrics.countUpload(u)
}

// endResponse makes a complete response reach the caller before the handler returns.
func (c *callerRequest) endResponse(out *targetResponse) error {
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errors.Wrap(err, "sending the response")
	}
	if out.rest == nil || out.length >= 0 || !c.request.ProtoAtLeast(1, 1) {
		return nil
	}
	return callerConnOf(c.request).endChunks()
}

// finishBody waits until the body has been read, because the HTTP server reads from the connection once
// the handler returns: beside an upload it would take parts of the body, and after an error it would
// take the rest of the body for a request. A caller that does not send its body in time is disconnected.
func (c *callerRequest) finishBody() {
	if c.body == nil || c.body.rest == nil {
		return
	}
	controller := http.NewResponseController(c.writer)
	var wait time.Duration
	if c.served {
		_ = controller.Flush() // on an error reading fails too
		wait = max(c.gateway.clock.Until(c.deadline), lingerTime)
	}
	_ = controller.SetReadDeadline(time.Now().Add(wait)) // steady clock: deadlines of connections go by it
	if err := c.body.finish(); err != nil && c.served {
		panic(http.ErrAbortHandler)
	}
}
