package control

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	submitTimeout = 4 * time.Second
	readTimeout   = 2 * time.Second
	maxBody       = 16 << 20
)

// serveOperators serves the operator API until the context ends.
func (d *Daemon) serveOperators(ctx context.Context) error {
	app := d.operatorApp()
	if err := app.Build(); err != nil {
		return fmt.Errorf("building the operator API: %w", err)
	}
	server := &http.Server{Handler: app, ReadHeaderTimeout: readTimeout}
	tlsConfig, err := d.config.TLS()
	if err != nil {
		return err
	}
	listener := tlsListener(d.operatorListener, tlsConfig)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	err = server.Shutdown(stop)
	<-ended
	return err
}

func (d *Daemon) operatorApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutBanner, iris.WithoutStartupLog)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(d.process.Metrics, promhttp.HandlerOpts{})))
	app.Get("/v1/settings", d.getSettings)
	app.Get("/v1/history", d.getHistory)
	app.Get("/v1/status", d.getStatus)
	app.Get("/v1/timeline", d.getTimeline)
	app.Get("/v1/shifts", d.getShifts)
	app.Post("/v1/changes", d.authorized, d.postChange)
	app.Post("/v1/shifts", d.authorized, d.postShift)
	app.Post("/v1/shifts/{id}/abort", d.authorized, d.abortShift)
	d.addCatalogHandlers(app)
	app.OnErrorCode(http.StatusNotFound, func(c iris.Context) {
		fail(c, http.StatusNotFound, operator.CodeNotFound, "there is nothing at "+c.Path())
	})
	return app
}

func fail(c iris.Context, status int, code, text string) {
	c.StopWithJSON(status, operator.Failure{Code: code, Message: text})
}

// failWith answers with the status and code that fit an error of the replica.
func (d *Daemon) failWith(c iris.Context, err error) {
	var notLeader *consensus.NotLeaderError
	var lost *LeadershipLostError
	var transferring *consensus.TransferringError
	switch {
	case errors.As(err, &notLeader):
		c.StopWithJSON(http.StatusMisdirectedRequest, operator.Failure{Code: operator.CodeNotLeader, Message: err.Error()})
	case errors.As(err, &lost):
		fail(c, http.StatusServiceUnavailable, operator.CodeOutcomeUnknown, err.Error())
	case errors.As(err, &transferring):
		fail(c, http.StatusServiceUnavailable, operator.CodeNotLeader, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		fail(c, http.StatusServiceUnavailable, operator.CodeNoQuorum, "no quorum answered in time; send it again with the same id")
	default:
		fail(c, http.StatusInternalServerError, operator.CodeOutcomeUnknown, err.Error())
	}
}

func (d *Daemon) authorized(c iris.Context) {
	if d.hasToken(c) {
		c.Next()
	}
}

// hasToken reports whether a request carries the operators' token. If it does not, the request has
// been answered with an error.
func (d *Daemon) hasToken(c iris.Context) bool {
	want := "Bearer " + d.config.Token
	if d.config.Token == "" || subtle.ConstantTimeCompare([]byte(c.GetHeader("Authorization")), []byte(want)) == 1 {
		return true
	}
	fail(c, http.StatusUnauthorized, operator.CodeUnauthorized, "this needs the operators' token")
	return false
}

func readBody(c iris.Context, into any) bool {
	c.SetMaxRequestBodySize(maxBody)
	if err := c.ReadJSON(into, iris.JSONReader{DisallowUnknownFields: true}); err != nil {
		fail(c, http.StatusBadRequest, operator.CodeBadRequest, "the body: "+err.Error())
		return false
	}
	return true
}

// getSettings answers with the settings tree. With ?stale=true a replica that can't reach a quorum
// answers with its local copy, marked as not fresh and with its age.
func (d *Daemon) getSettings(c iris.Context) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	state, err := d.replica.read(ctx)
	out := operator.Settings{Fresh: err == nil}
	if err != nil {
		if c.URLParam("stale") != "true" {
			d.failWith(c, err)
			return
		}
		v, viewErr := d.replica.view(c.Request().Context())
		if viewErr != nil {
			d.failWith(c, viewErr)
			return
		}
		state = v.state
		out.AgeMillis = d.controlAge().Milliseconds()
	}
	out.Version = state.SettingsVersion()
	for _, s := range state.Tree().Settings() {
		out.Settings = append(out.Settings, operator.Setting{Path: s.Path, Key: s.Key, Value: s.Value})
	}
	_ = c.JSON(out) // the client notices a failed write
}

// readState reads the state through a quorum. If that fails, the request has been answered with
// the error.
func (d *Daemon) readState(c iris.Context) (state steering.State, ok bool) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	state, err := d.replica.read(ctx)
	if err != nil {
		d.failWith(c, err)
		return state, false
	}
	return state, true
}

