package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/pipelining"
)

const (
	// maxStartedRequests is how many requests of one connection run at once.
	maxStartedRequests = 8
	// maxBufferedResponses bounds the bytes of the responses of one connection that wait for the one
	// before them.
	maxBufferedResponses = 64 << 10
	// bufferedResponsesShare is the share of the box's soft memory limit that all such responses may
	// take, defaultBufferedResponses what they may take if there is no limit, in bytes.
	bufferedResponsesShare   = 1.0 / 32
	defaultBufferedResponses = 4 << 20
	// minReadAhead and maxReadAhead bound the buffer for bytes behind the request that is being
	// served. Eight request heads of 2 KiB fit into it.
	minReadAhead = 1 << 10
	maxReadAhead = 16 << 10
	// minHeadBytes is the length of the shortest request line that net/http accepts. It waits for at
	// least 4 bytes of a request, so the end of a shorter head is not taken for that of a request.
	minHeadBytes = len("GET / HTTP/1.1\r\n")
)

// connState is what a callerConn knows of the request that the HTTP server is at.
type connState uint8

const (
	// readingHead: the next bytes belong to a request head.
	readingHead connState = iota
	// headRead: the server has got a complete head, and its handler has not begun.
	headRead
	// serving: the handler runs.
	serving
)

// callerConn is a connection of a caller. It hands the HTTP server the bytes of one request at a time
// and, while that request is being served, reads those behind it, so that their requests can start.
// It starts no goroutine of its own to read: while a handler runs, the server reads from the
// connection in order to detect that the caller disconnects, and readBehind runs in that call.
type callerConn struct {
	net.Conn
	server *callerServer
	// ctx is the parent of the contexts of requests that start early.
	ctx context.Context

	mu    lockorder.Mutex
	state connState
	scan  headScan
	// opaque tells that the ends of requests are not known from here on, as after a chunked body.
	// The server gets all bytes as they arrive.
	opaque bool
	// body is how many bytes of the request's body the server has not read.
	body int64
	// request is the request that is being served. alone tells that its headers keep it from
	// running beside others.
	request *http.Request
	alone   bool
	// ahead is nil unless bytes have arrived behind a request.
	ahead *readAhead
	// closed is the error with which the connection ended while a request was being served.
	closed error
	// reading tells that the server waits for bytes, and ended that the caller has ended its
	// direction.
	reading, ended bool
	// closing is set by the first call of Close, and closedByBox by the one that ends the box's
	// direction.
	closing, closedByBox bool
	// received tells that bytes of a request have been read, and idleSince when the last response was
	// written; zero while a request is being read or served.
	received  bool
	idleSince time.Time
	// resets tells that the connection ends within a response whose end is that of the connection.
	resets bool
	// chunksEnded tells that the last chunk of the response has been written before the server did.
	chunksEnded bool
}

// readAhead is what has been read behind the request that is being served.
type readAhead struct {
	// data are the bytes that the server has not read; the first parsed bytes are heads in queue.
	// stopped tells that the bytes behind them are not those of a head.
	data    []byte
	parsed  int
	stopped bool
	queue   *pipelining.Queue
	// requests are those in the queue that the server has not reached, by sequence number.
	requests map[int]*pipelinedRequest
	// reserved is how many bytes data may take of the box's budget, beyond minReadAhead. noRoom tells
	// that the budget had none left.
	reserved int
	noRoom   bool
	// counted is how many of the queue's requests are part of the server's count.
	counted int
}

type callerConnKey struct{}

// connContext adds a connection to its context. It is called by the HTTP server.
func (c *callerServer) connContext(ctx context.Context, conn net.Conn) context.Context {
	if one, ok := conn.(*callerConn); ok {
		ctx = context.WithValue(ctx, callerConnKey{}, one)
		one.ctx = ctx
	}
	return ctx
}

// callerConnOf returns the connection of a request; nil if its server has another kind.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// callerListener accepts connections as callerConn.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // the HTTP server checks its type
	}
	return &callerConn{Conn: conn, server: l.server}, nil
}

// newBufferBudget returns the limit on buffered responses of a box.
func newBufferBudget() *pipelining.Budget {
	limit := debug.SetMemoryLimit(-1)
	if limit == math.MaxInt64 {
		return pipelining.NewBudget(defaultBufferedResponses)
	}
	return pipelining.NewBudget(int64(bufferedResponsesShare * float64(limit)))
}

// Read implements net.Conn for the HTTP server, which never calls it concurrently.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.closed != nil {
		defer c.mu.Unlock()
		return 0, c.closed
	}
	if !c.opaque && c.body == 0 && c.state != readingHead {
		c.mu.Unlock()
		return c.readBehind(p)
	}
	if c.body > 0 && !c.opaque {
		p = p[:min(int64(len(p)), c.body)]
	}
	if c.ahead != nil && len(c.ahead.data) > 0 {
		defer c.mu.Unlock()
		return c.handOver(p), nil
	}
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return 0, net.ErrClosed
	}
	c.received = c.received || n > 0
	c.ended = err != nil && !isTimeout(err)
	return c.account(p[:n], true), err
}

