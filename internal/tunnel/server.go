package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/tcpconn"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// requestTimeout is how long a box may take to send its request.
	requestTimeout = 2 * time.Second
	// maxRequestBytes bounds a request: its names have some tens of bytes.
	maxRequestBytes = 4 << 10
	// maxConnectTime bounds the time for a connection to a target, whatever the box asks for.
	maxConnectTime = 600 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Connect connects to a registered target. It fails with a *RefusedError.
	Connect func(ctx context.Context, target string) (net.Conn, error)
	// MaxTunnels bounds the tunnels that are open at once: each takes two connections and the
	// buffers for them.
	MaxTunnels int
	// Pace waits until a number of bytes of a long response may be sent.
	Pace func(ctx context.Context, bytes int) error
	// OnBackOff is called when a box tells that a target must get no requests for a while.
	OnBackOff func(target string, wait time.Duration)
	// OnRequest is called with the result of each request, for logs and metrics.
	OnRequest func(r *wire.TunnelRequest, answer *wire.TunnelAnswer)
}

// Server connects to targets for other boxes. It is safe for concurrent use.
type Server struct {
	config ServerConfig
	mu     lockorder.Mutex
	// conns are the connections from boxes, with their tunnels once they have one.
	conns    map[net.Conn]*joined
	open     int
	draining bool
	running  sync.WaitGroup
}

// NewServer returns a server without tunnels.
func NewServer(c ServerConfig) *Server {
	return &Server{config: c, conns: make(map[net.Conn]*joined)}
}

// Serve serves the connections of a listener until the context ends or the listener fails. It closes
// the listener and all tunnels and waits for their end.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() }) // ends Accept
	defer func() {
		stop()
		cancel()
		_ = l.Close() // it may have failed already
		s.closeAll()
		s.running.Wait()
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return errors.Join(ctx.Err(), err)
		}
		s.running.Go(func() { s.ServeConn(ctx, c) })
	}
}

// ServeConn serves the connection of one box until it ends.
func (s *Server) ServeConn(ctx context.Context, box net.Conn) {
	if !s.add(box) {
		_ = box.Close() // the box asks another peer
		return
	}
	defer s.remove(box)
	reader := bufio.NewReaderSize(box, readBuffer)
	request := &wire.TunnelRequest{}
	_ = box.SetReadDeadline(time.Now().Add(requestTimeout)) // steady clock: deadlines of connections go by it; on one that has ended the read fails
	if err := (protodelim.UnmarshalOptions{MaxSize: maxRequestBytes}).UnmarshalFrom(reader, request); err != nil {
		return // the box has left
	}
	_ = box.SetReadDeadline(time.Time{})
	target, answer := s.connect(ctx, request)
	s.config.OnRequest(request, answer)
	if target == nil {
		_, _ = protodelim.MarshalTo(box, answer) // a box that has left needs no answer
		return
	}
	defer s.free()
	j := s.addTunnel(box, target, request.Target)
	if _, err := protodelim.MarshalTo(box, answer); err != nil {
		_ = target.Close() // nothing was sent on it
		return
	}
	s.join(ctx, j, reader)
}

// add counts a connection, unless there are too many.
func (s *Server) add(box net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= 2*s.config.MaxTunnels {
		return false
	}
	s.conns[box] = nil
	return true
}

func (s *Server) remove(box net.Conn) {
	s.mu.Lock()
	delete(s.conns, box)
	s.mu.Unlock()
	_ = box.Close() // the tunnel has ended
}

// connect connects to the target of a request if there is room for a tunnel.
func (s *Server) connect(ctx context.Context, r *wire.TunnelRequest) (net.Conn, *wire.TunnelAnswer) {
	if !s.reserve() {
		return nil, &wire.TunnelAnswer{Result: wire.TunnelAnswer_RESULT_BUSY}
	}
	timeout := maxConnectTime
	if r.TimeoutMilli > 0 {
		timeout = min(time.Duration(r.TimeoutMilli)*time.Millisecond, maxConnectTime)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target, err := s.config.Connect(ctx, r.Target)
	if err == nil {
		return tcpconn.Wrap(target), &wire.TunnelAnswer{Result: wire.TunnelAnswer_RESULT_CONNECTED}
	}
	s.free()
	answer := &wire.TunnelAnswer{Result: wire.TunnelAnswer_RESULT_TARGET_UNREACHED}
	var refused *RefusedError
	if errors.As(err, &refused) {
		answer.Result = codeOf(refused.Result)
		answer.BackOffMilli = refused.BackOff.Milliseconds()
	}
	return nil, answer
}

func codeOf(result targetpath.Result) wire.TunnelAnswer_Result {
	for code, r := range results {
		if r == result {
			return code
		}
	}
	return wire.TunnelAnswer_RESULT_TARGET_UNREACHED
}

// reserve counts a tunnel, unless there are too many or the box shuts down.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.open >= s.config.MaxTunnels {
		return false
	}
	s.open++
	return true
}

func (s *Server) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Drain refuses further tunnels and tells the boxes to use the open ones no longer than for the
// request in flight.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, j := range s.conns {
		if j != nil {
			j.notify(encodeEmpty(drainFrame))
		}
	}
}

// BackOff tells the boxes with a tunnel to a target that it must get no requests for a while.
func (s *Server) BackOff(target string, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.conns {
		if j != nil && j.targetID == target {
			j.notify(encodeBackOff(wait))
		}
	}
}

