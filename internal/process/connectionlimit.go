package process

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// connectionLimit bounds the connections of an HTTP server. Beyond the limit it closes the one that
// has been idle for longest, or the new one if none is idle: peers that call several replicas in turn
// keep a connection to each, and each takes memory.
type connectionLimit struct {
	limit int
	mu    sync.Mutex
	open  int
	// idle holds the idle connections, the longest idle one first, and elements their positions.
	idle     *list.List
	elements map[net.Conn]*list.Element
}

func newConnectionLimit(limit int) *connectionLimit {
	return &connectionLimit{limit: limit, idle: list.New(), elements: make(map[net.Conn]*list.Element)}
}

// stateChanged tracks a connection. It is called by the HTTP server.
func (c *connectionLimit) stateChanged(conn net.Conn, s http.ConnState) {
	if excess := c.track(conn, s); excess != nil {
		_ = excess.Close() // its peer notices
	}
}

// track records the state of a connection and returns the one to close, if there are too many.
func (c *connectionLimit) track(conn net.Conn, s http.ConnState) (excess net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.elements[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
	switch s {
	case http.StateNew:
		c.open++
		if c.open > c.limit {
			return c.oldestIdle(conn)
		}
	case http.StateIdle:
		c.elements[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
	return nil
}

// oldestIdle returns the connection that has been idle for longest, or a new one if none is idle.
func (c *connectionLimit) oldestIdle(added net.Conn) net.Conn {
	e := c.idle.Front()
	if e == nil {
		return added
	}
	conn := e.Value.(net.Conn) // idle holds nothing else
	c.idle.Remove(e)
	delete(c.elements, conn)
	return conn
}
