package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// commitUpdates has the leader settle updates, and returns the outcome of each.
func (d *Daemon) commitUpdates(ctx context.Context, batch []*pendingUpdate) []error {
	ctx, done := d.leadership.untilChange(ctx)
	defer done()
	v, err := d.replica.view(ctx)
	if err != nil {
		return repeatError(len(batch), err)
	}
	if v.status.Role == consensus.Leader {
		return d.replica.submitUpdates(ctx, batch)
	}
	address := addressOf(v.membership, v.status.Leader)
	if address == "" {
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	return d.forwardUpdates(ctx, address, batch)
}

// repeatError returns an error for each of some updates.
func repeatError(count int, err error) []error {
	out := make([]error, count)
	for i := range out {
		out[i] = err
	}
	return out
}

// forwardUpdates has the leader settle updates for this replica. Those that came from another
// one are not handed on again.
func (d *Daemon) forwardUpdates(ctx context.Context, leader string, batch []*pendingUpdate) []error {
	out := repeatError(len(batch), &consensus.NotLeaderError{})
	request := &wire.WordsRequest{}
	var places []int
	now := d.clock.Now()
	for i, update := range batch {
		if update.forwarded {
			continue
		}
		places = append(places, i)
		request.Words = append(request.Words, &wire.WaitingWord{Word: update.command, LeftMilli: update.deadline.Sub(now).Milliseconds()})
	}
	if len(places) == 0 {
		return out
	}
	answer, err := d.node.Call(ctx, leader, &wire.CallRequest{Words: request})
	var earlier *link.RemoteError
	if errors.As(err, &earlier) {
		d.forwardOneByOne(ctx, leader, batch, out)
		return out
	}
	for n, i := range places {
		out[i] = updateError(answer.GetWords(), n, err)
	}
	return out
}

// forwardOneByOne hands updates on to a leader of an earlier version, which takes no updates
// together: one that knows them answers each, and no error for all.
func (d *Daemon) forwardOneByOne(ctx context.Context, leader string, batch []*pendingUpdate, out []error) {
	var running sync.WaitGroup
	for i, update := range batch {
		if update.forwarded {
			continue
		}
		running.Go(func() {
			_, out[i] = d.node.Call(ctx, leader, &wire.CallRequest{Submit: &wire.Command{Registration: update.command}})
		})
	}
	running.Wait()
}

// UpdateRefusedError says why the leader did not settle an update.
type UpdateRefusedError struct{ Reason string }

// Error implements error.
func (e *UpdateRefusedError) Error() string { return "the leader did not settle it: " + e.Reason }

func updateError(a *wire.WordsAnswer, place int, err error) error {
	switch {
	case err != nil:
		return err
	case place < len(a.GetSettled()) && a.Settled[place]:
		return nil
	}
	return &UpdateRefusedError{a.GetFailure()}
}

// serveUpdates settles updates for another replica.
func (d *Daemon) serveUpdates(ctx context.Context, request *wire.WordsRequest) *wire.CallAnswer {
	out := &wire.WordsAnswer{Settled: make([]bool, len(request.Words))}
	replies := make([]<-chan error, len(request.Words))
	for i, asked := range request.Words {
		if asked.Word.GetRegistration() == nil {
			out.Failure = "a update without content"
			continue
		}
		left := time.Duration(asked.LeftMilli) * time.Millisecond
		asker, cancel := context.WithTimeout(ctx, left)
		reply, err := d.registrations.enqueue(asker, asked.Word, true)
		cancel() // its deadline is what counts
		if err != nil {
			out.Failure = err.Error()
			continue
		}
		replies[i] = reply
	}
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		select {
		case err := <-reply:
			out.Settled[i] = err == nil
			if err != nil {
				out.Failure = err.Error()
			}
		case <-ctx.Done():
			out.Failure = ctx.Err().Error()
		}
	}
	return &wire.CallAnswer{Words: out}
}

// submitUpdates has updates proposed together and waits for their outcomes until the
// context ends.
func (r *replica) submitUpdates(ctx context.Context, batch []*pendingUpdate) []error {
	out := repeatError(len(batch), &UnavailableError{Cause: errNotCommitted})
	commands := make([]*wire.Command, len(batch))
	for i, update := range batch {
		commands[i] = &wire.Command{Registration: update.command}
	}
	reply := make(chan updateOutcome, len(batch))
	if err := r.inbox.put(ctx, updateBatch{commands, reply}); err != nil {
		return repeatError(len(batch), err)
	}
	for range batch {
		select {
		case o := <-reply:
			out[o.index] = o.err
		case <-ctx.Done():
			return out
		}
	}
	return out
}
