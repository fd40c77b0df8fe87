// Command basilmoor-standin runs one stand-in for a component of the platform:
// the store, a model engine, a plain service or the host list.
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
