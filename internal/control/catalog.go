package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// UnknownZoneError reports an availability zone that is not part of the deployment.
type UnknownZoneError struct{ Zone string }

// Error implements error.
func (e *UnknownZoneError) Error() string { return fmt.Sprintf("there is no zone %q", e.Zone) }

// UnknownServiceError reports that a target names a service that the active routes document does
// not define.
type UnknownServiceError struct {
	Service        string
	DocumentNumber uint64
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("document %d has no service %q", e.DocumentNumber, e.Service)
}

// FutureStartError reports that a target declares a start time further in the future than clock
// differences explain.
type FutureStartError struct{ Ahead time.Duration }

// Error implements error.
func (e *FutureStartError) Error() string {
	return fmt.Sprintf("the target tells that it starts in %s", e.Ahead)
}

// maxStartAhead bounds how far a target's start time may lie ahead of this replica's time of day.
// Clocks in the users' deployments step by seconds. A later start time would cause the target's
// own updates to be ignored until that time.
const maxStartAhead = time.Minute

// NoDocumentError reports that no routes document is active yet.
type NoDocumentError struct{}

// Error implements error.
func (*NoDocumentError) Error() string { return "no document of routes is in force" }

// Register applies a registration update of a target. A redundant update is acknowledged from the
// local state, unless it withdraws the target and that state may be old. Any other is acknowledged
// once a majority has stored it.
func (d *Daemon) Register(ctx context.Context, r *wire.Registration) error {
	return d.register(ctx, &wire.RegistrationCommand{Registration: r})
}

// AmbiguousTargetError reports that a target was not removed, because the request names no incarnation
// and may be a late one of an earlier incarnation. The target sends it again, naming the current one;
// an earlier one that has ended does not.
type AmbiguousTargetError struct{ Current catalog.Incarnation }

// Error implements error.
func (e *AmbiguousTargetError) Error() string {
	return fmt.Sprintf("target %s may have had several incarnations; the request must name the start of the current one, %d", e.Current.ID, e.Current.StartedUnixMilli)
}

// Deregister removes a target. The error is an AmbiguousTargetError if the target has had another
// incarnation, or may have had one before this replica followed its registration.
func (d *Daemon) Deregister(ctx context.Context, id string) error {
	if current, ambiguous := d.targetIndex.ambiguousLeave(d.latest().Catalog(), id); ambiguous {
		err := &AmbiguousTargetError{current}
		d.RecordRejectedUpdate(id, err)
		return err
	}
	return d.register(ctx, &wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true})
}

// DeregisterIncarnation removes one incarnation of a target for good.
func (d *Daemon) DeregisterIncarnation(ctx context.Context, i catalog.Incarnation) error {
	r := &wire.Registration{Id: i.ID, BornUnixMilli: i.StartedUnixMilli}
	return d.register(ctx, &wire.RegistrationCommand{Registration: r, Leave: true})
}

func (d *Daemon) register(ctx context.Context, c *wire.RegistrationCommand) error {
	state := d.latest()
	if !c.Leave && d.targetIndex.isRedundant(state.Catalog(), c.Registration) {
		return nil
	}
	if err := d.checkUpdate(state, c); err != nil {
		d.RecordRejectedUpdate(c.Registration.Id, err)
		return err
	}
	c = d.commandFor(state.Catalog(), c)
	r := c.Registration
	departure := d.targetIndex.departure(state.Catalog(), r.Id)
	if !d.targetIndex.wouldChange(state.Catalog(), r, c.Leave) && !d.mayLackTarget(c) {
		d.addUpdate(d.updateLog.line(d.clock.Now(), nil), c, departure).Uint64("stateVersion", state.Version()).
			Dur("controlAge", d.controlAge()).Msg("registration update changes nothing")
		return nil
	}
	if departure != nil && !c.Leave && catalog.IsOfDeparted(r, departure) {
		d.readmissions.Inc()
	}
	began := d.clock.Now()
	err := d.registrations.submit(ctx, c, false)
	d.addUpdate(d.updateLog.line(d.clock.Now(), err), c, departure).Uint64("stateVersion", state.Version()).
		Dur("took", d.clock.Since(began)).Msg("registration update submitted")
	return err
}

