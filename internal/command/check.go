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
		Name:      "check",
		Summary:   "check a tree file, or the settings of a daemon, without a running system",
		Arguments: "tree.json | control [flags] | entry [flags]",
		Example:   "ledgesill check tree.json\nledgesill check entry -name fp-1 -caller-address 127.0.0.1:8001",
		Options:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runCheck },
	})
}

func runCheck(_ context.Context, in Invocation) error {
	if len(in.Arguments) == 0 {
		return usageError("check needs a tree file, or control or entry with flags")
	}
	switch in.Arguments[0] {
	case "control":
		_, _, err := config.ReadControl(in.Arguments[1:], in.Out)
		return checked(in.Out, "the settings of the control replica", err)
	case "entry":
		_, _, err := config.ReadEntry(in.Arguments[1:], in.Out)
		return checked(in.Out, "the settings of the entry box", err)
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
	return checked(in.Out, what, nil)
}

func checked(w io.Writer, what string, err error) error {
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	fmt.Fprintln(w, what, "- no fault found")
	return nil
}
