package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
)

func init() {
	register(Command{
		Name:      "rollout",
		Summary:   "move a service's requests to another version of its targets, show roll-outs with their evidence, or abort one",
		Arguments: "start SERVICE VERSION | status [SERVICE] | abort SERVICE",
		Example:   "ledgesill rollout -duration 2m start resolver v2\nledgesill rollout status resolver\nledgesill rollout abort resolver",
		Setup:     rolloutOptions,
	})
}

const defaultRolloutDuration = 2 * time.Minute

// rolloutUsage is the message for arguments that name no action.
const rolloutUsage = "rollout needs start with a service and a version, status, or abort with a service"

func rolloutOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	duration := fs.Duration("duration", defaultRolloutDuration, "time within which a good version gets all requests, 1s to 24h")
	return func(ctx context.Context, in Invocation) error {
		if len(in.Arguments) == 0 {
			return usageError(rolloutUsage)
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		action, arguments := in.Arguments[0], in.Arguments[1:]
		switch {
		case action == "start" && len(arguments) == 2:
			order := operator.Rollout{Service: arguments[0], TargetVersion: arguments[1], DurationMillis: duration.Milliseconds()}
			return sendRolloutOrder(ctx, in, &c, client, "/v1/rollouts", order)
		case action == "abort" && len(arguments) == 1:
			return sendRolloutOrder(ctx, in, &c, client, "/v1/rollouts/"+url.PathEscape(arguments[0])+"/abort", nil)
		case action == "status" && len(arguments) <= 1:
			return showRollouts(ctx, in, &c, client, arguments)
		}
		return usageError(rolloutUsage)
	}
}

func sendRolloutOrder(ctx context.Context, in Invocation, c *clientFlags, client *operator.Client, path string, body any) error {
	var got operator.Rollout
	if err := client.Do(ctx, http.MethodPost, path, body, &got); err != nil {
		return err
	}
	return printRollouts(in, c, []operator.Rollout{got})
}

// showRollouts prints the latest roll-outs, of one service if it is named.
func showRollouts(ctx context.Context, in Invocation, c *clientFlags, client *operator.Client, services []string) error {
	var list []operator.Rollout
	if err := client.Do(ctx, http.MethodGet, "/v1/rollouts", nil, &list); err != nil {
		return err
	}
	var out []operator.Rollout
	for _, r := range list {
		if len(services) == 0 || r.Service == services[0] {
			out = append(out, r)
		}
	}
	if len(out) == 0 && len(services) > 0 {
		return &ExitError{ExitRejected, fmt.Errorf("service %s has had no roll-out", services[0])}
	}
	return printRollouts(in, c, out)
}

func printRollouts(in Invocation, c *clientFlags, list []operator.Rollout) error {
	if c.JSON {
		return printJSON(in.Out, list)
	}
	return printTable(in.Out, func(t *tabwriter.Writer) {
		for _, r := range list {
			const percent = 100
			fmt.Fprintf(t, "%s\tto %s\t%s\tat most %.0f %% of the requests\tstep %d\t%s\n", r.Service, r.TargetVersion, r.Phase, r.Share*percent, r.Step, r.Reason)
			for _, e := range r.Routes {
				fmt.Fprintf(t, "\troute %s\t%d of %d responses bad\tother versions %d of %d\t\t\n", e.Route, e.Bad, e.Answers, e.PreviousBad, e.PreviousAnswers)
			}
		}
	})
}
