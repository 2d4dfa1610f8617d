package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
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

The credentials that settings refer to must be present, as for the process.

Exit code 0 without faults, 6 with faults.

Examples:
   boragecrank check inventory/
   boragecrank check --settings /etc/boragecrank/entry.toml
   boragecrank check --settings gent-01.toml --settings gent-02.toml inventory/ --json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "settings", Usage: "settings `FILE` of a process; may be repeated"},
			jsonFlag(),
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	files, paths := cmd.StringSlice("settings"), cmd.Args().Slice()
	if len(files) == 0 && len(paths) == 0 {
		return newUsageError(cmd, "neither settings nor inventory are given")
	}
	report := &tomlcheck.Report{}
	cfg := checkInventory(paths, report)
	for _, path := range files {
		if err := checkSettings(path, cfg, report); err != nil {
			return err
		}
	}
	if err := printReport(cmd, report); err != nil {
		return err
	}
	if !report.OK() {
		return invalidError("check", len(report.Findings), "correct the lines named above")
	}
	return nil
}

func printReport(cmd *cli.Command, report *tomlcheck.Report) error {
	if !cmd.Bool(flagJSON) {
		fmt.Fprint(stdout(cmd), report.Text())
		if report.OK() {
			fmt.Fprintln(stdout(cmd), "no faults")
		}
		return nil
	}
	text, err := report.JSON()
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout(cmd), string(text))
	return nil
}

// checkInventory adds the findings of the inventory to the report. It returns the
// compiled inventory, or nil if no paths are given or the inventory has faults.
func checkInventory(paths []string, report *tomlcheck.Report) *config.Config {
	if len(paths) == 0 {
		return nil
	}
	source, found := inventory.Load(paths...)
	report.Merge(found)
	if !found.OK() {
		return nil
	}
	cfg, found := source.Compile(nil)
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
	return invalidError("inventory", len(report.Findings), "correct the lines named above; nothing was applied")
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