// handOver hands bytes that have been read ahead to the server.
func (c *callerConn) handOver(p []byte) int {
	if c.ahead == nil {
		return 0
	}
	n := c.account(p[:copy(p, c.ahead.data)], false)
	c.ahead.data = c.ahead.data[n:]
	c.ahead.parsed = max(c.ahead.parsed-n, 0)
	return n
}

// account records bytes that the server gets and returns how many those are. It gets none behind the
// end of a head; they are kept if they are new.
func (c *callerConn) account(p []byte, isNew bool) int {
	if c.opaque {
		return len(p)
	}
	if c.body > 0 {
		c.body -= int64(len(p))
		return len(p)
	}
	end, complete := c.scan.next(p)
	if c.scan.unclear {
		c.opaque = true
		return len(p)
	}
	if !complete {
		return len(p)
	}
	c.scan = headScan{}
	c.state = headRead
	if isNew && end < len(p) {
		c.keep(p[end:])
	}
	return end
}

// keep adds bytes to those that have been read ahead.
func (c *callerConn) keep(p []byte) {
	if c.ahead == nil {
		c.ahead = &readAhead{data: make([]byte, 0, max(minReadAhead, len(p)))}
	}
	c.ahead.data = append(c.ahead.data, p...)
}

// readBehind reads what arrives behind the request that is being served. It returns a byte only if it
// must not read further or the request has ended meanwhile: the server then stops reading until it
// needs the next request.
func (c *callerConn) readBehind(p []byte) (int, error) {
	for {
		into := c.spaceAhead()
		if into == nil {
			into = p[:1] // for a connection without pipelining no buffer is needed
		}
		var n int
		var err error
		if len(into) > 0 {
			n, err = c.Conn.Read(into)
		}
		c.mu.Lock()
		if n > 0 && c.ahead == nil && c.state == readingHead {
			defer c.mu.Unlock()
			return c.account(p[:n], true), nil
		}
		if n > 0 {
			c.keep(into[:n])
		}
		if err != nil && !isTimeout(err) {
			c.closed = err
			c.leave()
		}
		if err != nil {
			c.mu.Unlock()
			return 0, err
		}
		c.advance()
		if c.state == readingHead || c.isFull() {
			n = c.handOver(p[:1])
			c.mu.Unlock()
			return n, nil
		}
		c.mu.Unlock()
	}
}

// spaceAhead returns the buffer to read the next bytes into: nil if nothing has been read ahead yet or
// no more than a byte should be, empty if no more must be.
func (c *callerConn) spaceAhead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.ahead
	if a == nil || len(a.data) == 0 || c.closed != nil {
		return nil
	}
	if len(a.data) == cap(a.data) && !c.isFull() {
		c.growAhead()
	}
	if c.isFull() {
		return a.data[len(a.data):len(a.data):len(a.data)]
	}
	end := min(cap(a.data), maxReadAhead)
	return a.data[len(a.data):end:end]
}

// growAhead makes room for more bytes, unless the box has none left.
func (c *callerConn) growAhead() {
	a := c.ahead
	size := min(max(2*len(a.data), minReadAhead), maxReadAhead)
	if extra := size - minReadAhead - a.reserved; extra > 0 {
		if !c.server.buffers.Reserve(int64(extra)) {
			a.noRoom = true
			return
		}
		a.reserved += extra
	}
	a.data = append(make([]byte, 0, size), a.data...)
}

// releaseAhead gives back what the buffer took of the box's budget.
func (c *callerConn) releaseAhead() {
	if c.ahead != nil {
		c.server.buffers.Release(int64(c.ahead.reserved))
		c.ahead.reserved = 0
	}
}

// isFull reports whether nothing further must be read ahead.
func (c *callerConn) isFull() bool {
	a := c.ahead
	return a != nil && len(a.data) > 0 && (len(a.data) >= maxReadAhead || a.noRoom || a.queue != nil && a.queue.IsFull())
}

