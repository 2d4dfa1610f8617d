// Package cli implements the command line, with the roles and the operators'
// commands as subcommands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := &cli.Command{
		Name:           "boragecrank",
		Usage:          "schedule latency-critical and batch work on the same VMs",
		Description:    rootDescription,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       slices.Concat(operatorCommands(), roleCommands(), jobRoleCommands(), []*cli.Command{explainCommand(), devCommand()}),
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "boragecrank:", err)
		return exitCode(err)
	}
	return 0
}

// exitCode maps an error to an exit code. An error that is not an *apperr.Error
// comes from the command-line parser and counts as bad usage.
func exitCode(err error) int {
	var typed *apperr.Error
	if errors.As(err, &typed) {
		return typed.Kind.ExitCode()
	}
	return apperr.KindUsage.ExitCode()
}
