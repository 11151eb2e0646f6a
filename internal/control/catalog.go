package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// UnknownZoneError says that a zone is not part of the deployment.
type UnknownZoneError struct{ Zone string }

// Error implements error.
func (e *UnknownZoneError) Error() string { return fmt.Sprintf("there is no zone %q", e.Zone) }

// UnknownServiceError says that a target names a service that the document in force
// does not have.
type UnknownServiceError struct {
	Service        string
	DocumentNumber uint64
}

// Error implements error.
func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("document %d has no service %q", e.DocumentNumber, e.Service)
}

// FutureStartError says that a target tells a start that lies ahead by more than
// clocks differ.
type FutureStartError struct{ Ahead time.Duration }

// Error implements error.
func (e *FutureStartError) Error() string {
	return fmt.Sprintf("the target tells that it starts in %s", e.Ahead)
}

// maxStartAhead is how far ahead of this replica's time of day a target's start may lie.
// Clocks of the users' deployments step by seconds. A update with a later start would
// shut the target's own updates out until then.
const maxStartAhead = time.Minute

// NoDocumentError says that no document of routes has been put in force yet.
type NoDocumentError struct{}

// Error implements error.
func (*NoDocumentError) Error() string { return "no document of routes is in force" }

// Register takes a target's update. One that says nothing new is acknowledged
// from what this replica knows, all others once a majority has stored them.
func (d *Daemon) Register(ctx context.Context, r *wire.Registration) error {
	return d.register(ctx, &wire.RegistrationCommand{Registration: r})
}

// Deregister takes a target out for good.
func (d *Daemon) Deregister(ctx context.Context, id string) error {
	return d.register(ctx, &wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true})
}

func (d *Daemon) register(ctx context.Context, c *wire.RegistrationCommand) error {
	state := d.latest()
	if !c.Leave && d.targetIndex.isRedundant(state.Catalog(), c.Registration) {
		return nil
	}
	r := c.Registration
	if err := d.checkUpdate(state, c); err != nil {
		d.RecordRejectedUpdate(r.Id, err)
		return err
	}
	if !state.Catalog().WouldChange(r, c.Leave) {
		return nil
	}
	began := d.clock.Now()
	err := d.registrations.submit(ctx, c, false)
	line := d.process.Log.Info()
	if err != nil {
		line = d.process.Log.Warn().Err(err)
	}
	line.Str("kind", "registration").Str("target", r.Id).Str("service", r.Service).Str("address", r.Address).
		Bool("draining", r.Draining).Bool("leaves", c.Leave).Int64("coldMillis", r.ColdMilli).Uint64("sequence", r.Sequence).Int64("born", r.BornUnixMilli).
		Uint64("stateVersion", state.Version()).Dur("took", d.clock.Since(began)).Msg("registration committed")
	return err
}

// checkUpdate reports an update that names no target which could be used.
func (d *Daemon) checkUpdate(s steering.State, c *wire.RegistrationCommand) error {
	if c.Leave {
		return nil
	}
	born := time.UnixMilli(c.Registration.BornUnixMilli)
	if ahead := time.Until(born); ahead > maxStartAhead { // time of day: targets tell their starts by it
		return &FutureStartError{Ahead: ahead.Round(time.Second)}
	}
	return d.routes.checkService(s.Catalog().Document(), c.Registration.Service)
}

// maxRejectedLogsPerSecond bounds the log lines on registration updates that can't be used: a
// few show what comes, the counter tells how many.
const maxRejectedLogsPerSecond = 5

// RecordRejectedUpdate counts a target's update that can't be used. Of those that come at once
// some have a line in the log.
func (d *Daemon) RecordRejectedUpdate(id string, cause error) {
	d.rejectedUpdates.Inc()
	if !d.rejectedLogLimiter.Take(d.clock.Now()) {
		return
	}
	d.process.Log.Warn().Str("kind", "registration").Str("target", id).Err(cause).Msg("registration update rejected")
}

// PutRoutes puts a document of routes in force. The text is what a read gives
// back; between replicas and in the log it is packed.
func (d *Daemon) PutRoutes(ctx context.Context, document catalog.Document, text []byte) error {
	began := d.clock.Now()
	err := document.Check()
	if err == nil {
		err = d.Submit(ctx, &wire.Command{Routes: &wire.RoutesCommand{
			BaseNumber: document.Base,
			Packed:     catalog.Pack(nil, &wire.RoutesDocument{Number: document.Number, Text: text}),
		}})
	}
	line := d.process.Log.Info()
	if err != nil {
		line = d.process.Log.Warn().Err(err)
	}
	line.Str("kind", "routes").Uint64("number", document.Number).Uint64("base", document.Base).Int("bytes", len(text)).
		Dur("took", d.clock.Since(began)).Msg("a document of routes was settled")
	return err
}

// Routes returns the text of the document of routes in force.
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

// Evacuate begins or ends the evacuation of a zone.
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
	line := d.process.Log.Info()
	if err != nil {
		line = d.process.Log.Warn().Err(err)
	}
	line.Str("kind", "evacuation").Str("zone", zone).Bool("withdraw", withdraw).Dur("took", d.clock.Since(began)).Msg("an evacuation was settled")
	return err
}

const (
	// boxCountWindow is the time over which boxes are counted.
	boxCountWindow = 10 * time.Second
	// maxLookupBoxes is the most that an answer may name (the users' bound).
	maxLookupBoxes = 64
	// lookupTTL is how long an answer may be kept. Callers keep some answers
	// for three times as long, and a box that stops waits for that.
	lookupTTL = time.Second
)

// BoxesFor returns the caller addresses of the entry boxes that a caller in a
// region and zone is to use, and how long that may be kept.
func (d *Daemon) BoxesFor(region, zone string) ([]string, time.Duration) {
	if !d.lookupsReady() {
		return nil, d.lookupAnswerTTL()
	}
	near := lookup.Nearest(d.serving.get(d.clock.Now(), d.listServingBoxes), region, zone)
	if len(near) > maxLookupBoxes {
		near = near[:maxLookupBoxes]
	}
	return near, d.lookupAnswerTTL()
}

// listServingBoxes returns the boxes that serve callers by their latest reports.
func (d *Daemon) listServingBoxes() []lookup.BoxLocation {
	var out []lookup.BoxLocation
	fresh := lookup.ReportValidity(len(d.Boxes(boxCountWindow)))
	for _, b := range d.Boxes(fresh) {
		if b.CallerAddress != "" && !b.Stopping {
			out = append(out, lookup.BoxLocation{Address: b.CallerAddress, Zone: b.Zone, Region: b.Region})
		}
	}
	return out
}

// lookupsReady reports whether the boxes that serve are known well enough since
// the start of this process.
func (d *Daemon) lookupsReady() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startupGate.Ready(d.clock.Now())
}

// collectReport takes the reports of boxes.
func (d *Daemon) collectReport(r *wire.Report) {
	d.publisher.Collect(r)
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

// publishedCommand returns a command that led to a state as publishers take it: the
// document with the text that the state holds, to be made a difference.
func publishedCommand(c *wire.Command, s steering.State) *wire.Command {
	if c.GetRoutes() == nil {
		return c
	}
	return &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: c.Routes.BaseNumber, Document: s.Catalog().Document()}}
}
