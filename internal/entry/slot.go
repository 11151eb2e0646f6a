package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/admission"
)

// slot is a granted slot. Only the first call of release has an effect.
type slot struct {
	pool      *pool
	id        uint64
	request   string
	target    string
	startedAt time.Time
	cancel    context.CancelFunc
	once      sync.Once

	mu lockorder.Mutex
	// conns are the connections on which the request was sent.
	conns []*targetConn
	// complete is set once the whole response has been received.
	complete bool
}

// useConn records a connection on which the request is sent.
func (s *slot) useConn(conn net.Conn) {
	c, ok := conn.(*targetConn)
	if !ok {
		return // not dialed by dialForSlot
	}
	c.hold(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// setComplete records that the target is done with the request.
func (s *slot) setComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete = true
}

func (s *slot) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// release ends the request. If its response is not complete, the slot stays taken until the
// target has closed the connection.
func (s *slot) release(r admission.Result) {
	s.once.Do(func() {
		s.cancel()
		if running := s.runningConns(); len(running) > 0 {
			s.pool.breakOff(s, r, running)
			return
		}
		s.pool.finish(admission.Finish{ID: s.id, Result: r, Latency: s.pool.clock.Since(s.startedAt)})
	})
}

// runningConns gives up the connections and returns those on which the target may still be at
// work.
func (s *slot) runningConns() []*targetConn {
	s.mu.Lock()
	conns, complete := slices.Clone(s.conns), s.complete
	s.mu.Unlock()
	var running []*targetConn
	for _, c := range conns {
		if complete {
			c.release(s)
		} else if c.breakOff(s) {
			running = append(running, c)
		}
	}
	return running
}

// slotStream is the unread rest of a response body. Closing it releases the slot.
type slotStream struct {
	io.ReadCloser
	slot *slot
	// ctx is the context of the attempt.
	ctx    context.Context
	failed bool
}

// Read implements io.Reader.
func (s *slotStream) Read(b []byte) (int, error) {
	n, err := s.ReadCloser.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		s.slot.setComplete()
	case err != nil && !errors.Is(s.ctx.Err(), context.Canceled):
		s.failed = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *slotStream) Close() error {
	err := s.ReadCloser.Close()
	result := admission.Canceled
	switch {
	case s.failed:
		result = admission.Failed
	case s.slot.isComplete():
		result = admission.Succeeded
	}
	s.slot.release(result)
	return err
}
