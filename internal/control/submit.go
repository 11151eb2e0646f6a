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
	// leaderCallTimeout bounds the work for a caller that states no deadline. A round trip between
	// regions to the leader, one to a quorum and a sync take about 150 ms.
	leaderCallTimeout = 600 * time.Millisecond
	// leaderRetryDelay is the delay before the leader is called or looked up again.
	leaderRetryDelay = 50 * time.Millisecond
)

// RefusedError reports that the replicated state machine rejected a command.
type RefusedError struct {
	Reason string
	// Conflict is set if the command was based on another version.
	Conflict bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// UnavailableError reports that no leader completed a command or read in time.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no leader answered in time: %v", e.Cause)
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Submit has the leader, on whichever replica it runs, commit a command. It returns nil once a
// majority has stored the command, a RefusedError if the state machine rejected it, or an
// UnavailableError if the outcome is unknown when the context ends. Catalog commands are
// idempotent, so an attempt with an unknown outcome is repeated once the leader has changed. Until
// then it may still be committed, and repeating it would add to the load that it waits for.
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

// Document reads the active routes document through a quorum.
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

// documentOf returns the document in an answer, or nil if there is none.
func documentOf(a *wire.ReadAnswer) (*wire.RoutesDocument, error) {
	if a.GetPacked() == nil {
		return a.GetDocument(), nil
	}
	return catalog.Unpack(nil, a.Packed)
}

// withLeader calls try until it succeeds, is refused or the context ends. The leader's address is
// empty if this replica leads.
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

// tryLeader calls try once. Its context also ends when the leader changes.
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
	address := d.leaderAddress(v)
	if address == "" {
		return &consensus.NotLeaderError{}
	}
	return try(ctx, address)
}

// leaderAddress returns the address of the leader, or an empty string if it is not known. A replica
// that is not a member yet knows it from the answers of others.
func (d *Daemon) leaderAddress(v view) string {
	if address := addressOf(v.membership, v.status.Leader); address != "" || addressOf(v.membership, d.replica.id) != "" {
		return address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reportedLeader
}

// remainingMilli returns the milliseconds until the deadline of a context, to be sent with a call,
// or zero if it has none.
func (d *Daemon) remainingMilli(ctx context.Context) int64 {
	deadline, ok := d.clock.Deadline(ctx)
	if !ok {
		return 0
	}
	return max(d.clock.Until(deadline).Milliseconds(), 1)
}

// withCallerTimeout returns a context that ends when the caller in another process gives up.
func withCallerTimeout(ctx context.Context, remainingMilli int64) (context.Context, context.CancelFunc) {
	remaining := time.Duration(remainingMilli) * time.Millisecond
	if remaining <= 0 {
		remaining = leaderCallTimeout
	}
	return context.WithTimeout(ctx, remaining)
}

// submitError returns the error of a submitted command.
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

// serveSubmit commits a command on behalf of another replica.
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

// serveRead reads the routes document or a roll-out on behalf of another replica.
func (d *Daemon) serveRead(ctx context.Context, request *wire.CallRequest) *wire.CallAnswer {
	ctx, cancel := withCallerTimeout(ctx, request.LeftMilli)
	defer cancel()
	state, err := d.replica.read(ctx)
	if err != nil {
		return &wire.CallAnswer{Error: err.Error()}
	}
	if service := request.Read.RolloutOf; service != "" {
		return &wire.CallAnswer{Read: &wire.ReadAnswer{Rollout: rolloutOf(state, service)}}
	}
	document := state.Catalog().Document()
	if document == nil || !request.Read.TakesPacked {
		return &wire.CallAnswer{Read: &wire.ReadAnswer{Document: document}}
	}
	return &wire.CallAnswer{Read: &wire.ReadAnswer{Packed: catalog.Pack(nil, document)}}
}

// latest returns the state that was applied last, without a request to the loop.
func (d *Daemon) latest() steering.State {
	if s := d.permitIssuer.state.Load(); s != nil {
		return *s
	}
	return steering.State{}
}

// State returns the state of this replica, which may lag behind the leader's.
func (d *Daemon) State(ctx context.Context) (steering.State, error) {
	v, err := d.replica.view(ctx)
	return v.state, err
}

// Boxes returns the entry boxes that reported within the given time, with the age of their
// reports.
func (d *Daemon) Boxes(within time.Duration) []*wire.BoxReport {
	return d.publisher.RecentReports(within)
}

// Log returns the logger of the process.
func (d *Daemon) Log() zerolog.Logger { return d.process.Log }

// AddSeeds adds addresses of control replicas through which others are discovered.
func (d *Daemon) AddSeeds(seeds []string) {
	m := &wire.Membership{}
	for _, address := range seeds {
		m.Voters = append(m.Voters, &wire.Replica{Address: address})
	}
	d.addDiscovered(m)
}