func (d *Daemon) getHistory(c iris.Context) {
	state, ok := d.readState(c)
	if !ok {
		return
	}
	out := []operator.HistoryEntry{}
	for _, a := range state.History() {
		out = append(out, operator.HistoryEntry{
			ID:            a.Change.Id,
			Version:       a.Version,
			BaseVersion:   a.Change.BaseVersion,
			Author:        a.Change.Author,
			TimeUnixMilli: a.Change.TimeUnixMilli,
			Edits:         fromEdits(a.Change.Edits),
			Inverse:       fromEdits(a.Inverse),
		})
	}
	_ = c.JSON(out) // the client notices a failed write
}

func fromEdits(edits []*wire.Edit) []operator.Edit {
	out := make([]operator.Edit, 0, len(edits))
	for _, e := range edits {
		out = append(out, operator.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset})
	}
	return out
}

func toEdits(edits []operator.Edit) []*wire.Edit {
	out := make([]*wire.Edit, 0, len(edits))
	for _, e := range edits {
		out = append(out, &wire.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset})
	}
	return out
}

func (d *Daemon) postChange(c iris.Context) {
	var body operator.Change
	if !readBody(c, &body) {
		return
	}
	if body.ID == "" || len(body.Edits) == 0 {
		fail(c, http.StatusBadRequest, operator.CodeBadRequest, "a change needs an id and at least one edit")
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	change := &wire.Change{
		Id:            body.ID,
		BaseVersion:   body.BaseVersion,
		Edits:         toEdits(body.Edits),
		Author:        body.Author,
		TimeUnixMilli: time.Now().UnixMilli(), // time of day: shown to people
	}
	d.process.Event(&wire.TimelineEvent{Kind: "changeProposed", Change: body.ID})
	o, err := d.replica.submit(ctx, &wire.Command{Change: change})
	if err != nil {
		d.failWith(c, err)
		return
	}
	v := o.result.Verdict
	_ = c.JSON(operator.Verdict{ // the client notices a failed write
		ID:        v.Id,
		Verdict:   verdictName(v.Kind),
		Version:   v.Version,
		Conflicts: v.Clashes,
		Detail:    v.Detail,
	})
}

func verdictName(k wire.VerdictKind) string {
	switch k {
	case wire.VerdictKind_VERDICT_KIND_ACCEPTED:
		return operator.Accepted
	case wire.VerdictKind_VERDICT_KIND_CONFLICT:
		return operator.Conflict
	case wire.VerdictKind_VERDICT_KIND_INVALID:
		return operator.Invalid
	case wire.VerdictKind_VERDICT_KIND_REUSED:
		return operator.Reused
	case wire.VerdictKind_VERDICT_KIND_FORGOTTEN:
		return operator.Forgotten
	}
	return k.String()
}

func (d *Daemon) getShifts(c iris.Context) {
	state, ok := d.readState(c)
	if !ok {
		return
	}
	out := []operator.Shift{}
	for _, s := range state.Shifts() {
		out = append(out, d.shiftBody(s))
	}
	_ = c.JSON(out) // the client notices a failed write
}

func (d *Daemon) shiftBody(s *wire.Shift) operator.Shift {
	phase := map[wire.ShiftPhase]string{
		wire.ShiftPhase_SHIFT_PHASE_RUNNING:  "running",
		wire.ShiftPhase_SHIFT_PHASE_FINISHED: "finished",
		wire.ShiftPhase_SHIFT_PHASE_ABORTED:  "aborted",
	}[s.Phase]
	out := operator.Shift{
		ID: s.Id, Service: s.Service, Home: s.Home, From: s.From, To: s.To,
		Points: s.Points, Moved: s.Moved, Steps: len(s.Steps), Phase: phase, Reason: s.Reason,
	}
	if s.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING {
		out.Reason = d.shiftReason(s.Id)
	}
	return out
}

func (d *Daemon) postShift(c iris.Context) {
	var body operator.Shift
	if !readBody(c, &body) {
		return
	}
	s := &wire.Shift{Id: body.ID, Service: body.Service, Home: body.Home, From: body.From, To: body.To, Points: body.Points}
	d.submitShift(c, &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_START, Shift: s})
}

func (d *Daemon) abortShift(c iris.Context) {
	s := &wire.Shift{Id: c.Params().Get("id")}
	d.submitShift(c, &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_ABORT, Shift: s, Reason: "an operator ended it"})
}

func (d *Daemon) submitShift(c iris.Context, command *wire.ShiftCommand) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	o, err := d.replica.submit(ctx, &wire.Command{Shift: command})
	if err != nil {
		d.failWith(c, err)
		return
	}
	var refused *steering.ShiftError
	if errors.As(o.result.Err, &refused) {
		fail(c, http.StatusConflict, operator.CodeBadRequest, refused.Error())
		return
	}
	v, err := d.replica.view(ctx)
	if err != nil {
		d.failWith(c, err)
		return
	}
	for _, s := range v.state.Shifts() {
		if s.Id == command.Shift.Id {
			_ = c.JSON(d.shiftBody(s)) // the client notices a failed write
		}
	}
}
