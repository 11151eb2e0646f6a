package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

// targetConn is a connection to a target. While a slot holds it, closing it closes only the
// direction to the target, since the target's end of the connection shows when it has stopped.
type targetConn struct {
	net.Conn
	// reading holds a token during a read. Unlike with a mutex, a read can give up waiting for it
	// once done is closed, while waitForEnd holds it until the target ends the connection.
	reading chan struct{}
	// done is closed when closed is set.
	done chan struct{}

	mu     lockorder.Mutex
	holder *slot
	closed bool
	// targetEnded is set once the target has closed or reset the connection.
	targetEnded bool
}

func newTargetConn(c net.Conn) *targetConn {
	return &targetConn{Conn: c, reading: make(chan struct{}, 1), done: make(chan struct{})}
}

// hold makes a slot the holder of the connection.
func (c *targetConn) hold(s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = s
}

// release ends the hold of a slot whose response is complete. The transport may have given the
// connection to another slot already.
func (c *targetConn) release(s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != s {
		return
	}
	c.holder = nil
	if c.closed {
		_ = c.Conn.Close() // the response is complete
	}
}

// breakOff closes the direction to the target of a connection that the slot holds. It reports
// whether the target may still be at work.
func (c *targetConn) breakOff(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != s {
		return false
	}
	c.closeWrite()
	if c.targetEnded {
		_ = c.Conn.Close() // the target has closed it already
	}
	return !c.targetEnded
}

// closeWrite closes the direction to the target and makes pending reads and writes return. The
// caller must hold c.mu.
func (c *targetConn) closeWrite() {
	if c.closed {
		return
	}
	c.setClosed()
	_ = c.Conn.SetDeadline(aLongTimeAgo) // a connection that has ended needs no deadline
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = h.CloseWrite() // if it fails, the connection has ended, which waitForEnd sees
	}
}

// aLongTimeAgo is a deadline that makes pending operations return at once.
var aLongTimeAgo = time.Unix(1, 0)

// waitForEnd reads what the target still sends until it closes the connection, or until the
// context ends, and closes the connection.
func (c *targetConn) waitForEnd(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.Conn.Close() }) // makes the read below return
	defer stop()
	c.reading <- struct{}{} // a read in progress has returned at the deadline of closeWrite
	defer func() { <-c.reading }()
	_ = c.Conn.SetReadDeadline(time.Time{}) // if it fails, so does the read
	_, _ = io.Copy(io.Discard, c.Conn)      // any error means that the connection has ended
	_ = c.Conn.Close()                      // it has ended
}

// Read implements net.Conn.
func (c *targetConn) Read(b []byte) (int, error) {
	select {
	case c.reading <- struct{}{}:
	case <-c.done:
		return 0, net.ErrClosed
	}
	defer func() { <-c.reading }()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.targetEnded = true
	} else if c.closed {
		err = net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *targetConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != nil {
		c.closeWrite()
		return nil
	}
	c.setClosed()
	return c.Conn.Close()
}

// setClosed records that the connection is closed towards its user. The caller must hold c.mu.
func (c *targetConn) setClosed() {
	if !c.closed {
		c.closed = true
		close(c.done)
	}
}

func (c *targetConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
