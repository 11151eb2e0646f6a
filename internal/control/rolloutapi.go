package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// getRollouts lists the latest roll-out of each service.
func (d *Daemon) getRollouts(c iris.Context) {
	state, ok := d.catalogState(c)
	if !ok {
		return
	}
	out := []operator.Rollout{}
	for _, r := range state.Rollouts() {
		out = append(out, d.rolloutBody(r))
	}
	_ = c.JSON(out) // the client notices a failed write
}

func (d *Daemon) postRollout(c iris.Context) {
	var body operator.Rollout
	if !readBody(c, &body) {
		return
	}
	duration := time.Duration(body.DurationMillis) * time.Millisecond
	err := d.withSubmitTimeout(c, func(ctx context.Context) error {
		return d.StartRollout(ctx, body.Service, body.TargetVersion, duration)
	})
	d.answerRollout(c, body.Service, err)
}

func (d *Daemon) abortRollout(c iris.Context) {
	service := c.Params().Get("service")
	err := d.withSubmitTimeout(c, func(ctx context.Context) error { return d.AbortRollout(ctx, service) })
	d.answerRollout(c, service, err)
}

// answerRollout answers with the state of a service's roll-out after an order.
func (d *Daemon) answerRollout(c iris.Context, service string, err error) {
	var current *wire.Rollout
	if err == nil {
		err = d.withSubmitTimeout(c, func(ctx context.Context) (err error) {
			current, err = d.Rollout(ctx, service)
			return err
		})
	}
	if err != nil {
		d.failCatalogCall(c, err)
		return
	}
	_ = c.JSON(d.rolloutBody(current)) // the client notices a failed write
}

func (d *Daemon) rolloutBody(r *wire.Rollout) operator.Rollout {
	out := operator.Rollout{
		Service: r.Service, TargetVersion: r.TargetVersion, DurationMillis: r.DurationMilli, Number: r.Number,
		Phase: catalog.RolloutPhaseName(r.Phase), Reason: r.Reason, Step: r.Step, Share: r.Share, PreviousClosed: r.PreviousClosed,
		PreviousVersions: r.PreviousVersions,
	}
	total := d.rollouts.total(r.Number)
	for _, route := range slices.Sorted(maps.Keys(total)) {
		t := total[route]
		out.Routes = append(out.Routes, operator.RolloutRoute{
			Route: route, Answers: t.Answers, Bad: t.Bad, PreviousAnswers: t.PreviousAnswers, PreviousBad: t.PreviousBad,
		})
	}
	return out
}
