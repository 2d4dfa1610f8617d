package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
	"github.com/boragecrank/boragecrank/internal/settings"
)

// rootDescription is the description in the help of the root command.
const rootDescription = `Operators' commands call the operators' API of an entry. Give its address with
--entry or BORAGECRANK_ENTRY, and the token with --token-file or
BORAGECRANK_OPERATORS_TOKEN.

A change of the system is a change of inventory files:
   boragecrank check inventory/     find faults, without a running system
   boragecrank diff inventory/      show what would change
   boragecrank apply inventory/     make it take effect

Exit codes:
   0  done
   1  failed, for example a job with failed tasks
   2  bad usage
   3  refused, limited, unauthorized or not available now
   4  unreachable or no answer in time
   5  conflict with another change
   6  invalid settings or inventory
   7  not found
   8  outcome uncertain: the message says how to go on safely`

const (
	envEntry = "BORAGECRANK_ENTRY"
	envToken = "BORAGECRANK_OPERATORS_TOKEN"

	flagEntry     = "entry"
	flagTokenFile = "token-file"
	flagTimeout   = "timeout"
	flagJSON      = "json"
	flagWait      = "wait"
	flagWaitLimit = "wait-limit"

	categoryChange  = "Change"
	categoryObserve = "Observe"
	categoryOffline = "Without a running system"
)

// kindFailed is the kind of an error about a job with failed, cancelled or
// infeasible tasks, or about an interrupted wait. Its exit code is 1.
const kindFailed apperr.Kind = "failed"

// operatorCommands returns the operators' commands.
func operatorCommands() []*cli.Command {
	commands := []*cli.Command{
		addAPIFlags(checkCommand()),
		eventsCommand(),
		versionCommand(),
		addAPIFlags(diffCommand()),
		addAPIFlags(applyCommand()),
		addAPIFlags(submitCommand()),
		addAPIFlags(cancelCommand()),
		addAPIFlags(drainCommand()),
		addAPIFlags(evacuateCommand()),
		addAPIFlags(statusCommand()),
		addAPIFlags(jobsCommand()),
		addAPIFlags(configCommand()),
	}
	for _, c := range commands {
		c.OnUsageError = onUsageError
		c.HideHelpCommand = true
	}
	return commands
}

// onUsageError converts an error of the command-line parser to an error of kind
// usage. Without this hook the library would print the help page before the
// message.
func onUsageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return newUsageError(cmd, err.Error())
}

func newUsageError(cmd *cli.Command, problem string) error {
	return apperr.New(apperr.KindUsage, "command "+cmd.Name, problem, "see `boragecrank "+cmd.Name+" --help`")
}

// addAPIFlags adds the flags of a command that calls the operators' API.
func addAPIFlags(c *cli.Command) *cli.Command {
	c.Flags = append(c.Flags,
		&cli.StringSliceFlag{
			Name: flagEntry, Sources: cli.EnvVars(envEntry),
			Usage: "base `URL` of the operators' API of an entry; several, separated by commas or repeated, are tried in order",
		},
		&cli.StringFlag{
			Name:  flagTokenFile,
			Usage: "`FILE` with the operators' token, mode 600 or 640; without it the token is taken from $" + envToken,
		},
		&cli.DurationFlag{Name: flagTimeout, Value: operatorapi.DefaultTimeout, Usage: "time limit of one call to one entry"},
	)
	return c
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagJSON, Usage: "print JSON instead of text"}
}

// newClient returns a client of the operators' API that is configured by the
// flags and environment variables.
func newClient(cmd *cli.Command) (*operatorapi.Client, error) {
	token := strings.TrimSpace(os.Getenv(envToken))
	if path := cmd.String(flagTokenFile); path != "" {
		secret, err := settings.ReadSecret(path)
		if err != nil {
			return nil, apperr.Wrap(err, apperr.KindUsage, "token file "+path, "cannot be used", "give a file that holds the token and has mode 600")
		}
		token = secret.Value()
	}
	if cmd.Duration(flagTimeout) <= 0 {
		return nil, newUsageError(cmd, "--timeout must be above 0")
	}
	return operatorapi.New(operatorapi.Options{
		Entries: cmd.StringSlice(flagEntry),
		Token:   token,
		Timeout: cmd.Duration(flagTimeout),
	})
}

func stdout(cmd *cli.Command) io.Writer { return cmd.Root().Writer }

func stderr(cmd *cli.Command) io.Writer { return cmd.Root().ErrWriter }

// printJSON writes a value as indented JSON.
func printJSON(cmd *cli.Command, value any) error {
	enc := json.NewEncoder(stdout(cmd))
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// printTable writes rows in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

// formatCount returns a number with its noun, for example "1 fault" or "2 faults".
func formatCount(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// dashIfEmpty returns "-" for an empty table cell.
func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// rejectArguments returns a usage error if arguments are given to a command
// that takes none.
func rejectArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return newUsageError(cmd, fmt.Sprintf("unexpected argument %q", cmd.Args().First()))
	}
	return nil
}

// sleep waits for d. If ctx ends earlier, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
