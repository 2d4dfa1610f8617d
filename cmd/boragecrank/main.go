// Command boragecrank is the scheduler: every role of the system and the
// operators' tools in one binary.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	// Time zones for VMs without a zone database.
	_ "time/tzdata"

	"github.com/boragecrank/boragecrank/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
