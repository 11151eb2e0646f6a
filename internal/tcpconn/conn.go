// Package tcpconn wraps TCP connections so that the end of their data is known to be that of the peer.
//
// The kernel reports the error of a connection once. If a write gets the reset of the peer, the next
// read returns io.EOF, as if the peer had ended its data soundly, and a message that ends with its
// connection looks complete.
package tcpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its data soundly. Read and
// Write may be called concurrently with each other, but not with themselves.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writeDeadline is the deadline that the user of the connection has set.
	writeDeadline time.Time
	// writing is closed when the write in progress has returned; nil while there is none.
	writing chan struct{}
	// interrupted tells that the deadline of the write in progress was changed to make it return.
	interrupted bool
	// writeErr is the first error of a write.
	writeErr error
	// sound tells that the end of the peer's data has been read.
	sound bool
}

// Wrap returns a connection as a Conn, unless it is no TCP connection: others report each error as
// often as they are asked.
func Wrap(c net.Conn) net.Conn {
	if _, ok := c.(*net.TCPConn); !ok {
		return c
	}
	return &Conn{Conn: c}
}

// ResetError says that a connection was reset although a read returned no error.
type ResetError struct {
	// Write is the error of the write that got the reset.
	Write error
}

// Error implements error.
func (e *ResetError) Error() string { return "the connection broke: " + e.Write.Error() }

// Unwrap returns the error of the write.
func (e *ResetError) Unwrap() error { return e.Write }

// Read implements net.Conn. The error is a ResetError instead of io.EOF if the connection was reset.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfData()
	}
	return n, err
}

// endOfData returns io.EOF if the peer has ended its data soundly. A write in progress may have got the
// reset already, so it is made to return first.
func (c *Conn) endOfData() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sound {
		return io.EOF
	}
	if writing := c.writing; writing != nil {
		c.interrupted = true
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // on a closed connection the write returns as well
		c.mu.Unlock()
		<-writing
		c.mu.Lock()
	}
	if c.writeErr != nil && !followsEnd(c.writeErr) {
		return &ResetError{c.writeErr}
	}
	c.sound = true
	return io.EOF
}

// followsEnd reports whether a write may have failed behind a sound end of the peer's data: a reset that
// arrives after that end is reported as EPIPE, one that comes in its place as ECONNRESET.
func followsEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	for {
		returned := c.beginWrite()
		n, err := c.Conn.Write(p[written:])
		written += n
		if !c.endWrite(returned, err) {
			return written, err
		}
	}
}

func (c *Conn) beginWrite() (returned chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = make(chan struct{})
	return c.writing
}

// endWrite records the end of a write and reports whether it has to go on, because it returned only to
// tell its error.
func (c *Conn) endWrite(returned chan struct{}, err error) (goOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(returned)
	c.writing = nil
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)                               // on a closed connection the write fails again
		passed := !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline) // steady clock: deadlines of connections go by it
		goOn = errors.Is(err, os.ErrDeadlineExceeded) && !passed
	}
	if err != nil && !goOn && c.writeErr == nil {
		c.writeErr = err
	}
	return goOn
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if c.interrupted {
		return nil // set when the write has returned
	}
	return c.Conn.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }

// CloseWrite ends the direction to the peer.
func (c *Conn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }
