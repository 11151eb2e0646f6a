package gateway

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// permitStreams keep a stream to each replica that is asked for permits: a new stream for each
// ask would cost more than the ask.
type permitStreams struct {
	open func(ctx context.Context, address string) (*link.Messages, error)
	mu   sync.Mutex
	// streams are those that are open, by address.
	streams map[string]*permitStream
}

// permitStream is one stream. Its answers come in the order of its requests.
type permitStream struct {
	messages *link.Messages
	// writeMu keeps requests in the order of waiting. It is held while one is
	// written, which must not keep answers from being read.
	writeMu sync.Mutex
	mu      sync.Mutex
	// pending are for the answers that have not come, the oldest first.
	pending []chan *wire.PermitAnswer
	closed  chan struct{}
}

// errPermitStreamClosed says that a stream ended before the answer came.
var errPermitStreamClosed = errors.New("the stream for permits has ended")

func newPermitStreams(open func(ctx context.Context, address string) (*link.Messages, error)) *permitStreams {
	return &permitStreams{open: open, streams: make(map[string]*permitStream)}
}

// call asks a replica and waits for its answer. If none comes in time, the stream is
// given up: what comes later belongs to no request.
func (p *permitStreams) call(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error) {
	l, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.messages.Close() })
	defer stop()
	answer, err := l.send(r)
	if err != nil {
		p.remove(address, l)
		return nil, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-l.closed:
		p.remove(address, l)
		return nil, errPermitStreamClosed
	case <-ctx.Done():
		p.remove(address, l)
		return nil, ctx.Err()
	}
}

func (p *permitStreams) get(ctx context.Context, address string) (*permitStream, error) {
	p.mu.Lock()
	l := p.streams[address]
	p.mu.Unlock()
	if l != nil {
		return l, nil
	}
	m, err := p.open(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.streams[address]; other != nil {
		_ = m.Close() // another request opened one meanwhile
		return other, nil
	}
	l = &permitStream{messages: m, closed: make(chan struct{})}
	p.streams[address] = l
	go l.read() // ends with the stream, which is closed by drop or close
	return l, nil
}

// remove gives a stream up.
func (p *permitStreams) remove(address string, l *permitStream) {
	p.mu.Lock()
	if p.streams[address] == l {
		delete(p.streams, address)
	}
	p.mu.Unlock()
	_ = l.messages.Close() // it has ended, or is to
}

// close ends all streams and waits for their readers.
func (p *permitStreams) close() {
	p.mu.Lock()
	links := p.streams
	p.streams = make(map[string]*permitStream)
	p.mu.Unlock()
	for _, l := range links {
		_ = l.messages.Close() // nothing on it is waited for any more
		<-l.closed
	}
}

// send writes a request and returns where its answer comes.
func (l *permitStream) send(r *wire.PermitRequest) (<-chan *wire.PermitAnswer, error) {
	answer := make(chan *wire.PermitAnswer, 1)
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	l.pending = append(l.pending, answer)
	l.mu.Unlock()
	return answer, l.messages.Write(r)
}

// read hands answers to those who wait for them until the stream ends.
func (l *permitStream) read() {
	defer close(l.closed)
	for {
		a := &wire.PermitAnswer{}
		if err := l.messages.Read(a); err != nil {
			return
		}
		l.mu.Lock()
		if len(l.pending) == 0 {
			l.mu.Unlock()
			_ = l.messages.Close() // an answer that nobody asked for
			return
		}
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.mu.Unlock()
		next <- a
	}
}