// addUpdate adds a registration update to a log line, and the departure that is recorded for its
// target, if any.
func (d *Daemon) addUpdate(line *zerolog.Event, c *wire.RegistrationCommand, departure *wire.Departure) *zerolog.Event {
	r := c.Registration
	line = line.Str("kind", "registration").Str("target", r.Id).Str("service", r.Service).Str("address", r.Address).
		Bool("draining", r.Draining).Bool("leaves", c.Leave).Int64("coldMillis", r.ColdMilli).Uint64("sequence", r.Sequence).Int64("born", r.BornUnixMilli)
	if departure == nil {
		return line
	}
	return line.Uint64("departedSequence", departure.Sequence).Int64("departedBorn", departure.BornUnixMilli)
}

// maxLocalAckAge is the control age up to which it may be acknowledged from the local state that a
// target drains: a heartbeat interval of the leader and two round trips to it, with a margin.
const maxLocalAckAge = 500 * time.Millisecond

// maxFollowedAge is the control age up to which a replica takes a target that it did not know for one
// that never had another incarnation. One that catches up applies many commands at once, of which it
// sees the last one of each target only.
const maxFollowedAge = time.Second

// mayLackTarget reports whether an update withdraws a target and the local state may lack the target's
// latest incarnation. A leave is not repeated once it is acknowledged, and may follow the start at
// once; that a target drains is sent with each heartbeat, as are other updates.
func (d *Daemon) mayLackTarget(c *wire.RegistrationCommand) bool {
	return c.Leave || c.Registration.Draining && d.controlAge() > maxLocalAckAge
}

// checkUpdate rejects an update with a start time in the future or an unknown service.
func (d *Daemon) checkUpdate(s steering.State, c *wire.RegistrationCommand) error {
	if c.Leave {
		return nil
	}
	startedAt := time.UnixMilli(c.Registration.BornUnixMilli)
	if ahead := time.Until(startedAt); ahead > maxStartAhead { // time of day: targets state their start by it
		return &FutureStartError{Ahead: ahead.Round(time.Second)}
	}
	return d.routes.checkService(s.Catalog().Document(), c.Registration.Service)
}

// maxRejectedLogsPerSecond bounds the log lines for rejected registration updates: a few show what
// arrives, and a counter has the total.
const maxRejectedLogsPerSecond = 5

// RecordRejectedUpdate counts a registration update that was rejected, and logs it unless too many
// arrive at once.
func (d *Daemon) RecordRejectedUpdate(id string, cause error) {
	d.rejectedUpdates.Inc()
	if !d.rejectedLogLimiter.Allow(d.clock.Now()) {
		return
	}
	d.process.Log.Warn().Str("kind", "registration").Str("target", id).Err(cause).Msg("registration update rejected")
}

// PutRoutes activates a routes document. Reads return the text as given here; it is packed in the
// log and between replicas.
func (d *Daemon) PutRoutes(ctx context.Context, document catalog.Document, text []byte) error {
	began := d.clock.Now()
	err := document.Check()
	if err == nil {
		err = d.Submit(ctx, &wire.Command{Routes: &wire.RoutesCommand{
			BaseNumber: document.Base,
			Packed:     catalog.Pack(nil, &wire.RoutesDocument{Number: document.Number, Text: text}),
		}})
	}
	entry := d.process.Log.Info()
	if err != nil {
		entry = d.process.Log.Warn().Err(err)
	}
	entry.Str("kind", "routes").Uint64("number", document.Number).Uint64("base", document.Base).Int("bytes", len(text)).
		Dur("took", d.clock.Since(began)).Msg("routes document submitted")
	return err
}

// Routes returns the text of the active routes document.
func (d *Daemon) Routes(ctx context.Context) ([]byte, error) {
	document, err := d.Document(ctx)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, &NoDocumentError{}
	}
	return document.Text, nil
}

