package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/pkg/settings"
)

func init() {
	register(Command{
		Name:        "check",
		Summary:     "validate a tree file, a routes document or the settings of a daemon, without a running system",
		Arguments:   "tree.json | routes [flags] routes.json | platform-routes [flags] routes.json | control [flags] | entry [flags] | gateway [flags]",
		Example:     "ledgesill check tree.json\nledgesill check routes -against active.json routes.json\nledgesill check entry -name fp-1 -caller-address 127.0.0.1:8001",
		Setup:       func(*flag.FlagSet) func(context.Context, Invocation) error { return runCheck },
		Completions: func() []string { return []string{"routes", "platform-routes", "control", "entry", "gateway"} },
	})
}

func runCheck(ctx context.Context, in Invocation) error {
	if len(in.Arguments) == 0 {
		return usageError("check needs a tree file, routes with a routes document, or control, entry or gateway with flags")
	}
	switch in.Arguments[0] {
	case "control":
		_, _, err := config.ReadControl(in.Arguments[1:], in.Out)
		return reportCheck(in.Out, "the settings of the control replica", err)
	case "entry":
		_, _, err := config.ReadEntry(in.Arguments[1:], in.Out)
		return reportCheck(in.Out, "the settings of the entry box", err)
	case "gateway":
		_, _, err := config.ReadGateway(in.Arguments[1:], in.Out)
		return reportCheck(in.Out, "the settings of the gateway", err)
	case "routes", "platform-routes":
		return checkRoutes(ctx, in)
	}
	edits, err := readTreeFile(in.Arguments[0])
	if err != nil {
		return err
	}
	t, err := settings.Tree{}.WithEdits(edits)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("%s: %w", in.Arguments[0], err)}
	}
	what := fmt.Sprintf("%s: %d settings, %d availability zones, %d services", in.Arguments[0], len(edits), len(t.Zones()), len(t.Services()))
	return reportCheck(in.Out, what, nil)
}

// reportCheck prints that what was checked is valid, or returns its error.
func reportCheck(w io.Writer, what string, err error) error {
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	fmt.Fprintln(w, what, "- valid")
	return nil
}
