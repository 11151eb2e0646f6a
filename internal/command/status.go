package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
)

func init() {
	register(Command{
		Name:    "status",
		Summary: "show the state of the system; the first line says whether an operator is needed",
		Example: "ledgesill status -json",
		Setup:   statusOptions,
	})
}

func statusOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	local := fs.Bool("local", false, "show the state known to the first replica of -servers, even if it has no quorum")
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		path := "/v1/status"
		if *local {
			path += "?local=true"
		}
		var s operator.Status
		if err := client.Do(ctx, http.MethodGet, path, nil, &s); err != nil {
			return err
		}
		if c.JSON {
			err = printJSON(in.Out, s)
		} else {
			err = printStatus(in, s)
		}
		if err == nil && len(s.NeedsAttention) > 0 {
			return &ExitError{ExitAttention, nil}
		}
		return err
	}
}

func printStatus(in Invocation, s operator.Status) error {
	if len(s.NeedsAttention) == 0 {
		fmt.Fprintln(in.Out, "healthy, no attention needed")
	} else {
		fmt.Fprintf(in.Out, "needs attention: %s\n", strings.Join(s.NeedsAttention, "; "))
	}
	fmt.Fprintf(in.Out, "%s is %s in term %d, commit %d, version %d, settings version %d\n\n", s.Process, s.Role, s.Term, s.Commit, s.Version, s.SettingsVersion)
	return printTable(in.Out, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "REPLICA\tADDRESS\tVOTER\tMATCH INDEX\tSILENT FOR")
		for _, r := range s.Replicas {
			fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%s\n", r.ID, r.Address, r.Voter, r.Match, formatMillis(r.SilenceMillis))
		}
		for _, r := range s.Repairs {
			fmt.Fprintf(t, "repair of %s\t\t\t%s\t\n", r.ID, r.Step)
		}
		fmt.Fprintln(t, "\nBOX\tZONE\tVERSION\tVERSIONS BEHIND\tLAG\tSILENT FOR\tPOOLS (BUSY/SLOTS)")
		for _, b := range s.Boxes {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", b.Name, b.Zone, b.Version, b.Behind, formatMillis(b.LagMillis), formatMillis(b.SilentMillis), formatPools(b))
		}
	})
}

func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func formatPools(b operator.Box) string {
	if !b.Reported {
		return "no report"
	}
	var out []string
	for _, p := range b.Pools {
		out = append(out, fmt.Sprintf("%s %d/%d", p.Service, p.Busy, p.Capacity))
	}
	if b.Stopping {
		out = append(out, "stopping")
	}
	return strings.Join(out, ", ")
}
