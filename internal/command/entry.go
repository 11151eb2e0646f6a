package command

import (
	"context"
	"flag"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/entry"
	"ledgesill.dev/ledgesill/internal/link"
)

func init() {
	register(Command{
		Name:    "entry",
		Summary: "run the daemon of an entry box",
		Setup:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runEntry },
	})
}

func runEntry(ctx context.Context, in Invocation) error {
	c, parsed, err := config.ReadEntry(in.Arguments, in.Err)
	if parsed.Help {
		return nil
	}
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	d, err := entry.Open(c, in.Err, link.TCP())
	if err != nil {
		return err
	}
	return ignoreCanceled(d.Run(ctx))
}