// advance parses the heads that have been read ahead and starts the requests that may start.
func (c *callerConn) advance() {
	a := c.ahead
	if a == nil || c.state != serving || c.opaque || c.body > 0 || c.closed != nil {
		return
	}
	for !a.stopped && c.scan.length == 0 { // the server may have got the first byte of a head
		var scan headScan
		end, complete := scan.next(a.data[a.parsed:])
		if !complete || scan.unclear {
			break
		}
		if a.queue == nil {
			a.queue = pipelining.NewQueue(pipelining.Limits{Started: maxStartedRequests, Bytes: maxBufferedResponses}, c.server.buffers, c.servedHead())
			a.requests = make(map[int]*pipelinedRequest)
		}
		p := c.parse(a.data[a.parsed : a.parsed+end])
		p.sequence, p.position = a.queue.Arrive(p.head)
		a.requests[p.sequence] = p
		a.parsed += end
		a.stopped = p.head.Malformed || p.head.ContentLength != 0 || p.head.Chunked || p.head.Upgrades
	}
	if a.queue == nil {
		return
	}
	for {
		n, ok := a.queue.StartNext(c.server.gateway.stopping.Load())
		if !ok {
			break
		}
		c.server.gateway.metrics.pipelined.WithLabelValues(string(pipelining.StartedEarly)).Inc()
		a.requests[n].start()
	}
	c.updateCount()
}

// updateCount brings the server's count of requests that started early and are unwritten up to date.
func (c *callerConn) updateCount() {
	n := c.ahead.queue.Unwritten()
	c.server.early.Add(int64(n - c.ahead.counted))
	c.ahead.counted = n
}

// begin records that the handler of a request begins. It returns what is known of it if it was
// pipelined, and the request that was started early in its place, if there is one.
func (c *callerConn) begin(r *http.Request) (pipelining.Reached, *pipelinedRequest) {
	if c == nil {
		return pipelining.Reached{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opaque {
		return pipelining.Reached{}, nil
	}
	c.state = serving
	c.request, c.alone = r, r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != ""
	c.body = max(r.ContentLength, 0)
	c.opaque = r.ContentLength < 0 || len(r.TransferEncoding) > 0
	if c.ahead == nil {
		return pipelining.Reached{}, nil
	}
	return c.reach(r)
}

// reach takes the request that the server has reached from the queue.
func (c *callerConn) reach(r *http.Request) (reached pipelining.Reached, early *pipelinedRequest) {
	a := c.ahead
	a.noRoom = false
	if a.parsed == 0 {
		a.stopped = false
	}
	if a.queue != nil {
		n, got, ok := a.queue.Reach()
		if !ok {
			a.queue, a.requests = nil, nil
		} else {
			reached = got
			early = a.requests[n]
			delete(a.requests, n)
		}
	}
	if early != nil && reached.Reason != pipelining.StartedEarly {
		c.server.gateway.metrics.pipelined.WithLabelValues(string(reached.Reason)).Inc()
		early = nil
	}
	if early != nil && !early.isSame(r) {
		early.cancel()
		early = nil
	}
	c.advance()
	if a.queue != nil {
		reached.StartedBehind = a.queue.StartedBehind() > 0
	}
	return reached, early
}

// end records that the handler has returned.
func (c *callerConn) end() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request = readingHead, nil
}

// stateChanged follows the state of the connection in the HTTP server.
func (c *callerConn) stateChanged(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.active()
	case http.StateIdle:
		c.written()
	}
}

// active records that the server has begun to read a request.
func (c *callerConn) active() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
}

// written records that the response has been written and the connection stays open.
func (c *callerConn) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = c.server.gateway.clock.Now()
	if c.state == headRead { // the server has answered OPTIONS * by itself
		c.opaque, c.state = true, readingHead
		c.leave()
	}
	if c.ahead == nil {
		return
	}
	if c.ahead.queue != nil {
		c.ahead.queue.Written()
		c.updateCount()
	}
	if len(c.ahead.data) == 0 {
		c.releaseAhead()
		c.ahead = nil
	}
}

// leave cancels the requests that started early and that the server has not reached.
func (c *callerConn) leave() {
	if c.ahead == nil || c.ahead.queue == nil {
		return
	}
	c.ahead.queue.Leave()
	for _, p := range c.ahead.requests {
		p.cancel()
	}
	c.updateCount()
	c.ahead.queue, c.ahead.requests = nil, nil
}

// Close implements net.Conn. It cancels the requests that started early and does not wait for them,
// nor for the caller to receive the last response, which the server's lingering does. While the server
// waits for bytes, Close ends that wait; the server then calls it again.
func (c *callerConn) Close() error {
	c.mu.Lock()
	mode := c.chooseCloseMode()
	c.closing = true
	if c.closed == nil {
		c.closed = net.ErrClosed
	}
	c.leave()
	c.releaseAhead()
	reading, done := c.reading, c.closedByBox
	c.closedByBox = !reading
	c.mu.Unlock()
	switch {
	case done:
		return nil
	case reading:
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	case mode == closeByReset:
		return resetConn(c.Conn)
	case mode == closeAtOnce:
		return c.Conn.Close()
	}
	return c.server.lingering.start(c.Conn, mode)
}

