package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/batch"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// addCatalogHandlers adds the handlers for routes, evacuations, roll-outs, targets, lookups, workspaces and the
// quarantine list. Any replica serves them and has the leader commit changes.
func (d *Daemon) addCatalogHandlers(app *iris.Application) {
	app.Get("/v1/routes", d.getRoutes)
	app.Put("/v1/routes", d.authorized, d.putRoutes)
	app.Get("/v1/evacuations", d.getEvacuations)
	app.Put("/v1/evacuations/{zone}", d.authorized, func(c iris.Context) { d.setEvacuation(c, false) })
	app.Delete("/v1/evacuations/{zone}", d.authorized, func(c iris.Context) { d.setEvacuation(c, true) })
	app.Get("/v1/rollouts", d.getRollouts)
	app.Post("/v1/rollouts", d.authorized, d.postRollout)
	app.Post("/v1/rollouts/{service}/abort", d.authorized, d.abortRollout)
	app.Get("/v1/targets", d.getTargets)
	app.Put("/v1/targets/{id}", d.authorized, d.putTarget)
	app.Delete("/v1/targets/{id}", d.authorized, d.deleteTarget)
	app.Get("/v1/gateways", d.getGateways)
	app.Get("/v1/workspaces", d.getWorkspaces)
	app.Get("/v1/quarantine", d.getQuarantine)
	app.Delete("/v1/quarantine/{digest}", d.authorized, d.deleteQuarantined)
}

// decodeRoutes parses a routes document in the deployment's format.
func (d *Daemon) decodeRoutes(text []byte) (catalog.Document, error) {
	if d.config.DecodeRoutes == nil {
		return catalog.ParseDocument(text)
	}
	return d.config.DecodeRoutes(text)
}

// getRoutes answers with the active routes document: as it was written if the query says
// text=true, otherwise in the project's format without keys. The original text contains the keys
// of workspaces and therefore needs the operators' token.
func (d *Daemon) getRoutes(c iris.Context) {
	asWritten := c.URLParam("text") == "true"
	if asWritten && !d.hasToken(c) {
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	text, err := d.Routes(ctx)
	if err != nil {
		d.failCatalogCall(c, err)
		return
	}
	if !asWritten {
		document, err := d.decodeRoutes(text)
		if err != nil {
			d.failCatalogCall(c, err)
			return
		}
		text = document.Text()
	}
	c.ContentType("application/json")
	_, _ = c.Write(text) // the client notices a failed write
}

func (d *Daemon) putRoutes(c iris.Context) {
	text, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBody))
	if err != nil {
		fail(c, http.StatusBadRequest, operator.CodeBadRequest, "the body: "+err.Error())
		return
	}
	document, err := d.decodeRoutes(text)
	if err == nil {
		err = d.withSubmitTimeout(c, func(ctx context.Context) error { return d.PutRoutes(ctx, document, text) })
	}
	d.answerCatalogCall(c, err, operator.RoutesVerdict{Number: document.Number})
}

func (d *Daemon) getEvacuations(c iris.Context) {
	if state, ok := d.catalogState(c); ok {
		_ = c.JSON(evacuations(state)) // the client notices a failed write
	}
}

func evacuations(s catalog.State) operator.Evacuations {
	return operator.Evacuations{Zones: append([]string{}, s.Evacuated()...)}
}

func (d *Daemon) setEvacuation(c iris.Context, withdraw bool) {
	zone := c.Params().Get("zone")
	err := d.withSubmitTimeout(c, func(ctx context.Context) error { return d.Evacuate(ctx, zone, withdraw) })
	d.answerCatalogCall(c, err, operator.Evacuations{Zones: []string{zone}})
}

func (d *Daemon) getTargets(c iris.Context) {
	state, ok := d.catalogState(c)
	if !ok {
		return
	}
	out := []operator.Target{}
	for _, r := range state.Targets() {
		out = append(out, operator.Target{
			ID:            r.Id,
			Service:       r.Service,
			Address:       r.Address,
			Zone:          r.Zone,
			Software:      r.Software,
			Slots:         r.Slots,
			Draining:      r.Draining,
			WarmupMillis:  r.ColdMilli,
			Sequence:      r.Sequence,
			StartedMillis: r.BornUnixMilli,
			Limit:         d.reportedLimit(r),
			Leaving:       d.targetLimits.view(catalog.IncarnationOf(r).String()).isLeaving,
		})
	}
	_ = c.JSON(out) // the client notices a failed write
}

// reportedLimit returns what this replica knows of a target's rate limit, or nil if the target has
// none.
func (d *Daemon) reportedLimit(r *wire.Registration) *operator.TargetLimit {
	known := d.targetLimits.view(catalog.IncarnationOf(r).String())
	if known.limit == targetstatus.NoLimit {
		return nil
	}
	return &operator.TargetLimit{
		PerSecond: known.limit, ReportedAgoMillis: d.clock.Since(known.receivedAt).Milliseconds(),
		Issued: known.counters.Issued, DeniedRequests: known.counters.Refused,
	}
}

func (d *Daemon) putTarget(c iris.Context) {
	var t operator.Target
	if !readBody(c, &t) {
		return
	}
	t.ID = c.Params().Get("id")
	if t.Service == "" || t.Address == "" || t.Zone == "" {
		fail(c, http.StatusBadRequest, operator.CodeBadRequest, "a target needs a service, an address and a zone")
		return
	}
	r := &wire.Registration{
		Id:        t.ID,
		Service:   t.Service,
		Address:   t.Address,
		Zone:      t.Zone,
		Software:  t.Software,
		Slots:     t.Slots,
		Draining:  t.Draining,
		ColdMilli: t.WarmupMillis,
		Sequence:  t.Sequence,

		BornUnixMilli: t.StartedMillis,
	}
	d.answerCatalogCall(c, d.withSubmitTimeout(c, func(ctx context.Context) error { return d.Register(ctx, r) }), t)
}

