package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/inventory"
	"github.com/boragecrank/boragecrank/internal/settings"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Category:  categoryOffline,
		Usage:     "find faults in settings and inventory",
		ArgsUsage: "[PATH...]",
		Description: `Reads settings files of processes and the files of an inventory, and prints every
fault on one line with file, line, object, key, problem and remedy. With both,
the settings are also compared with the inventory. A PATH is a file or a
directory; all files of the inventory are given together.

Limits that contradict each other are faults here, although apply accepts them.
Entries without effect are warnings.

With --compare the inventory is also compared with the configuration in effect,
as by ` + "`boragecrank diff`" + `, and nothing is sent. If no entry answers, that is one
more fault; all other checks are done.

The credentials that settings refer to must be present, as for the process.

Exit code 0 without faults, also with warnings; 6 with faults.

Examples:
   boragecrank check inventory/
   boragecrank check --compare inventory/
   boragecrank check --settings /etc/boragecrank/entry.toml
   boragecrank check --settings gent-01.toml --settings gent-02.toml inventory/ --json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of a process; may be repeated"},
			&cli.BoolFlag{Name: flagCompare, Usage: "compare the inventory with the configuration in effect"},
			jsonFlag(),
		},
		Action: runCheck,
	}
}

const flagCompare = "compare"

// checkResult is the JSON output of check. It has more than findings only with
// --compare, and only if the inventory could be compared.
type checkResult struct {
	Findings []inventory.Finding `json:"findings"`
	*comparison
}

// comparison is the result of --compare.
type comparison struct {
	// Version is the version in effect; 0 if there is none.
	Version types.Version      `json:"version"`
	Changes []inventory.Change `json:"changes"`
}

func runCheck(ctx context.Context, cmd *cli.Command) error {
	files, paths := cmd.StringSlice("settings"), cmd.Args().Slice()
	if len(files) == 0 && len(paths) == 0 {
		return newUsageError(cmd, "neither settings nor inventory are given")
	}
	if cmd.Bool(flagCompare) && len(paths) == 0 {
		return newUsageError(cmd, "--"+flagCompare+" needs an inventory")
	}
	report := &tomlcheck.Report{}
	current, result, err := compareCheck(ctx, cmd, report)
	if err != nil {
		return err
	}
	cfg := checkInventory(paths, current, report)
	switch {
	case cfg == nil:
		result = nil // an inventory with faults cannot be compared
	case result != nil:
		result.Changes = inventory.Diff(current, cfg)
	}
	for _, path := range files {
		if err := checkSettings(path, cfg, report); err != nil {
			return err
		}
	}
	if err := printCheck(cmd, report, result); err != nil {
		return err
	}
	if !report.OK() {
		return invalidError("check", report.Faults(), "correct the lines named above")
	}
	return nil
}

// compareCheck returns the configuration in effect, which is nil without --compare
// or if there is none. The comparison is nil if there is nothing to compare with.
// An entry that does not answer is a finding.
func compareCheck(ctx context.Context, cmd *cli.Command, report *tomlcheck.Report) (*config.Config, *comparison, error) {
	if !cmd.Bool(flagCompare) {
		return nil, nil, nil
	}
	client, err := newClient(cmd)
	if err != nil {
		return nil, nil, err
	}
	current, err := client.Config(ctx)
	if err != nil {
		e := apperr.From(err)
		report.Add(tomlcheck.Pos{File: "configuration in effect"}, e.Object, "", "cannot be compared: "+e.Problem, e.Remedy)
		return nil, nil, nil
	}
	return current, &comparison{Version: versionOf(current), Changes: []inventory.Change{}}, nil
}

func printCheck(cmd *cli.Command, report *tomlcheck.Report, compared *comparison) error {
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, checkResult{Findings: append([]inventory.Finding{}, report.Findings...), comparison: compared})
	}
	w := stdout(cmd)
	fmt.Fprint(w, report.Text())
	if compared != nil {
		fmt.Fprint(w, inventory.ChangesText(compared.Changes))
		fmt.Fprintf(w, "%s to version %d\n", formatCount(len(compared.Changes), "change"), compared.Version)
	}
	if report.OK() {
		fmt.Fprintln(w, "no faults")
	}
	return nil
}

// checkInventory adds the findings of the inventory to the report. It returns the
// configuration that succeeds current, which may be nil, or nil if no paths are
// given or the inventory cannot be compiled.
func checkInventory(paths []string, current *config.Config, report *tomlcheck.Report) *config.Config {
	if len(paths) == 0 {
		return nil
	}
	source, found := inventory.Load(paths...)
	report.Merge(found)
	if !found.OK() {
		return nil
	}
	cfg, found := source.Review(current)
	report.Merge(found)
	return cfg
}

func checkSettings(path string, cfg *config.Config, report *tomlcheck.Report) error {
	s, err := settings.Load(path)
	if err != nil {
		found := tomlcheck.ReportOf(err)
		if found == nil {
			return err
		}
		report.Merge(found)
		return nil
	}
	if cfg != nil {
		compareSettings(path, s, cfg, report)
	}
	return nil
}

// compareSettings reports settings whose failure domain, region or VM is not
// declared in the inventory or is declared differently.
func compareSettings(path string, s *settings.Settings, cfg *config.Config, report *tomlcheck.Report) {
	pos := tomlcheck.Pos{File: path}
	domain, ok := cfg.Domain(s.FailureDomain)
	if !ok {
		report.Add(pos, "", "failure_domain", fmt.Sprintf("%q is not declared in the inventory", s.FailureDomain),
			"declare it with [[failure_domain]] or correct the name")
		return
	}
	if domain.Region != s.Region {
		report.Add(pos, "", "region", fmt.Sprintf("failure domain %q is in region %q, not %q", s.FailureDomain, domain.Region, s.Region),
			fmt.Sprintf("write region = %q", domain.Region))
	}
	if s.Role != settings.RoleWorker {
		return
	}
	vm, ok := cfg.VM(s.ID)
	if !ok {
		report.Add(pos, "", "id", fmt.Sprintf("VM %q is not declared in the inventory", s.ID), "declare it with [[vm]] or correct the name")
		return
	}
	if vm.FailureDomain != s.FailureDomain {
		report.Add(pos, "", "failure_domain", fmt.Sprintf("VM %q is in failure domain %q, not %q", s.ID, vm.FailureDomain, s.FailureDomain),
			fmt.Sprintf("write failure_domain = %q", vm.FailureDomain))
	}
}

// loadInventory loads the inventory from the arguments of apply and diff.
func loadInventory(cmd *cli.Command) (*inventory.Source, error) {
	if !cmd.Args().Present() {
		return nil, newUsageError(cmd, "no inventory files are given")
	}
	source, report := inventory.Load(cmd.Args().Slice()...)
	return source, reportFindings(cmd, report)
}

// reportFindings prints the findings of a report to standard error. It returns an
// error of kind invalid if there are any.
func reportFindings(cmd *cli.Command, report *inventory.Report) error {
	if report.OK() {
		return nil
	}
	fmt.Fprint(stderr(cmd), report.Text())
	return invalidError("inventory", report.Faults(), "correct the lines named above; nothing was applied")
}

func invalidError(object string, faults int, remedy string) error {
	return apperr.New(apperr.KindInvalid, object, formatCount(faults, "fault"), remedy)
}

// summarizeErrors returns the first error with the number of further ones, which
// the caller must have printed. The kind of the first error decides the exit code.
func summarizeErrors(errs []error) error {
	if len(errs) < 2 {
		return errors.Join(errs...)
	}
	e := *apperr.From(errs[0])
	e.Problem += fmt.Sprintf(" (and %d more errors, printed above)", len(errs)-1)
	return &e
}
