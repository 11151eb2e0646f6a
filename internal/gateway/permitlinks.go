package gateway

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// permitLinks keep a stream to each replica that is asked for permits: a new stream for each
// ask would cost more than the ask.
type permitLinks struct {
	open func(ctx context.Context, address string) (*link.Messages, error)
	mu   sync.Mutex
	// links are those that are open, by address.
	links map[string]*permitLink
}

// permitLink is one stream. Its answers come in the order of its requests.
type permitLink struct {
	messages *link.Messages
	// sending keeps requests in the order of waiting. It is held while one is
	// written, which must not keep answers from being read.
	sending sync.Mutex
	mu      sync.Mutex
	// waiting are for the answers that have not come, the oldest first.
	waiting []chan *wire.PermitAnswer
	ended   chan struct{}
}

// errPermitLinkEnded says that a stream ended before the answer came.
var errPermitLinkEnded = errors.New("the stream for permits has ended")

func newPermitLinks(open func(ctx context.Context, address string) (*link.Messages, error)) *permitLinks {
	return &permitLinks{open: open, links: make(map[string]*permitLink)}
}

// call asks a replica and waits for its answer. If none comes in time, the stream is
// given up: what comes later belongs to no request.
func (p *permitLinks) call(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error) {
	l, err := p.link(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.messages.Close() })
	defer stop()
	answer, err := l.send(r)
	if err != nil {
		p.drop(address, l)
		return nil, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-l.ended:
		p.drop(address, l)
		return nil, errPermitLinkEnded
	case <-ctx.Done():
		p.drop(address, l)
		return nil, ctx.Err()
	}
}

func (p *permitLinks) link(ctx context.Context, address string) (*permitLink, error) {
	p.mu.Lock()
	l := p.links[address]
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
	if other := p.links[address]; other != nil {
		_ = m.Close() // another request opened one meanwhile
		return other, nil
	}
	l = &permitLink{messages: m, ended: make(chan struct{})}
	p.links[address] = l
	go l.read() // ends with the stream, which is closed by drop or close
	return l, nil
}

// drop gives a stream up.
func (p *permitLinks) drop(address string, l *permitLink) {
	p.mu.Lock()
	if p.links[address] == l {
		delete(p.links, address)
	}
	p.mu.Unlock()
	_ = l.messages.Close() // it has ended, or is to
}

// close ends all streams and waits for their readers.
func (p *permitLinks) close() {
	p.mu.Lock()
	links := p.links
	p.links = make(map[string]*permitLink)
	p.mu.Unlock()
	for _, l := range links {
		_ = l.messages.Close() // nothing on it is waited for any more
		<-l.ended
	}
}

// send writes a request and returns where its answer comes.
func (l *permitLink) send(r *wire.PermitRequest) (<-chan *wire.PermitAnswer, error) {
	answer := make(chan *wire.PermitAnswer, 1)
	l.sending.Lock()
	defer l.sending.Unlock()
	l.mu.Lock()
	l.waiting = append(l.waiting, answer)
	l.mu.Unlock()
	return answer, l.messages.Write(r)
}

// read hands answers to those who wait for them until the stream ends.
func (l *permitLink) read() {
	defer close(l.ended)
	for {
		a := &wire.PermitAnswer{}
		if err := l.messages.Read(a); err != nil {
			return
		}
		l.mu.Lock()
		if len(l.waiting) == 0 {
			l.mu.Unlock()
			_ = l.messages.Close() // an answer that nobody asked for
			return
		}
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.mu.Unlock()
		next <- a
	}
}
