package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// permitStreams keeps a stream to each replica that issues permits: a new stream for each call
// would cost more than the call.
type permitStreams struct {
	open func(ctx context.Context, address string) (*link.Messages, error)
	mu   lockorder.Mutex
	// streams holds the open streams by address.
	streams map[string]*permitStream
}

// permitStream is one stream. Answers arrive in the order of the requests.
type permitStream struct {
	messages *link.Messages
	// writeMu keeps the requests on the stream in the order of pending. It is separate from mu, so
	// that answers can be read while a request is written.
	writeMu lockorder.Mutex
	mu      lockorder.Mutex
	// pending are the channels for outstanding answers, oldest first.
	pending []chan *wire.PermitAnswer
	closed  chan struct{}
}

// errPermitStreamClosed says that a stream closed before the answer arrived.
var errPermitStreamClosed = errors.New("permit stream closed")

func newPermitStreams(open func(ctx context.Context, address string) (*link.Messages, error)) *permitStreams {
	return &permitStreams{open: open, streams: make(map[string]*permitStream)}
}

// call sends a request to a replica and waits for its answer. If none arrives in time, the stream
// is closed: a late answer would be taken for that to the next request.
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

// get returns the stream to a replica and opens one if there is none.
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
	if existing := p.streams[address]; existing != nil {
		_ = m.Close() // another request opened one meanwhile
		return existing, nil
	}
	l = &permitStream{messages: m, closed: make(chan struct{}), writeMu: lockorder.Mutex{Rank: lockorder.PermitStream}}
	p.streams[address] = l
	go l.read() // ends with the stream, which remove or close closes
	return l, nil
}

// remove closes a stream and forgets it.
func (p *permitStreams) remove(address string, l *permitStream) {
	p.mu.Lock()
	if p.streams[address] == l {
		delete(p.streams, address)
	}
	p.mu.Unlock()
	_ = l.messages.Close() // it is broken or no longer needed
}

// close closes all streams and waits for their readers.
func (p *permitStreams) close() {
	p.mu.Lock()
	streams := p.streams
	p.streams = make(map[string]*permitStream)
	p.mu.Unlock()
	for _, l := range streams {
		_ = l.messages.Close() // no request waits on it any more
		<-l.closed
	}
}

// send writes a request and returns the channel on which its answer arrives.
func (l *permitStream) send(r *wire.PermitRequest) (<-chan *wire.PermitAnswer, error) {
	answer := make(chan *wire.PermitAnswer, 1)
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.mu.Lock()
	l.pending = append(l.pending, answer)
	l.mu.Unlock()
	return answer, l.messages.Write(r)
}

// read delivers answers to their requests until the stream ends.
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
			_ = l.messages.Close() // an answer without a request
			return
		}
		next := l.pending[0]
		l.pending = l.pending[1:]
		l.mu.Unlock()
		next <- a
	}
}
