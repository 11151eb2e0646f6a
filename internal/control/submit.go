package control

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// leaderCallTimeout bounds what is done for an asker that does not tell how long
	// it waits: a round trip between regions to the leader, one to a quorum and a sync
	// take about 150 ms.
	leaderCallTimeout = 600 * time.Millisecond
	// leaderRetryDelay is the wait before the leader is asked again or sought anew.
	leaderRetryDelay = 50 * time.Millisecond
)

// RefusedError says that the replicated state refused a command.
type RefusedError struct {
	Reason string
	// Conflict tells that the command was made against another version.
	Conflict bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// UnavailableError says that no leader settled a command or read in time.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no leader answered in time: %v", e.Cause)
}

// Unwrap returns what went wrong last.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Submit has a command settled by the leader, wherever that is. It returns nil
// once a majority has stored the command, a RefusedError if the state refused
// it, or an UnavailableError if its fate is not known when the context ends.
// The commands of the catalog may be repeated without harm, so a try whose
// fate is not known is repeated once the leader has changed. Before, it may still be
// settled, and doing it twice would add to what it waits for.
func (d *Daemon) Submit(ctx context.Context, c *wire.Command) error {
	return d.withLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			return submitError(d.replica.submit(ctx, c))
		}
		answer, err := d.node.Call(ctx, leader, &wire.CallRequest{Submit: c, LeftMilli: d.remainingMilli(ctx)})
		if err != nil {
			return err
		}
		if s := answer.Submit; s.GetRefusal() != "" {
			return &RefusedError{Reason: s.Refusal, Conflict: s.Conflict}
		}
		return nil
	})
}

// Document reads the document of routes in force through a quorum.
func (d *Daemon) Document(ctx context.Context) (*wire.RoutesDocument, error) {
	var document *wire.RoutesDocument
	err := d.withLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			state, err := d.replica.read(ctx)
			document = state.Catalog().Document()
			return err
		}
		answer, err := d.node.Call(ctx, leader, &wire.CallRequest{Read: &wire.ReadRequest{TakesPacked: true}, LeftMilli: d.remainingMilli(ctx)})
		if err != nil {
			return err
		}
		document, err = documentOf(answer.Read)
		return err
	})
	return document, err
}

// documentOf returns the document that an answer holds, or nil.
func documentOf(a *wire.ReadAnswer) (*wire.RoutesDocument, error) {
	if a.GetPacked() == nil {
		return a.GetDocument(), nil
	}
	return catalog.Unpack(nil, a.Packed)
}

// withLeader runs try until it succeeds, is refused or the context ends. The
// leader's address is empty where this replica leads.
func (d *Daemon) withLeader(ctx context.Context, try func(ctx context.Context, leader string) error) error {
	for {
		err := d.tryLeader(ctx, try)
		var refused *RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Cause: err}
		case <-time.After(leaderRetryDelay):
		}
	}
}

// tryLeader runs try until it ends, the context does or the leader changes.
func (d *Daemon) tryLeader(ctx context.Context, try func(ctx context.Context, leader string) error) error {
	ctx, done := d.leadership.untilChange(ctx)
	defer done()
	v, err := d.replica.view(ctx)
	if err != nil {
		return err
	}
	if v.status.Role == consensus.Leader {
		return try(ctx, "")
	}
	address := addressOf(v.membership, v.status.Leader)
	if address == "" {
		return &consensus.NotLeaderError{}
	}
	return try(ctx, address)
}

// remainingMilli is how much longer a context lasts, for the process that is asked; zero
// if it has no end.
func (d *Daemon) remainingMilli(ctx context.Context) int64 {
	deadline, ok := d.clock.Deadline(ctx)
	if !ok {
		return 0
	}
	return max(d.clock.Until(deadline).Milliseconds(), 1)
}

// withCallerTimeout returns a context that ends when the asker of another process gives up.
func withCallerTimeout(ctx context.Context, leftMilli int64) (context.Context, context.CancelFunc) {
	left := time.Duration(leftMilli) * time.Millisecond
	if left <= 0 {
		left = leaderCallTimeout
	}
	return context.WithTimeout(ctx, left)
}

// submitError turns the outcome of a submitted command into an error.
func submitError(o outcome, err error) error {
	if err != nil {
		return err
	}
	if o.result.Err == nil {
		return nil
	}
	var conflict *catalog.ConflictError
	return &RefusedError{Reason: o.result.Err.Error(), Conflict: errors.As(o.result.Err, &conflict)}
}

// serveSubmit settles a command for another replica.
func (d *Daemon) serveSubmit(ctx context.Context, request *wire.CallRequest) *wire.CallAnswer {
	ctx, cancel := withCallerTimeout(ctx, request.LeftMilli)
	defer cancel()
	err := submitError(d.replica.submit(ctx, request.Submit))
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &wire.CallAnswer{Submit: &wire.SubmitAnswer{Refusal: refused.Reason, Conflict: refused.Conflict}}
	}
	if err != nil {
		return &wire.CallAnswer{Error: err.Error()}
	}
	return &wire.CallAnswer{Submit: &wire.SubmitAnswer{}}
}

// serveRead reads the document of routes for another replica.
func (d *Daemon) serveRead(ctx context.Context, request *wire.CallRequest) *wire.CallAnswer {
	ctx, cancel := withCallerTimeout(ctx, request.LeftMilli)
	defer cancel()
	state, err := d.replica.read(ctx)
	if err != nil {
		return &wire.CallAnswer{Error: err.Error()}
	}
	document := state.Catalog().Document()
	if document == nil || !request.Read.TakesPacked {
		return &wire.CallAnswer{Read: &wire.ReadAnswer{Document: document}}
	}
	return &wire.CallAnswer{Read: &wire.ReadAnswer{Packed: catalog.Pack(nil, document)}}
}

// latest returns the state that was applied last, without asking the loop for it.
func (d *Daemon) latest() steering.State {
	if s := d.permitIssuer.state.Load(); s != nil {
		return *s
	}
	return steering.State{}
}

// State returns the state as this replica knows it, which may be behind.
func (d *Daemon) State(ctx context.Context) (steering.State, error) {
	v, err := d.replica.view(ctx)
	return v.state, err
}

// Boxes returns the entry boxes that reported within a time, with their age.
func (d *Daemon) Boxes(within time.Duration) []*wire.BoxReport {
	return d.publisher.Fresh(within)
}

// Log returns the log of the process.
func (d *Daemon) Log() zerolog.Logger { return d.process.Log }

// AddSeeds adds control replicas by which others are found.
func (d *Daemon) AddSeeds(seeds []string) {
	m := &wire.Membership{}
	for _, address := range seeds {
		m.Voters = append(m.Voters, &wire.Replica{Address: address})
	}
	d.addDiscovered(m)
}
