package link

import (
	"bufio"
	"net"
	"sync"
)

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// readAhead is a connection whose first bytes are already in a reader.
type readAhead struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *readAhead) Read(b []byte) (int, error) { return c.reader.Read(b) }

// StreamListener is a net.Listener fed with streams, so that a net/http server
// can serve what other processes forward.
type StreamListener struct {
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// NewStreamListener returns a listener that says it listens on an address.
func NewStreamListener(address net.Addr) *StreamListener {
	return &StreamListener{streams: make(chan net.Conn), done: make(chan struct{}), address: address}
}

// Deliver hands a stream to the server.
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
