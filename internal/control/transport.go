package control

import (
	"context"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	outboxSize  = 256
	redialDelay = 100 * time.Millisecond
)

// transport sends consensus messages. Each address has an outbox and a worker;
// what does not fit into an outbox is dropped and sent again by the protocol.
type transport struct {
	node     *link.Node
	running  sync.WaitGroup
	mu       sync.Mutex
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
	box := t.outboxes[address]
	if box == nil {
		box = make(chan *wire.ConsensusMessage, outboxSize)
		t.outboxes[address] = box
		t.running.Add(1)
		go t.runOutbox(address, box)
	}
	select {
	case box <- m:
	default:
	}
}

func (t *transport) runOutbox(address string, box <-chan *wire.ConsensusMessage) {
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
		case m := <-box:
			stream = t.deliver(stream, address, m)
		}
	}
}

// deliver writes a message, opening a stream first if there is none. It
// returns the stream to use next, or nil after a failure.
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

// close ends the workers and waits for them.
func (t *transport) close() {
	t.cancel()
	t.running.Wait()
}
