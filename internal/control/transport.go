package control

import (
	"context"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	outboxSize  = 256
	redialDelay = 100 * time.Millisecond
)

// transport sends consensus messages. Each address has an outbox and a worker. Messages that do
// not fit into an outbox are dropped; the protocol sends them again.
type transport struct {
	node     *link.Node
	running  sync.WaitGroup
	mu       lockorder.Mutex
	outboxes map[string]chan *wire.ConsensusMessage
	ctx      context.Context
	cancel   context.CancelFunc
}

func newTransport(node *link.Node) *transport {
	t := &transport{node: node, outboxes: make(map[string]chan *wire.ConsensusMessage)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

func (t *transport) send(address string, m *wire.ConsensusMessage) {
	if address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.outboxes[address]
	if queue == nil {
		queue = make(chan *wire.ConsensusMessage, outboxSize)
		t.outboxes[address] = queue
		t.running.Add(1)
		go t.runOutbox(address, queue)
	}
	select {
	case queue <- m:
	default:
	}
}

func (t *transport) runOutbox(address string, outbox <-chan *wire.ConsensusMessage) {
	defer t.running.Done()
	var stream *link.Messages
	defer func() {
		if stream != nil {
			_ = stream.Close()
		}
	}()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-outbox:
			stream = t.deliver(stream, address, m)
		}
	}
}

// deliver writes a message and opens a stream first if there is none. It returns the stream to use
// next, or nil after a failure.
func (t *transport) deliver(stream *link.Messages, address string, m *wire.ConsensusMessage) *link.Messages {
	if stream == nil {
		opened, err := t.node.Consensus(t.ctx, address)
		if err != nil {
			t.waitRedial()
			return nil
		}
		stream = opened
	}
	if err := stream.Write(m); err != nil {
		_ = stream.Close()
		return nil
	}
	return stream
}

func (t *transport) waitRedial() {
	select {
	case <-t.ctx.Done():
	case <-time.After(redialDelay):
	}
}

// close stops the workers and waits for them.
func (t *transport) close() {
	t.cancel()
	t.running.Wait()
}