// chooseCloseMode returns how to close the connection. The lock is held.
func (c *callerConn) chooseCloseMode() closeMode {
	switch {
	case c.resets:
		return closeByReset
	case c.ended || c.closed != nil && !c.closing || !c.received:
		return closeAtOnce
	case c.idleSince.IsZero():
		return closeAfterResponse
	case c.server.gateway.clock.Since(c.idleSince) > callerCloseTimeout:
		return closeAtOnce
	}
	return closeIdle
}

// resetOnClose makes Close reset the connection.
func (c *callerConn) resetOnClose() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = true
}

// resetConn closes a connection so that its peer does not take the end for a sound one.
func resetConn(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has ended
	}
	return conn.Close()
}

// errWriteAfterChunks says that the HTTP server has written more than the last chunk of a response that
// had ended.
var errWriteAfterChunks = errors.New("data behind the last chunk of a response")

// endChunks writes the last chunk of a response in chunks, all of which has been written. The HTTP
// server writes it only when the handler returns; that one is dropped.
func (c *callerConn) endChunks() error {
	if c == nil {
		return nil
	}
	c.chunksEnded = true
	_, err := io.WriteString(c.Conn, lastChunk)
	return errors.Wrap(err, "ending the response")
}

// Write implements net.Conn for the HTTP server, which never calls it concurrently.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.chunksEnded {
		return c.Conn.Write(p)
	}
	c.chunksEnded = false
	if string(p) != lastChunk {
		return 0, errWriteAfterChunks
	}
	return len(p), nil
}

// CloseWrite implements the interface by which the HTTP server closes a connection on which it has not
// read all of a request.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// buffer reserves bytes for the response of a request that started early.
func (c *callerConn) buffer(sequence int, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead != nil && c.ahead.queue != nil && c.ahead.queue.Buffer(sequence, int64(n))
}

// servedHead returns what matters of the request that is being served.
func (c *callerConn) servedHead() pipelining.Head {
	h := c.server.gateway.pipeliningHead(c.request)
	h.Expects = c.alone
	return h
}

// pipeliningHead returns what matters of a request. It reads no headers, because the handler may
// change those meanwhile.
func (d *Daemon) pipeliningHead(r *http.Request) pipelining.Head {
	h := pipelining.Head{
		Method: r.Method, Major: r.ProtoMajor, Minor: r.ProtoMinor, ContentLength: r.ContentLength, Chunked: len(r.TransferEncoding) > 0,
		Closes: r.Close,
	}
	routing := d.routing.Load()
	if routing == nil {
		h.Unrepeatable = true
		return h
	}
	route, ok := routing.table.Match(r.Host, r.URL.EscapedPath())
	h.Unrepeatable = ok && route.Repeat == catalog.Unrepeatable
	return h
}

// parse parses a complete head.
func (c *callerConn) parse(head []byte) *pipelinedRequest {
	p := &pipelinedRequest{conn: c, cancel: func() {}, mu: lockorder.Mutex{Rank: lockorder.BufferedResponse}}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || !isAcceptable(r, head) {
		p.head = pipelining.Head{Malformed: true}
		return p
	}
	r.RemoteAddr = c.RemoteAddr().String()
	p.request = r
	p.head = c.server.gateway.pipeliningHead(r)
	p.head.Expects = r.Header.Get("Expect") != ""
	p.head.Upgrades = r.Header.Get("Upgrade") != ""
	return p
}

// isAcceptable reports whether the HTTP server accepts a request that http.ReadRequest accepts. A
// head with a line end that is not CRLF counts as unacceptable, so that such a request only runs
// if the server itself takes it.
func isAcceptable(r *http.Request, head []byte) bool {
	if r.Host == "" || !httpguts.ValidHostHeader(r.Host) || bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) || strings.ContainsAny(name, " \t") {
			return false
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// headScan finds the end of a request head: an empty line, ended by LF or CRLF as in net/textproto.
type headScan struct {
	length int
	// atLineStart is set after LF, afterReturn after a CR that follows LF.
	atLineStart, afterReturn bool
	// unclear tells that the head begins with an empty line, which the server skips after some
	// requests, or is too short to be one.
	unclear bool
}

// next scans further bytes. It returns how many of them belong to the head, and whether it is
// complete.
func (s *headScan) next(p []byte) (n int, complete bool) {
	if s.length == 0 && len(p) > 0 && (p[0] == '\r' || p[0] == '\n') {
		s.unclear = true
		return len(p), false
	}
	for n < len(p) {
		if !s.atLineStart && !s.afterReturn {
			i := bytes.IndexByte(p[n:], '\n')
			if i < 0 {
				break
			}
			n += i + 1
			s.atLineStart = true
			continue
		}
		b := p[n]
		n++
		if b == '\n' {
			s.length += n
			s.unclear = s.length < minHeadBytes
			return n, true
		}
		s.atLineStart, s.afterReturn = false, b == '\r' && s.atLineStart
	}
	s.length += len(p)
	return len(p), false
}
