package command

import (
	"context"
	"flag"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/gateway"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

func init() {
	register(Command{
		Name:    "gateway",
		Summary: "run an entry box that routes requests to registered targets by the routes document",
		Setup:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runGateway },
	})
}

func runGateway(ctx context.Context, in Invocation) error {
	c, parsed, err := config.ReadGateway(in.Arguments, in.Err)
	if parsed.Help {
		return nil
	}
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	d, err := gateway.Open(gateway.Config{
		Name:           c.Name,
		Zone:           c.Zone,
		Region:         c.Region,
		RegionOf:       c.RegionOf,
		CallerAddress:  c.CallerAddress,
		ReadyAddress:   c.ReadyAddress,
		MetricsAddress: c.OperatorAddress,
		PeerAddress:    c.PeerAddress,
		Seeds:          c.Controls,
		Protocol:       gateway.NativeProtocol(),
		DecodeRoutes:   catalog.ParseDocument,
		RetryShare:     c.RetryShare / 100,
		RetryExtra:     c.RetryExtra,
		RetryWindow:    c.RetryWindow,
		Restarted:      true, // the first start of a system can't be told from a later one
		LinkBytes:      c.LinkBytes,
		StopTime:       c.StopTime,
		LogLevel:       c.Level(),
		ReadyHandler:   gateway.ReadyHandler,
	}, in.Out)
	if err != nil {
		return err
	}
	return ignoreCanceled(d.Run(ctx))
}
