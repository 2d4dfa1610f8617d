package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/inventory"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
)

const (
	// maxReadBackAttempts and readBackInterval limit how long apply reads back the
	// accepted configuration after a lost response. An entry refreshes its copy
	// every second, and a call to an entry under load can take a few seconds.
	maxReadBackAttempts = 5
	readBackInterval    = time.Second
)

// applyResult is the JSON output of apply.
type applyResult struct {
	// Version is the version in effect after the command.
	Version types.Version `json:"version"`
	// Changed reports whether a new version was accepted.
	Changed bool               `json:"changed"`
	DryRun  bool               `json:"dry_run"`
	Changes []inventory.Change `json:"changes"`
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Category:  categoryChange,
		Usage:     "put an inventory into effect",
		ArgsUsage: "PATH...",
		Description: `Reads all inventory files, compares them with the accepted configuration, shows
the difference and sends the result. A PATH is a file or a directory; all files
of the inventory are given every time, since what they leave out is removed.

Evacuations by command (` + "`boragecrank evacuate`" + `) continue, unless their failure
domain is removed.

The result is accepted only if the configuration is still the one that the
difference was made from. If another operator was faster, the command ends with
exit code 5 and nothing is changed: merge the files of the other change, look at
` + "`boragecrank diff`" + ` and apply again.

Examples:
   boragecrank apply inventory/
   boragecrank apply --dry-run inventory/ rules.toml
   boragecrank apply --base 41 inventory/    only if version 41 is still in effect`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the files were edited from; another accepted version is a conflict"},
			&cli.BoolFlag{Name: "dry-run", Usage: "show the difference and send nothing"},
			jsonFlag(),
		},
		Action: runApply,
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Category:  categoryObserve,
		Usage:     "compare an inventory with the accepted configuration",
		ArgsUsage: "PATH...",
		Description: `Shows what ` + "`boragecrank apply`" + ` would change: + added, - removed, ~ changed with
old and new value. A PATH is a file or a directory; all files of the inventory
are given together. Evacuations by command, which apply keeps, are listed too.
Exit code 0 with and without differences.

Examples:
   boragecrank diff inventory/
   boragecrank diff inventory/ --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: runDiff,
	}
}

// diffResult is the JSON output of diff.
type diffResult struct {
	// Version is the accepted version; 0 if there is none.
	Version types.Version      `json:"version"`
	Changes []inventory.Change `json:"changes"`
	// Evacuated lists the failure domains that are evacuated by command. Applying
	// the inventory keeps these evacuations.
	Evacuated []types.FailureDomain `json:"evacuated_by_command"`
}

func runDiff(ctx context.Context, cmd *cli.Command) error {
	source, err := loadInventory(cmd)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, next, err := compileNext(ctx, cmd, client, source)
	if err != nil {
		return err
	}
	out := diffResult{
		Version: versionOf(current), Changes: inventory.Diff(current, next),
		Evacuated: append([]types.FailureDomain{}, next.Rules().EvacuateByCommand...),
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, out)
	}
	fmt.Fprint(stdout(cmd), inventory.ChangesText(out.Changes))
	for _, d := range out.Evacuated {
		fmt.Fprintf(stdout(cmd), "failure domain %s stays evacuated by command\n", d)
	}
	fmt.Fprintf(stdout(cmd), "%s to version %d\n", formatCount(len(out.Changes), "change"), out.Version)
	return nil
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	source, err := loadInventory(cmd)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, next, err := compileNext(ctx, cmd, client, source)
	if err != nil {
		return err
	}
	if base := types.Version(cmd.Uint64("base")); cmd.IsSet("base") && base != versionOf(current) {
		return apperr.New(apperr.KindConflict, "configuration",
			fmt.Sprintf("version %d is in effect, but the files were edited from version %d", versionOf(current), base),
			fmt.Sprintf("merge the other change, look at `boragecrank diff`, then apply with --base %d", versionOf(current)))
	}
	out := applyResult{Version: versionOf(current), DryRun: cmd.Bool("dry-run"), Changes: inventory.Diff(current, next)}
	same := current != nil && current.SameContent(next)
	if !cmd.Bool(flagJSON) {
		fmt.Fprint(stdout(cmd), inventory.ChangesText(out.Changes))
	}
	if !same && !out.DryRun {
		if err := sendConfig(ctx, client, versionOf(current), next); err != nil {
			return err
		}
		out.Version, out.Changed = next.Version(), true
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, out)
	}
	switch {
	case same:
		fmt.Fprintf(stdout(cmd), "no change: version %d is in effect\n", out.Version)
	case out.DryRun:
		fmt.Fprintf(stdout(cmd), "dry run: nothing was sent, version %d is in effect\n", out.Version)
	default:
		fmt.Fprintf(stdout(cmd), "accepted version %d\n", out.Version)
	}
	return nil
}

// compileNext returns the accepted configuration, or nil if there is none, and
// the configuration that the inventory compiles to as its successor.
func compileNext(
	ctx context.Context, cmd *cli.Command, client *operatorapi.Client, source *inventory.Source,
) (current, next *config.Config, err error) {
	current, err = client.Config(ctx)
	if err != nil {
		return nil, nil, err
	}
	next, report := source.Compile(current)
	return current, next, reportFindings(cmd, report)
}

// sendConfig sends a configuration. If the response is lost, it reads back the
// accepted configuration, which in most cases shows whether next was accepted.
func sendConfig(ctx context.Context, client *operatorapi.Client, base types.Version, next *config.Config) error {
	_, err := client.PutConfig(ctx, base, next)
	if apperr.KindOf(err) != apperr.KindUncertain {
		return err
	}
	for range maxReadBackAttempts {
		if sleep(ctx, readBackInterval) != nil {
			return err
		}
		seen, readErr := client.Config(ctx)
		if readErr != nil || versionOf(seen) < next.Version() {
			continue
		}
		// Each version is accepted only once, so the content shows whether it is
		// next or another operator's change.
		if seen.Version() == next.Version() && seen.SameContent(next) {
			return nil
		}
		if seen.Version() == next.Version() {
			return apperr.New(apperr.KindConflict, "configuration",
				fmt.Sprintf("another change was accepted as version %d", seen.Version()),
				"merge it, look at `boragecrank diff` and apply again")
		}
		// A later version hides whether next was accepted in between.
		return err
	}
	return err
}

// versionOf returns the version of c, or 0 if c is nil.
func versionOf(c *config.Config) types.Version {
	if c == nil {
		return 0
	}
	return c.Version()
}
