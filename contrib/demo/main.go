// Command demo drives a whole system on loopback that contrib/demo/run.sh has started. It
// applies the settings tree, sends traffic, changes a setting, stops one entry box with
// SIGTERM and kills another. It then prints one table of the requests and one of two
// workspaces, of which one exceeds its limit.
//
//	demo plan LAYOUT DIR COMMAND  prints the processes to start, one a line
//	demo targets LAYOUT           serves the stand-in targets
//	demo drive LAYOUT DIR         drives the running system
//	demo drill LAYOUT DIR         kills, freezes and wipes control replicas
//	demo rest LAYOUT DIR          measures the cost of control when idle and per change
//	demo load LAYOUT DIR          measures lookups and requests of one entry box
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/contrib/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: demo plan|targets|drive|drill|rest|load LAYOUT [DIR]")
	}
	l, err := layout.ByName(args[1])
	if err != nil {
		return err
	}
	switch args[0] {
	case "plan":
		printPlan(l, args[2], len(args) > 3 && args[3] == "drive")
		return nil
	case "targets":
		return serveTargets(ctx, l)
	case "drive":
		return drive(ctx, l, args[2])
	case "drill":
		return drill(ctx, l, args[2])
	case "rest":
		return measureIdle(ctx, l, args[2])
	case "load":
		return measureLoad(ctx, l, args[2])
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// printPlan prints the name and the arguments of each process, one process a line. The boxes of
// the workspaces run for drive only, as they would add to what the others measure.
func printPlan(l layout.Layout, dir string, workspaces bool) {
	for _, c := range l.Controls {
		fmt.Println(c.Name, strings.Join(l.ControlArguments(c, dir), " "))
	}
	for _, b := range l.Boxes {
		fmt.Println(b.Name, strings.Join(l.EntryArguments(b), " "))
	}
	if !workspaces {
		return
	}
	for i := range gateways {
		fmt.Println(gatewayName(i), strings.Join(gatewayArguments(l, i), " "))
	}
}

const (
	adminAddress      = "127.0.0.1:8999"
	targetConnections = 330
)

// serveTargets serves all targets of a layout, and what they counted on adminAddress.
func serveTargets(ctx context.Context, l layout.Layout) error {
	var targets []*standin.Target
	ended := make(chan error, len(l.Targets))
	for _, g := range l.Targets {
		t := standin.NewTarget(standin.TargetConfig{
			Name: g.Name, Slots: g.Slots, Connections: targetConnections, ServiceTime: g.ServiceTime,
		})
		listener, err := net.Listen("tcp", g.Address)
		if err != nil {
			return err
		}
		targets = append(targets, t)
		go func() { ended <- t.Serve(ctx, listener) }()
	}
	admin := &http.Server{Addr: adminAddress, Handler: runsHandler(targets), ReadHeaderTimeout: time.Second}
	go func() { ended <- admin.ListenAndServe() }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return admin.Close()
	}
}