// Evacuate starts the evacuation of an availability zone, or ends it if withdraw is set.
func (d *Daemon) Evacuate(ctx context.Context, zone string, withdraw bool) error {
	state, err := d.State(ctx)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	if !d.isZone(state, zone) {
		return &UnknownZoneError{Zone: zone}
	}
	began := d.clock.Now()
	err = d.Submit(ctx, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: zone, Withdraw: withdraw}})
	entry := d.process.Log.Info()
	if err != nil {
		entry = d.process.Log.Warn().Err(err)
	}
	entry.Str("kind", "evacuation").Str("zone", zone).Bool("withdraw", withdraw).Dur("took", d.clock.Since(began)).Msg("evacuation submitted")
	return err
}

const (
	// boxCountWindow is the time within which a box must have reported to be counted.
	boxCountWindow = 10 * time.Second
	// maxLookupBoxes is the maximum number of boxes in a lookup answer; the users set this bound.
	maxLookupBoxes = 64
	// lookupTTL is how long a lookup answer may be cached. Callers keep some answers three times
	// as long, and a stopping box waits that long.
	lookupTTL = time.Second
)

// BoxesFor returns the caller addresses of the entry boxes that a caller in the given region and
// availability zone should use, and how long the answer may be cached.
func (d *Daemon) BoxesFor(region, zone string) ([]string, time.Duration) {
	if !d.lookupsReady() {
		return nil, d.lookupAnswerTTL()
	}
	nearest := lookup.Nearest(d.serving.get(d.clock.Now(), d.listServingBoxes), region, zone)
	if len(nearest) > maxLookupBoxes {
		nearest = nearest[:maxLookupBoxes]
	}
	return nearest, d.lookupAnswerTTL()
}

// listServingBoxes returns the boxes that serve callers according to their latest reports.
func (d *Daemon) listServingBoxes() []lookup.BoxLocation {
	var out []lookup.BoxLocation
	validity := lookup.ReportValidity(len(d.Boxes(boxCountWindow)))
	for _, b := range d.Boxes(validity) {
		if b.CallerAddress != "" && !b.Stopping {
			out = append(out, lookup.BoxLocation{
				Address: b.CallerAddress, Zone: b.Zone, Region: b.Region, Name: b.Box, PeerAddress: b.Address, CutOff: b.CutOff,
			})
		}
	}
	return out
}

// peersFor returns the peers of an entry box, or nil if it has them, or if this process has not heard
// from enough boxes yet.
func (d *Daemon) peersFor(r *wire.HelloRequest) *wire.PeerBoxes {
	if r.Box == "" || !d.lookupsReady() {
		return nil
	}
	peers := lookup.Peers(d.serving.get(d.clock.Now(), d.listServingBoxes), r.Box, r.Region, r.Zone)
	if peers.Digest == r.PeersDigest {
		return nil
	}
	return peers
}

// lookupsReady reports whether enough boxes have reported since this process started for lookups
// to be answered.
func (d *Daemon) lookupsReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startupGate.Ready(d.clock.Now())
}

// collectReport processes reports of boxes.
func (d *Daemon) collectReport(r *wire.Report) {
	d.publisher.AddReports(r)
	d.applyLimitUpdates(r.Limits)
	for _, b := range r.Boxes {
		d.serving.invalidateIfChanged(b)
	}
	if !slices.ContainsFunc(r.Boxes, func(b *wire.BoxReport) bool { return b.CallerAddress != "" && !b.Stopping }) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startupGate.BoxReported(d.clock.Now())
}

// publishedCommand returns a command in the form that the publisher needs: a routes document is
// replaced by the one in the resulting state, from which the publisher computes a delta.
func publishedCommand(c *wire.Command, s steering.State) *wire.Command {
	if c.GetRoutes() == nil {
		return c
	}
	return &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: c.Routes.BaseNumber, Document: s.Catalog().Document()}}
}
