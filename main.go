// Command ledgesill steers traffic between regions. It contains the daemons of the
// control replicas and entry boxes and the commands for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"ledgesill.dev/ledgesill/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Main(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
