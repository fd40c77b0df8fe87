// Command basilmoor-standin runs one stand-in of the platform: its store, a
// model engine, a plain service, or its list of hosts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"basilmoor.example/basilmoor/internal/standin/bmstandincmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := bmstandincmd.FromProcess().Run(ctx)
	stop()
	os.Exit(code)
}
