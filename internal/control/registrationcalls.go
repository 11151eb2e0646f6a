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

// commitUpdates has the leader commit updates and returns the outcome of each.
func (d *Daemon) commitUpdates(ctx context.Context, batch []*pendingUpdate) []error {
	ctx, done := d.leadership.untilChange(ctx)
	defer done()
	v, err := d.replica.view(ctx)
	if err != nil {
		return repeatError(len(batch), err)
	}
	if v.status.Role == consensus.Leader {
		return d.replica.submitUpdates(ctx, d.proposals(batch))
	}
	address := d.leaderAddress(v)
	if address == "" {
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	return d.forwardUpdates(ctx, address, batch)
}

// repeatError returns a slice that holds an error count times.
func repeatError(count int, err error) []error {
	out := make([]error, count)
	for i := range out {
		out[i] = err
	}
	return out
}

// forwardUpdates has the leader commit updates. Updates that another replica forwarded to this one
// are not forwarded again.
func (d *Daemon) forwardUpdates(ctx context.Context, leader string, batch []*pendingUpdate) []error {
	out := repeatError(len(batch), &consensus.NotLeaderError{})
	request := &wire.WordsRequest{}
	var positions []int
	now := d.clock.Now()
	for i, update := range batch {
		if update.forwarded {
			continue
		}
		positions = append(positions, i)
		request.Words = append(request.Words, &wire.WaitingWord{Word: update.command, LeftMilli: update.deadline.Sub(now).Milliseconds()})
	}
	if len(positions) == 0 {
		return out
	}
	answer, err := d.node.Call(ctx, leader, &wire.CallRequest{Words: request})
	var remote *link.RemoteError
	if errors.As(err, &remote) {
		d.forwardOneByOne(ctx, leader, batch, out)
		return out
	}
	for n, i := range positions {
		out[i] = updateError(answer.GetWords(), n, err)
	}
	return out
}

// forwardOneByOne forwards updates to a leader of an earlier version, which does not support
// batches. A leader that supports them reports an outcome for each update instead of one error for
// the call.
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

// UpdateRefusedError reports why the leader did not commit an update.
type UpdateRefusedError struct{ Reason string }

// Error implements error.
func (e *UpdateRefusedError) Error() string { return "the leader did not settle it: " + e.Reason }

func updateError(a *wire.WordsAnswer, index int, err error) error {
	switch {
	case err != nil:
		return err
	case index < len(a.GetSettled()) && a.Settled[index]:
		return nil
	}
	return &UpdateRefusedError{a.GetFailure()}
}

// serveUpdates commits updates on behalf of another replica.
func (d *Daemon) serveUpdates(ctx context.Context, request *wire.WordsRequest) *wire.CallAnswer {
	out := &wire.WordsAnswer{Settled: make([]bool, len(request.Words))}
	replies := make([]<-chan error, len(request.Words))
	for i, waiting := range request.Words {
		if waiting.Word.GetRegistration() == nil {
			out.Failure = "a update without content"
			continue
		}
		remaining := time.Duration(waiting.LeftMilli) * time.Millisecond
		callerCtx, cancel := context.WithTimeout(ctx, remaining)
		reply, err := d.registrations.enqueue(callerCtx, waiting.Word, true)
		cancel() // enqueue only reads the deadline of the context
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

// updateProposal is a registration update that a leader proposes, after the commands that must
// precede it in the log.
type updateProposal struct {
	prelude []*wire.RegistrationCommand
	update  *wire.RegistrationCommand
}

// proposals returns the proposals for a batch by the state that was applied last. If the registration
// of a target is still in flight, the departure that follows it is not final, which matters only to a
// target that sends several heartbeats within the time of a commit.
func (d *Daemon) proposals(batch []*pendingUpdate) []updateProposal {
	out := make([]updateProposal, len(batch))
	state := d.latest().Catalog()
	for i, update := range batch {
		out[i] = updateProposal{d.prelude(state, update.command), update.command}
	}
	return out
}

// submitUpdates proposes updates together and waits for their outcomes until the context ends.
func (r *replica) submitUpdates(ctx context.Context, updates []updateProposal) []error {
	out := repeatError(len(updates), &UnavailableError{Cause: errNotCommitted})
	var commands []*wire.Command
	updateOf := make(map[int]int, len(updates)) // by the index of its command
	for i, u := range updates {
		for _, c := range u.prelude {
			commands = append(commands, &wire.Command{Registration: c})
		}
		updateOf[len(commands)] = i
		commands = append(commands, &wire.Command{Registration: u.update})
	}
	reply := make(chan updateOutcome, len(commands))
	if err := r.inbox.put(ctx, updateBatch{commands, reply}); err != nil {
		return repeatError(len(updates), err)
	}
	for range commands {
		select {
		case o := <-reply:
			if i, ok := updateOf[o.index]; ok { // a prelude is committed if its update is
				out[i] = o.err
			}
		case <-ctx.Done():
			return out
		}
	}
	return out
}