func (d *Daemon) deleteTarget(c iris.Context) {
	id := c.Params().Get("id")
	deregister := func(ctx context.Context) error { return d.Deregister(ctx, id) }
	if text := c.URLParam(startedParam); text != "" {
		started, err := strconv.ParseInt(text, 10, 64)
		if err != nil || started <= 0 {
			fail(c, http.StatusBadRequest, operator.CodeBadRequest, fmt.Sprintf("%s %q is not a whole number of milliseconds", startedParam, text))
			return
		}
		deregister = func(ctx context.Context) error {
			return d.DeregisterIncarnation(ctx, catalog.Incarnation{ID: id, StartedUnixMilli: started})
		}
	}
	err := d.withSubmitTimeout(c, deregister)
	var ambiguous *AmbiguousTargetError
	if errors.As(err, &ambiguous) {
		c.Redirect(fmt.Sprintf("/v1/targets/%s?%s=%d", url.PathEscape(id), startedParam, ambiguous.Current.StartedUnixMilli), http.StatusTemporaryRedirect)
		return
	}
	d.answerCatalogCall(c, err, operator.Target{ID: id})
}

// startedParam is the query parameter that names the incarnation of a target by its start, in Unix
// milliseconds.
const startedParam = "bornMillis"

func (d *Daemon) getGateways(c iris.Context) {
	addresses, ttl := d.BoxesFor(c.URLParam("region"), c.URLParam("zone"))
	if len(addresses) == 0 {
		fail(c, http.StatusServiceUnavailable, operator.CodeOutcomeUnknown, "no entry box has reported yet")
		return
	}
	_ = c.JSON(operator.Gateways{Addresses: addresses, TTLMillis: ttl.Milliseconds()}) // the client notices a failed write
}

// catalogState reads the catalog of this replica, which may lag slightly behind the leader's.
func (d *Daemon) catalogState(c iris.Context) (s catalog.State, ok bool) {
	state, err := d.State(c.Request().Context())
	if err != nil {
		d.failCatalogCall(c, &UnavailableError{Cause: err})
		return s, false
	}
	return state.Catalog(), true
}

// withSubmitTimeout runs an operation with the timeout for operators' changes.
func (d *Daemon) withSubmitTimeout(c iris.Context, operation func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	return operation(ctx)
}

func (d *Daemon) answerCatalogCall(c iris.Context, err error, body any) {
	if err != nil {
		d.failCatalogCall(c, err)
		return
	}
	_ = c.JSON(body) // the client notices a failed write
}

// failCatalogCall answers with the status and code that fit an error of a catalog call.
func (d *Daemon) failCatalogCall(c iris.Context, err error) {
	var invalid *catalog.InvalidError
	var refused *RefusedError
	var zone *UnknownZoneError
	var service *UnknownServiceError
	var futureStart *FutureStartError
	var noDocument *NoDocumentError
	var invalidRollout *rollout.InvalidError
	var rolloutConflict *RolloutConflictError
	var noRollout *NoRolloutError
	var busy *batch.BusyError
	switch {
	case errors.As(err, &invalid):
		fail(c, http.StatusBadRequest, operator.CodeInvalid, err.Error())
	case errors.As(err, &invalidRollout):
		fail(c, http.StatusBadRequest, operator.CodeInvalid, err.Error())
	case errors.As(err, &rolloutConflict):
		fail(c, http.StatusConflict, operator.CodeConflict, err.Error())
	case errors.As(err, &noRollout):
		fail(c, http.StatusNotFound, operator.CodeNotFound, err.Error())
	case errors.As(err, &refused) && refused.Conflict:
		fail(c, http.StatusConflict, operator.CodeConflict, err.Error())
	case errors.As(err, &refused):
		fail(c, http.StatusBadRequest, operator.CodeInvalid, err.Error())
	case errors.As(err, &service), errors.As(err, &futureStart):
		fail(c, http.StatusBadRequest, operator.CodeInvalid, err.Error())
	case errors.As(err, &zone), errors.As(err, &noDocument):
		fail(c, http.StatusNotFound, operator.CodeNotFound, err.Error())
	case errors.As(err, &busy):
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(busy.RetryAfter.Seconds()))))
		fail(c, http.StatusServiceUnavailable, operator.CodeOutcomeUnknown, fmt.Sprintf("%v; send it again then", err))
	default:
		fail(c, http.StatusServiceUnavailable, operator.CodeOutcomeUnknown, fmt.Sprintf("%v; send it again", err))
	}
}

// isZone reports whether an availability zone is part of the deployment: named by the settings
// file, the settings tree or a target.
func (d *Daemon) isZone(s steering.State, zone string) bool {
	if slices.Contains(d.config.Zones, zone) {
		return true
	}
	for _, z := range s.Tree().Zones() {
		if z.Name == zone {
			return true
		}
	}
	return slices.ContainsFunc(s.Catalog().Targets(), func(r *wire.Registration) bool { return r.Zone == zone })
}

// lookupAnswerTTL returns how long a lookup answer may be cached.
func (d *Daemon) lookupAnswerTTL() time.Duration {
	if d.config.LookupTTL <= 0 {
		return lookupTTL
	}
	return min(lookupTTL, d.config.LookupTTL)
}
