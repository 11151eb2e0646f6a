package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/lookup"
)

func init() {
	register(Command{
		Name:    "shift",
		Summary: "move a share of a home region's callers to another region in steps",
		Example: "ledgesill shift -service resolver -home us-east -from us-east -to eu-west -percent 30 -wait",
		Options: shiftOptions,
	})
	register(Command{
		Name:    "shifts",
		Summary: "show the shifts that run and the latest that have ended",
		Options: shiftsOptions,
	})
	register(Command{
		Name:      "abort",
		Summary:   "end a running shift where it stands",
		Arguments: "id",
		Options:   abortOptions,
	})
}

const progressInterval = 500 * time.Millisecond

func shiftOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c connection
	c.register(fs)
	var s operator.Shift
	fs.StringVar(&s.ID, "id", "", "id of the shift; a resend with the same id starts nothing anew (default: a new one)")
	fs.StringVar(&s.Service, "service", "", "service whose callers move")
	fs.StringVar(&s.Home, "home", "", "home region of the callers")
	fs.StringVar(&s.From, "from", "", "region that they leave (default: the home region)")
	fs.StringVar(&s.To, "to", "", "region that they move to")
	percent := fs.Float64("percent", 0, "share of the home region's callers, above 0 to 100")
	wait := fs.Bool("wait", false, "show the progress until the shift has ended")
	return func(ctx context.Context, in Invocation) error {
		if s.Service == "" || s.Home == "" || s.To == "" || *percent <= 0 || *percent > 100 {
			return usageError("shift needs -service, -home, -to and -percent above 0 to 100")
		}
		if s.From == "" {
			s.From = s.Home
		}
		if s.ID == "" {
			s.ID = rand.Text()
		}
		s.Points = uint32(*percent * lookup.Points / 100)
		return startShift(ctx, in, &c, s, *wait)
	}
}

func startShift(ctx context.Context, in Invocation, c *connection, s operator.Shift, wait bool) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var got operator.Shift
	if err := client.Do(ctx, http.MethodPost, "/v1/shifts", s, &got); err != nil {
		return err
	}
	if !wait {
		return printShifts(in, c, []operator.Shift{got})
	}
	return followShift(ctx, in, c, client, s.ID)
}

// followShift prints each change of a shift until it has ended.
func followShift(ctx context.Context, in Invocation, c *connection, client *operator.Client, id string) error {
	var last operator.Shift
	for {
		var list []operator.Shift
		if err := client.Do(ctx, http.MethodGet, "/v1/shifts", nil, &list); err != nil {
			return err
		}
		for _, s := range list {
			if s.ID != id || s == last {
				continue
			}
			last = s
			if err := printShifts(in, c, []operator.Shift{s}); err != nil {
				return err
			}
		}
		switch last.Phase {
		case "finished":
			return nil
		case "aborted":
			return &ExitError{ExitRefused, fmt.Errorf("shift %s was aborted: %s", id, last.Reason)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(progressInterval):
		}
	}
}

func printShifts(in Invocation, c *connection, list []operator.Shift) error {
	if c.JSON {
		return printJSON(in.Out, list)
	}
	return table(in.Out, func(t *tabwriter.Writer) {
		for _, s := range list {
			fmt.Fprintf(t, "%s\t%s\t%s of %s: %s to %s\t%d of %d points in %d steps\t%s\n",
				s.ID, s.Phase, s.Service, s.Home, s.From, s.To, s.Moved, s.Points, s.Steps, s.Reason)
		}
	})
}

func shiftsOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c connection
	c.register(fs)
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		var list []operator.Shift
		if err := client.Do(ctx, http.MethodGet, "/v1/shifts", nil, &list); err != nil {
			return err
		}
		return printShifts(in, &c, list)
	}
}

func abortOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c connection
	c.register(fs)
	return func(ctx context.Context, in Invocation) error {
		if len(in.Arguments) != 1 {
			return usageError("abort needs the id of one shift")
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		var got operator.Shift
		if err := client.Do(ctx, http.MethodPost, "/v1/shifts/"+in.Arguments[0]+"/abort", nil, &got); err != nil {
			return err
		}
		return printShifts(in, &c, []operator.Shift{got})
	}
}
