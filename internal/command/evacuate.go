package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"ledgesill.dev/ledgesill/internal/operator"
)

func init() {
	register(Command{
		Name:      "evacuate",
		Summary:   "stop sending requests to the targets of availability zones; without arguments, list the evacuated zones",
		Arguments: "[zone]...",
		Example:   "ledgesill evacuate us-east-a\nledgesill evacuate -withdraw us-east-a",
		Setup:     evacuateOptions,
	})
}

func evacuateOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	withdraw := fs.Bool("withdraw", false, "end the evacuation of the zones; their targets warm up first")
	return func(ctx context.Context, in Invocation) error {
		if *withdraw && len(in.Arguments) == 0 {
			return usageError("evacuate -withdraw needs the name of a zone")
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		method := http.MethodPut
		if *withdraw {
			method = http.MethodDelete
		}
		for _, zone := range in.Arguments {
			var got operator.Evacuations
			if err := client.Do(ctx, method, "/v1/evacuations/"+url.PathEscape(zone), nil, &got); err != nil {
				return err
			}
		}
		return printEvacuations(ctx, in, &c, client)
	}
}

func printEvacuations(ctx context.Context, in Invocation, c *clientFlags, client *operator.Client) error {
	var got operator.Evacuations
	if err := client.Do(ctx, http.MethodGet, "/v1/evacuations", nil, &got); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(in.Out, got)
	}
	if len(got.Zones) == 0 {
		_, err := fmt.Fprintln(in.Out, "no zone is evacuated")
		return err
	}
	_, err := fmt.Fprintln(in.Out, "evacuated:", strings.Join(got.Zones, ", "))
	return err
}
