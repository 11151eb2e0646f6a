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
		Summary: "show the targets that have registered",
		Example: "ledgesill targets -service resolver",
		Options: targetsOptions,
	})
}

func targetsOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c connection
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
		return table(in.Out, func(t *tabwriter.Writer) {
			printTargets(t, list)
		})
	}
}

// printTargets writes a line for each target. What was issued of limits is that of the
// replica that answered.
func printTargets(t io.Writer, list []operator.Target) {
	fmt.Fprintln(t, "TARGET\tSERVICE\tZONE\tADDRESS\tSLOTS\tSTATE\tSOFTWARE\tLIMIT/S\tSAID\tISSUED\tREFUSED ASKS")
	for _, r := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", r.ID, r.Service, r.Zone, r.Address, r.Slots, targetState(r), r.Software, limitCells(r.Limit))
	}
}

func limitCells(l *operator.TargetLimit) string {
	if l == nil {
		return "none\t\t\t"
	}
	return fmt.Sprintf("%g\t%s ago\t%d\t%d", l.PerSecond, millis(l.ReportedAgoMillis), l.Issued, l.DeniedRequests)
}

func targetState(t operator.Target) string {
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
