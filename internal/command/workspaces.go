package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/internal/operator"
)

func init() {
	register(Command{
		Name:    "workspaces",
		Summary: "show the rate limits of workspaces and their usage",
		Example: "ledgesill workspaces -workspace shop -parts",
		Setup:   workspacesOptions,
	})
}

func workspacesOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	name := fs.String("workspace", "", "only this workspace")
	parts := fs.Bool("parts", false, "show the share of each limit that each control replica holds")
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		var got operator.Workspaces
		if err := client.Do(ctx, http.MethodGet, "/v1/workspaces", nil, &got); err != nil {
			return err
		}
		if *name != "" {
			got.Workspaces = filterWorkspaces(got.Workspaces, *name)
		}
		if c.JSON {
			return printJSON(in.Out, got)
		}
		return printWorkspaces(in, got, *parts)
	}
}

func filterWorkspaces(list []operator.WorkspaceUsage, name string) []operator.WorkspaceUsage {
	out := []operator.WorkspaceUsage{}
	for _, w := range list {
		if w.Name == name {
			out = append(out, w)
		}
	}
	return out
}

func printWorkspaces(in Invocation, got operator.Workspaces, parts bool) error {
	if len(got.Missing) > 0 {
		fmt.Fprintf(in.Out, "not counted, as they do not answer: %s\n\n", strings.Join(got.Missing, ", "))
	}
	return printTable(in.Out, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "WORKSPACE\tLIMIT/S\tBURST\tISSUED/S\tREFUSED ASKS/S\tISSUED\tREFUSED ASKS")
		for _, w := range got.Workspaces {
			fmt.Fprintf(t, "%s\t%s\t%g\t%.1f\t%.1f\t%d\t%d\n", w.Name, formatWorkspaceLimit(w.PerSecond), w.Burst, w.IssuedPerSecond, w.DeniedPerSecond, w.Issued, w.Denied)
		}
		if !parts {
			return
		}
		fmt.Fprintln(t, "\nWORKSPACE\tREPLICA\tPART/S\tROOM\tISSUED/S\tREFUSED ASKS/S\tDOCUMENT\tHEARD OF CONTROL")
		for _, w := range got.Workspaces {
			for _, p := range w.Shares {
				fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%s ago\n", w.Name, p.Replica, p.PerSecond, p.Available, p.IssuedPerSecond, p.DeniedPerSecond, p.Number, formatMillis(p.AgeMillis))
			}
		}
	})
}

func formatWorkspaceLimit(perSecond float64) string {
	if perSecond <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g", perSecond)
}
