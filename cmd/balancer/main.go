// Command balancer is a load-balancing proxy node.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"meadowsill/internal/node"
)

const gcPercent = 400 // the heap is small; fewer collections leave more of the single core for requests

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func run() error {
	// The handler is never removed: a second SIGTERM would otherwise kill the process while it ends because of the first.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1) // any number of SIGHUPs that arrive during a reload need only one more reload
	signal.Notify(hup, syscall.SIGHUP)
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	reload := func() (*node.Config, error) { return node.ReloadConfig(os.Getenv) }
	return node.Run(ctx, c, hup, reload, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
