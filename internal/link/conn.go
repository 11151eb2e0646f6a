package link

import (
	"bufio"
	"net"
	"sync"
)

// countingConn counts the bytes that a connection carries.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// bufferedConn is a connection whose first bytes were already read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *bufferedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// StreamListener is a net.Listener that accepts streams of a Node, so that a
// net/http server can serve the requests that other processes forward.
type StreamListener struct {
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// NewStreamListener returns a listener with an address to report.
func NewStreamListener(address net.Addr) *StreamListener {
	return &StreamListener{streams: make(chan net.Conn), done: make(chan struct{}), address: address}
}

// Deliver hands a stream to Accept. It closes the stream if the listener is closed.
func (l *StreamListener) Deliver(c net.Conn) {
	select {
	case l.streams <- c:
	case <-l.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *StreamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.streams:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *StreamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *StreamListener) Addr() net.Addr { return l.address }
