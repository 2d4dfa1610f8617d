// Command boragecrank contains all roles of the scheduler and the operators'
// tools.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	// Embeds the time zone database, which may be missing on VMs.
	_ "time/tzdata"

	"github.com/boragecrank/boragecrank/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
