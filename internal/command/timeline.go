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
)

func init() {
	register(Command{
		Name:    "timeline",
		Summary: "show the events of all processes in timestamp order",
		Example: "ledgesill timeline -change rollout-7\nledgesill timeline -box fp-1",
		Setup:   timelineOptions,
	})
}

func timelineOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	request := fs.String("request", "", "only events of this request id")
	change := fs.String("change", "", "only events of this change id")
	shift := fs.String("shift", "", "only events of this shift id")
	box := fs.String("box", "", "only events of this entry box or control replica")
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		query := url.Values{"request": {*request}, "change": {*change}, "shift": {*shift}, "box": {*box}}
		var got operator.Timeline
		if err := client.Do(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, &got); err != nil {
			return err
		}
		if c.JSON {
			return printJSON(in.Out, got)
		}
		return printTimeline(in, got)
	}
}

func printTimeline(in Invocation, got operator.Timeline) error {
	if len(got.Missing) > 0 {
		fmt.Fprintf(in.Err, "no response from %s; their events are missing\n", strings.Join(got.Missing, ", "))
	}
	return printTable(in.Out, func(t *tabwriter.Writer) {
		for _, e := range got.Events {
			at := time.UnixMilli(e.TimeUnixMilli).UTC().Format("2006-01-02T15:04:05.000Z")
			fmt.Fprintf(t, "%s.%d\t%s\t%s\t%s\n", at, e.Logical, e.Process, e.Kind, formatEventDetails(e))
		}
	})
}

func formatEventDetails(e operator.Event) string {
	var out []string
	add := func(name, value string) {
		if value != "" {
			out = append(out, name+value)
		}
	}
	add("request ", e.Request)
	add("change ", e.Change)
	add("shift ", e.Shift)
	add("box ", e.Box)
	add("", e.Detail)
	return strings.Join(out, ", ")
}
