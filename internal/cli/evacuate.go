package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/jobshard"
	"github.com/boragecrank/boragecrank/internal/core/replicas"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const flagEnd = "end"

func evacuateCommand() *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Category:  categoryChange,
		Usage:     "start nothing new in a failure domain",
		ArgsUsage: "DOMAIN",
		Description: `From the acceptance of the change until its end, no new task and no new replica
starts in the failure domain. Replicas and waiting jobs go to other failure
domains as far as their declarations allow. Requests go there only if no other
worker has a free slot. Running work continues.

The evacuation is part of the accepted configuration. ` + "`boragecrank apply`" + ` keeps it;
only --end ends it. An evacuation that the inventory declares (evacuate in [rules])
is ended in the inventory. If another change was accepted at the same time, the
command ends with exit code 5 and nothing is changed.

Examples:
   boragecrank evacuate Gent
   boragecrank evacuate Gent --end`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagEnd, Usage: "end the evacuation"},
			jsonFlag(),
		},
		Action: runEvacuate,
	}
}

// evacuateResult is the JSON output of evacuate.
type evacuateResult struct {
	Domain    types.FailureDomain `json:"failure_domain"`
	Evacuated bool                `json:"evacuated"`
	// Version is the version in effect after the command.
	Version types.Version `json:"version"`
	// Changed reports whether a new version was accepted.
	Changed bool `json:"changed"`
	// Warnings are services and jobs that no failure domain may start.
	Warnings []string `json:"warnings"`
}

func runEvacuate(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 || cmd.Args().First() == "" {
		return newUsageError(cmd, strconv.Itoa(cmd.Args().Len())+" failure domains are given, want 1")
	}
	domain, end := types.FailureDomain(cmd.Args().First()), cmd.Bool(flagEnd)
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	if current == nil {
		return apperr.New(apperr.KindNotFound, "configuration", "none has been accepted yet", "apply one with `boragecrank apply`")
	}
	next, err := current.WithEvacuation(domain, end)
	if err != nil {
		return evacuationError(domain, err)
	}
	out := evacuateResult{Domain: domain, Evacuated: next.Evacuated(domain), Version: next.Version(), Changed: next != current, Warnings: []string{}}
	if out.Changed {
		if err := sendConfig(ctx, client, current.Version(), next); err != nil {
			return resendError(domain, err)
		}
	}
	if !end {
		out.Warnings = append(out.Warnings, evacuationWarnings(next)...)
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, out)
	}
	printEvacuation(stdout(cmd), &out)
	return nil
}

func printEvacuation(w io.Writer, out *evacuateResult) {
	state := "is evacuated"
	if !out.Evacuated {
		state = "is not evacuated"
	}
	change := "accepted version"
	if !out.Changed {
		change = "no change: version"
	}
	fmt.Fprintf(w, "%s %d, failure domain %s %s\n", change, out.Version, out.Domain, state)
	for _, warning := range out.Warnings {
		fmt.Fprintln(w, "warning:", warning)
	}
}

// evacuationError adds the remedy to an error of config.WithEvacuation.
func evacuationError(domain types.FailureDomain, err error) error {
	object := "failure domain " + string(domain)
	var unknown *config.UnknownDomainError
	var declared *config.DeclaredEvacuationError
	switch {
	case errors.As(err, &unknown):
		return apperr.Wrap(err, apperr.KindNotFound, object, "is not declared",
			fmt.Sprintf("use one of %v, or declare it with [[failure_domain]] and apply", unknown.Known))
	case errors.As(err, &declared):
		return apperr.Wrap(err, apperr.KindRefused, object, "its evacuation is declared in the inventory",
			"remove it from evacuate in [rules] and apply the inventory")
	default:
		return err
	}
}

// resendError replaces the remedy of an error of sendConfig, which is for an
// applied inventory.
func resendError(domain types.FailureDomain, err error) error {
	e := *apperr.From(err)
	switch e.Kind {
	case apperr.KindConflict:
		e.Remedy = "look at `boragecrank status` and run the command again; nothing was changed"
	case apperr.KindUncertain:
		e.Remedy = "run the command again; it prints \"no change\" if the version was accepted"
	}
	e.Object = "evacuation of failure domain " + string(domain)
	return &e
}

// evacuationWarnings names the services and jobs of which nothing new can start,
// because every failure domain that may run them is evacuated.
func evacuationWarnings(c *config.Config) []string {
	var warnings []string
	for i := range c.Content().Services {
		s := &c.Content().Services[i]
		if len(replicas.Shares(c, *s)) == 0 {
			warnings = append(warnings, fmt.Sprintf("service %q: all failure domains that may run it are evacuated; replicas that end there are not replaced", s.Name))
		}
	}
	for i := range c.Content().Jobs {
		k := &c.Content().Jobs[i]
		job := k.Job(types.JobID(k.Kind), 0)
		allowed := jobshard.Allowed(c, &job, "")
		if len(allowed) > 0 && c.Evacuated(c.ShardDomain(allowed[0])) {
			warnings = append(warnings, fmt.Sprintf("job %q: all failure domains that may run it are evacuated; its tasks wait until the end", k.Kind))
		}
	}
	return warnings
}

// domainEvacuation is the state of one evacuated failure domain.
type domainEvacuation struct {
	Domain types.FailureDomain `json:"failure_domain"`
	// Inventory and Command state what evacuates it; both may be set.
	Inventory bool `json:"by_inventory"`
	Command   bool `json:"by_command"`
	// Running and Waiting are the numbers of tasks and replicas in the shards of
	// the failure domain whose owners respond.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// evacuations returns the evacuated failure domains, sorted by name.
func evacuations(c *config.Config, shards []*wirepb.ShardStatusResponse) []domainEvacuation {
	list := []domainEvacuation{}
	if c == nil {
		return list
	}
	rules := c.Rules()
	for _, d := range rules.EvacuatedDomains() {
		e := domainEvacuation{Domain: d, Inventory: slices.Contains(rules.Evacuate, d), Command: slices.Contains(rules.EvacuateByCommand, d)}
		for _, s := range shards {
			if c.ShardDomain(types.ShardID(s.GetShard())) == d {
				e.count(s.GetTasks())
			}
		}
		list = append(list, e)
	}
	return list
}

func (e *domainEvacuation) count(tasks []*wirepb.TaskState) {
	for _, t := range tasks {
		switch state := task.State(t.GetState()); {
		case state.Live():
			e.Running++
		case !state.Final():
			e.Waiting++
		}
	}
}

// source names what evacuates the failure domain.
func (e *domainEvacuation) source() string {
	switch {
	case e.Inventory && e.Command:
		return "by inventory and command"
	case e.Inventory:
		return "by inventory"
	default:
		return "by command"
	}
}

func printEvacuations(w io.Writer, list []domainEvacuation) {
	for i := range list {
		e := &list[i]
		fmt.Fprintf(w, "failure domain %s is evacuated %s: %d running, %d waiting\n", e.Domain, e.source(), e.Running, e.Waiting)
	}
	if len(list) > 0 {
		fmt.Fprintln(w)
	}
}
