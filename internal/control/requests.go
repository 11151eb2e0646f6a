package control

import (
	"context"
	"errors"
	"slices"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// call sends a message to the loop and waits for the reply.
func call[T any](ctx context.Context, r *replica, request func(chan<- T) message) (T, error) {
	var zero T
	reply := make(chan T, 1)
	if err := r.inbox.put(ctx, request(reply)); err != nil {
		return zero, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (r *replica) view(ctx context.Context) (view, error) {
	return call(ctx, r, func(c chan<- view) message { return viewRequest{c} })
}

func (r *replica) submit(ctx context.Context, c *wire.Command) (outcome, error) {
	o, err := call(ctx, r, func(reply chan<- outcome) message { return proposal{c, reply} })
	return o, errors.Join(err, o.err)
}

func (r *replica) read(ctx context.Context) (steering.State, error) {
	o, err := call(ctx, r, func(c chan<- readOutcome) message { return readRequest{c} })
	return o.state, errors.Join(err, o.err)
}

func (r *replica) changeMembership(ctx context.Context, m *wire.Membership) error {
	o, err := call(ctx, r, func(reply chan<- outcome) message { return membershipChange{m, reply} })
	return errors.Join(err, o.err)
}

// deliver queues a consensus message for the loop. It is dropped if the queue is full, as on a
// lossy network.
func (r *replica) deliver(m *wire.ConsensusMessage) {
	_ = r.inbox.tryPut(receivedMessage{m, r.inbox.clock.Now()})
}

func addressOf(m *wire.Membership, id string) string {
	for _, v := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		if v.Id == id {
			return v.Address
		}
	}
	return ""
}
