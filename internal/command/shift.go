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
		Setup:   shiftOptions,
	})
	register(Command{
		Name:    "shifts",
		Summary: "show the running shifts and those that ended last",
		Setup:   shiftsOptions,
	})
	register(Command{
		Name:      "abort",
		Summary:   "stop a running shift; callers that have moved stay where they are",
		Arguments: "id",
		Setup:     abortOptions,
	})
}

// shiftPollInterval is how often -wait asks for the progress of a shift.
const shiftPollInterval = 500 * time.Millisecond

func shiftOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	var s operator.Shift
	fs.StringVar(&s.ID, "id", "", "id of the shift; sending it again with the same id does not start another shift (default: a random one)")
	fs.StringVar(&s.Service, "service", "", "service whose callers are moved")
	fs.StringVar(&s.Home, "home", "", "home region of the callers")
	fs.StringVar(&s.From, "from", "", "region to move callers from (default: the home region)")
	fs.StringVar(&s.To, "to", "", "region to move callers to")
	percent := fs.Float64("percent", 0, "percentage of the home region's callers, above 0 to 100")
	wait := fs.Bool("wait", false, "show the progress and wait until the shift has ended")
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

func startShift(ctx context.Context, in Invocation, c *clientFlags, s operator.Shift, wait bool) error {
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
	return waitForShift(ctx, in, c, client, s.ID)
}

// waitForShift waits until a shift has ended and prints each change of its state.
func waitForShift(ctx context.Context, in Invocation, c *clientFlags, client *operator.Client, id string) error {
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
			return &ExitError{ExitRejected, fmt.Errorf("shift %s was aborted: %s", id, last.Reason)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shiftPollInterval):
		}
	}
}

func printShifts(in Invocation, c *clientFlags, list []operator.Shift) error {
	if c.JSON {
		return printJSON(in.Out, list)
	}
	return printTable(in.Out, func(t *tabwriter.Writer) {
		for _, s := range list {
			fmt.Fprintf(t, "%s\t%s\t%s of %s: %s to %s\t%d of %d points in %d steps\t%s\n",
				s.ID, s.Phase, s.Service, s.Home, s.From, s.To, s.Moved, s.Points, s.Steps, s.Reason)
		}
	})
}

func shiftsOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
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
	var c clientFlags
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
