package command

import (
	"context"
	"errors"
	"flag"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/control"
)

func init() {
	register(Command{
		Name:    "control",
		Summary: "run a control replica",
		Setup:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runControl },
	})
}

func runControl(ctx context.Context, in Invocation) error {
	c, parsed, err := config.ReadControl(in.Arguments, in.Err)
	if parsed.Help {
		return nil
	}
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	d, err := control.Open(c, in.Err)
	if err != nil {
		return err
	}
	return ignoreCanceled(d.Run(ctx))
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
