package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/quarantine"
)

func init() {
	register(Command{
		Name:    "quarantine",
		Summary: "list the requests that are quarantined or on probation because targets crashed while running them, or release one",
		Example: "ledgesill quarantine\nledgesill quarantine -release 0123456789abcdef0123456789abcdef",
		Setup:   quarantineOptions,
	})
}

func quarantineOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	release := fs.String("release", "", "digest of a request to release; it is quarantined again after three more targets crashed")
	return func(ctx context.Context, in Invocation) error {
		if *release != "" {
			if _, err := quarantine.ParseDigest(*release); err != nil {
				return usageError("quarantine -release: %v", err)
			}
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		if *release != "" {
			var got operator.Quarantined
			if err := client.Do(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(*release), nil, &got); err != nil {
				return err
			}
		}
		var got []operator.Quarantined
		if err := client.Do(ctx, http.MethodGet, "/v1/quarantine", nil, &got); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(in.Out, got)
		}
		return printQuarantine(in, got)
	}
}

func printQuarantine(in Invocation, got []operator.Quarantined) error {
	if len(got) == 0 {
		_, err := fmt.Fprintln(in.Out, "no request is quarantined or on probation")
		return err
	}
	return printTable(in.Out, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "DIGEST\tSTATE\tCALLERS\tROUTE\tSERVICE\tUNTIL\tCRASHED TARGETS")
		for _, q := range got {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", q.Digest, choose(q.Held, "held", "watched"), choose(q.AllCallers, "all", "one"),
				q.Route, q.Service, time.UnixMilli(q.UntilUnixMilli).UTC().Format(time.RFC3339), strings.Join(q.CrashedTargets, ", "))
		}
	})
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
