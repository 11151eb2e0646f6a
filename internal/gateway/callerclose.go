package gateway

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

const (
	// callerCloseTimeout is how long the box waits for a caller to close a connection that the box has
	// ended, and idleCloseTimeout how long if no request was in flight on it.
	callerCloseTimeout = 5 * time.Second
	idleCloseTimeout   = time.Second
	// maxLingering bounds the connections that wait for their caller at once.
	maxLingering = 1024
	// maxDiscarded bounds the bytes that are read from a caller behind its last response.
	maxDiscarded = 1 << 20
	// discardBuffer is the size of the pieces in which they are read.
	discardBuffer = 2 << 10
)

// closeMode is what a caller may still have to receive or to be told when the box closes its
// connection.
type closeMode uint8

const (
	// closeAtOnce: the caller has ended the connection or has sent no request on it.
	closeAtOnce closeMode = iota
	// closeAfterResponse: the caller may still be receiving a response behind which the connection
	// ends. Requests behind that one count as unread, so what arrives is read and discarded.
	closeAfterResponse
	// closeIdle: as closeAfterResponse, but the response did not say that the connection ends. What
	// arrives is not read, which tells the caller that it has not run.
	closeIdle
	// closeByReset: a response has broken off, and its caller would take the end of the connection for
	// the end of the response.
	closeByReset
)

// lingering closes connections so that their callers receive the whole last response: data that
// arrives at a closed connection, or was not read before, resets it, and the caller then loses what
// it has not received.
type lingering struct {
	ctx    context.Context
	cancel context.CancelFunc
	// places holds a token for each connection that waits.
	places chan struct{}

	mu      lockorder.Mutex
	closed  bool
	running sync.WaitGroup
}

func newLingering() *lingering {
	ctx, cancel := context.WithCancel(context.Background())
	return &lingering{ctx: ctx, cancel: cancel, places: make(chan struct{}, maxLingering)}
}

// count returns how many connections wait for their callers.
func (l *lingering) count() int { return len(l.places) }

// start ends the box's direction of a connection. The connection is closed when the caller has closed
// its own, or after a time; at once if too many connections wait for that or the box ends.
func (l *lingering) start(conn net.Conn, mode closeMode) error {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || !l.run(func() { l.awaitEnd(conn, mode) }) {
		return conn.Close()
	}
	return nil
}

// run runs a function that close waits for, unless there is no place for it.
func (l *lingering) run(wait func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.places <- struct{}{}:
	default:
		return false
	}
	l.running.Go(func() {
		defer func() { <-l.places }()
		wait()
	})
	return true
}

// awaitEnd waits until the caller has closed its direction, and closes the connection.
func (l *lingering) awaitEnd(conn net.Conn, mode closeMode) {
	defer conn.Close()
	timeout := callerCloseTimeout
	if mode == closeIdle {
		timeout = idleCloseTimeout
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // steady clock: deadlines of connections go by it; on a closed one reading fails
	stop := context.AfterFunc(l.ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if mode == closeAfterResponse {
		discard(conn)
		return
	}
	if awaitReadable(conn) == errUnreadData {
		select {
		case <-l.ctx.Done():
		case <-time.After(timeout):
		}
	}
}

// discard reads from a connection until its end or maxDiscarded bytes.
func discard(conn net.Conn) {
	buffer := make([]byte, discardBuffer)
	for total := 0; total < maxDiscarded; {
		n, err := conn.Read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}

// errUnreadData says that data has arrived on a connection.
var errUnreadData = errors.New("the connection has unread data")

// awaitReadable waits, without reading, until the peer has closed a connection. The error is
// errUnreadData if data arrives before that.
func awaitReadable(conn net.Conn) error {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	count := 0
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		count = n
		return !errors.Is(errno, syscall.EAGAIN)
	})
	if err == nil && count > 0 {
		return errUnreadData
	}
	return err
}

// close waits until no connection waits for its caller, or closes them when the context ends.
func (l *lingering) close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, l.cancel)
	defer stop()
	l.running.Wait()
	l.cancel()
}
