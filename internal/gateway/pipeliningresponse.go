package gateway

import (
	"context"
	"maps"
	"net/http"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/pipelining"
)

// pipelinedRequest is a request that was read behind another one. If it is started early, it is the
// http.ResponseWriter of its handler: the response is buffered until the server reaches the request.
type pipelinedRequest struct {
	conn     *callerConn
	request  *http.Request
	head     pipelining.Head
	sequence int
	position int
	cancel   context.CancelFunc
	// reached is closed when the server has reached the request, ended when its handler has
	// returned. panicked is the value with which it did, nil if it did not panic.
	reached  chan struct{}
	ended    chan struct{}
	panicked any

	mu     lockorder.Mutex
	header http.Header
	status int
	data   []byte
	writer http.ResponseWriter
}

// start starts the request.
func (p *pipelinedRequest) start() {
	ctx, cancel := context.WithCancel(p.conn.ctx)
	p.cancel = cancel
	p.request = p.request.WithContext(ctx)
	p.reached, p.ended, p.header = make(chan struct{}), make(chan struct{}), make(http.Header)
	go p.run()
}

// run serves the request. A panic is passed on to the goroutine that writes the response.
func (p *pipelinedRequest) run() {
	defer close(p.ended)
	defer p.cancel()
	defer func() { p.panicked = recover() }()
	p.conn.server.gateway.serveRequest(p, p.request, p.position)
}

// isSame reports whether the server has read the same request.
func (p *pipelinedRequest) isSame(r *http.Request) bool {
	return p.request.Method == r.Method && p.request.RequestURI == r.RequestURI && p.request.Host == r.Host && r.ContentLength == 0 && len(r.TransferEncoding) == 0
}

// Header implements http.ResponseWriter.
func (p *pipelinedRequest) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter.
func (p *pipelinedRequest) WriteHeader(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status != 0 {
		return
	}
	p.status = status
	if p.writer != nil {
		p.writeHeader()
	}
}

func (p *pipelinedRequest) writeHeader() {
	maps.Copy(p.writer.Header(), p.header)
	p.writer.WriteHeader(p.status)
}

// Write implements http.ResponseWriter. It waits for the server to reach the request if the limits on
// buffered responses don't leave room.
func (p *pipelinedRequest) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	if p.tryBuffer(data) {
		return len(data), nil
	}
	select {
	case <-p.reached:
	case <-p.request.Context().Done():
		return 0, context.Cause(p.request.Context())
	}
	return p.writer.Write(data)
}

func (p *pipelinedRequest) tryBuffer(data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writer != nil || !p.conn.buffer(p.sequence, len(data)) {
		return false
	}
	p.data = append(p.data, data...)
	return true
}

// deliver writes the response to the server's request, and waits for the rest if the handler has not
// returned.
func (p *pipelinedRequest) deliver(w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), p.cancel)
	defer stop()
	p.attach(w)
	<-p.ended
	if p.panicked != nil {
		panic(p.panicked)
	}
}

// attach writes what has been buffered and makes the handler write to w from then on.
func (p *pipelinedRequest) attach(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(p.reached)
	p.writer = w
	if p.status == 0 {
		return
	}
	p.writeHeader()
	_, _ = w.Write(p.data) // on an error the server cancels the context of the request
	p.data = nil
}
