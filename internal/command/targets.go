package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/internal/operator"
)

func init() {
	register(Command{
		Name:    "targets",
		Summary: "show the registered targets",
		Example: "ledgesill targets -service resolver",
		Setup:   targetsOptions,
	})
}

func targetsOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	service := fs.String("service", "", "only the targets of this service")
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		var all []operator.Target
		if err := client.Do(ctx, http.MethodGet, "/v1/targets", nil, &all); err != nil {
			return err
		}
		list := []operator.Target{}
		for _, t := range all {
			if *service == "" || t.Service == *service {
				list = append(list, t)
			}
		}
		if c.JSON {
			return printJSON(in.Out, list)
		}
		return printTable(in.Out, func(t *tabwriter.Writer) {
			printTargets(t, list)
		})
	}
}

// printTargets writes a line for each target. The permits issued and the permit
// requests denied are those of the replica that answered.
func printTargets(t io.Writer, list []operator.Target) {
	fmt.Fprintln(t, "TARGET\tSERVICE\tZONE\tADDRESS\tSLOTS\tSTATE\tSOFTWARE\tLIMIT/S\tSAID\tISSUED\tREFUSED ASKS")
	for _, r := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.ID, r.Service, r.Zone, r.Address, r.Slots, formatTargetState(r), r.Software, formatTargetLimit(r.Limit))
	}
}

func formatTargetLimit(l *operator.TargetLimit) string {
	if l == nil {
		return "none\t\t\t"
	}
	return fmt.Sprintf("%g\t%s ago\t%d\t%d", l.PerSecond, formatMillis(l.ReportedAgoMillis), l.Issued, l.DeniedRequests)
}

func formatTargetState(t operator.Target) string {
	switch {
	case t.Draining:
		return "draining"
	case t.Leaving:
		return "leaving"
	case t.WarmupMillis > 0:
		return "cold"
	}
	return "serving"
}