// waitInterval is how often Wait checks for open tunnels.
const waitInterval = 10 * time.Millisecond

// Wait waits until no tunnel is open or the context ends.
func (s *Server) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for box := range s.conns {
		_ = box.Close() // requests in flight on it are cut off
	}
}

// joined is one tunnel: the connection of a box and that to a target.
type joined struct {
	box      net.Conn
	target   net.Conn
	targetID string
	// writeLock holds a token while a frame is written to the box. notices are frames that are sent
	// beside the data.
	writeLock chan struct{}
	notices   chan []byte
	// targetEnded tells that the box has been told the end of the target's data.
	targetEnded atomic.Bool
}

// maxNotices bounds the notices that wait for a box that does not read.
const maxNotices = 4

// notify sends a frame to the box. It does not wait: a box that misses a notice learns the same from
// the target or from the end of the connection.
func (j *joined) notify(frame []byte) {
	select {
	case j.notices <- frame:
	default:
	}
}

func (j *joined) write(frame []byte) error {
	j.writeLock <- struct{}{}
	defer func() { <-j.writeLock }()
	_, err := j.box.Write(frame)
	return err
}

// endTimeout bounds how long a tunnel waits for a further frame of the box, or for the target to take
// it, after the end of the target's data.
const endTimeout = 5 * time.Second

// join carries data between the two connections of a tunnel until the box ends its own. When the target
// has ended its data the box learns that first: it closes the connection once it has read the end, and
// the target may read on.
func (s *Server) join(ctx context.Context, j *joined, reader *bufio.Reader) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{}, 3)
	go func() { j.carryToTarget(reader, s.config.OnBackOff); cancel(); ended <- struct{}{} }()
	go func() { j.carryToBox(ctx, s.config.Pace); j.limitRest(); ended <- struct{}{} }()
	go func() { j.sendNotices(ctx); ended <- struct{}{} }()
	<-ctx.Done()
	_ = j.target.Close() // a target that watches its connection stops its work
	_ = j.box.Close()
	for range cap(ended) {
		<-ended
	}
}

// addTunnel records the tunnel of a connection. Notices wait until the box has its answer.
func (s *Server) addTunnel(box, target net.Conn, targetID string) *joined {
	j := &joined{box: box, target: target, targetID: targetID, writeLock: make(chan struct{}, 1), notices: make(chan []byte, maxNotices)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[box] = j
	if s.draining {
		j.notify(encodeEmpty(drainFrame))
	}
	return j
}

// limitRest bounds the time for what the box still sends behind the end of the target's data.
func (j *joined) limitRest() {
	j.targetEnded.Store(true)
	until := time.Now().Add(endTimeout) // steady clock: deadlines of connections go by it
	_ = j.box.SetReadDeadline(until)    // on a closed connection reading fails
	_ = j.target.SetWriteDeadline(until)
}

// carryToTarget passes on what the box sends, until its connection ends. What a target doesn't take is
// discarded: the rest of its response may not have reached the box yet.
func (j *joined) carryToTarget(reader *bufio.Reader, onBackOff func(string, time.Duration)) {
	var to io.Writer = j.target
	for {
		kind, length, err := readHeader(reader)
		if err != nil {
			return // the box has closed the connection, or is lost
		}
		if j.targetEnded.Load() {
			j.limitRest()
		}
		switch kind {
		case dataFrame:
			data := &io.LimitedReader{R: reader, N: int64(length)}
			if _, err := io.Copy(to, data); err != nil {
				to = io.Discard
			}
			if _, err := io.Copy(io.Discard, data); err != nil || data.N > 0 {
				return // the box is lost
			}
		case backOffFrame:
			wait, err := readBackOff(reader)
			if err != nil {
				return
			}
			onBackOff(j.targetID, wait)
		}
	}
}

// longResponse is the number of bytes without a pause for a request from which on a response counts
// as long, so that it is sent at the pace of long responses.
const longResponse = 32 << 10

// responsePause is a pause of the target after which the next bytes belong to another response.
const responsePause = 50 * time.Millisecond

// carryToBox passes on what the target sends and tells how its connection ended.
func (j *joined) carryToBox(ctx context.Context, pace func(context.Context, int) error) {
	buffer := make([]byte, headerBytes+maxPayload)
	sent := 0
	last := time.Now() // steady clock: it measures a pause only
	for {
		n, err := j.target.Read(buffer[headerBytes:])
		if n > 0 {
			if now := time.Now(); now.Sub(last) > responsePause { // steady clock: it measures a pause only
				sent = 0
			}
			if sent += n; sent > longResponse && pace(ctx, n) != nil {
				return
			}
			putHeader(buffer, dataFrame, n)
			if j.write(buffer[:headerBytes+n]) != nil {
				return
			}
			last = time.Now() // steady clock: it measures a pause only
		}
		if err != nil {
			j.sendEnd(err)
			return
		}
	}
}

// sendEnd tells the box how the target's connection ended.
func (j *joined) sendEnd(err error) {
	kind := resetFrame
	if errors.Is(err, io.EOF) {
		kind = endFrame
	}
	_ = j.write(encodeEmpty(kind)) // a box that is lost sees the connection break
}

// sendNotices sends the notices to the box.
func (j *joined) sendNotices(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-j.notices:
			if j.write(frame) != nil {
				return
			}
		}
	}
}
