package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
)

// pollInterval is the time between two polls of a waiting command.
const pollInterval = time.Second

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Category:  categoryChange,
		Usage:     "submit one run of a job that the inventory declares",
		ArgsUsage: "KIND",
		Description: `KIND is the name of a job in the inventory. The ID names this run: submitting the
same ID again has no effect, so a submission without an answer is repeated
safely with the same ID.

With --wait the command ends when the job has ended: with exit code 0 if every
task is done, and 1 if a task failed, was cancelled or can never run.

Examples:
   boragecrank submit night-allocation --id night-2026-12-04
   boragecrank submit fleet-plan --id plan-7 --wait --wait-limit 8h`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "`ID` of the run, up to 128 characters without slash or space (required)"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the job has ended"},
			waitLimitFlag(),
			jsonFlag(),
		},
		Action: runSubmit,
	}
}

func waitLimitFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagWaitLimit, Usage: "maximum time to wait; 0 means no limit"}
}

func runSubmit(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return newUsageError(cmd, fmt.Sprintf("%d job kinds are given, want 1", cmd.Args().Len()))
	}
	kind, id := cmd.Args().First(), types.JobID(cmd.String("id"))
	if id == "" {
		return newUsageError(cmd, "--id is missing")
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	status, err := client.Submit(ctx, id, kind)
	if err != nil {
		return err
	}
	if status.Kind != kind {
		return apperr.New(apperr.KindConflict, "job "+string(id), fmt.Sprintf("exists with kind %q", status.Kind), "choose another ID")
	}
	if cmd.Bool(flagWait) {
		return waitForJob(ctx, cmd, client, id)
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, status)
	}
	fmt.Fprintf(stdout(cmd), "job %s: %s, %s in shard %s\n", status.ID, jobState(&status), formatCount(status.Tasks, "task"), status.Shard)
	return nil
}

// waitForJob waits until the job has ended or can never run, and prints its state.
func waitForJob(ctx context.Context, cmd *cli.Command, client *operatorapi.Client, id types.JobID) error {
	var status entry.JobStatus
	err := waitUntil(ctx, cmd, "job "+string(id), func(ctx context.Context) (bool, error) {
		seen, err := client.Job(ctx, id)
		if err != nil {
			return false, err
		}
		status = seen
		return status.Finished || infeasibleTask(&status) != nil, nil
	})
	if err != nil && status.ID == "" {
		return err
	}
	// Print the last known state even if the wait ended early.
	if printErr := printJob(cmd, &status); printErr != nil {
		return printErr
	}
	if err != nil {
		return err
	}
	return jobError(&status)
}

// waitUntil polls until done returns true, --wait-limit expires or an error is not
// transient. After a transient error it polls again, because the work continues
// while no entry responds.
func waitUntil(ctx context.Context, cmd *cli.Command, object string, done func(context.Context) (bool, error)) error {
	if limit := cmd.Duration(flagWaitLimit); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	warned := false
	for {
		ok, err := done(ctx)
		if ok && err == nil {
			return nil
		}
		if err != nil && ctx.Err() == nil {
			if !isTransient(err) {
				return err
			}
			if !warned {
				fmt.Fprintln(stderr(cmd), "boragecrank:", err, "(still waiting)")
			}
			warned = true
		}
		if sleep(ctx, pollInterval) != nil {
			return waitError(ctx, object)
		}
	}
}

// isTransient reports whether an outage may have caused the error.
func isTransient(err error) bool {
	switch apperr.KindOf(err) {
	case apperr.KindUnreachable, apperr.KindTimeout, apperr.KindUnavailable, apperr.KindUncertain:
		return true
	default:
		return false
	}
}

func waitError(ctx context.Context, object string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apperr.New(apperr.KindTimeout, object, "has not ended within --wait-limit", "it continues; wait again")
	}
	return apperr.New(kindFailed, object, "the wait was interrupted", "it continues; wait again")
}

// infeasibleTask returns the first task that no VM can hold, or nil.
func infeasibleTask(status *entry.JobStatus) *entry.TaskStatus {
	for i := range status.States {
		if status.States[i].State == task.Infeasible {
			return &status.States[i]
		}
	}
	return nil
}

// jobError returns an error if a task of the job failed, was cancelled or can
// never run.
func jobError(status *entry.JobStatus) error {
	object := "job " + string(status.ID)
	if t := infeasibleTask(status); t != nil && !status.Finished {
		return apperr.New(kindFailed, object, fmt.Sprintf("task %s can never run: %s", t.Task, t.Reason),
			"change the inventory, or cancel the job")
	}
	if status.Failed > 0 {
		return apperr.New(kindFailed, object, fmt.Sprintf("%d of %d tasks failed", status.Failed, status.Tasks),
			"correct the cause and submit it under a new ID")
	}
	if status.Cancelled > 0 {
		return apperr.New(kindFailed, object, fmt.Sprintf("%d of %d tasks were cancelled", status.Cancelled, status.Tasks),
			"submit it under a new ID to run it again")
	}
	return nil
}

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:      "jobs",
		Category:  categoryObserve,
		Usage:     "list jobs, or show one job with its tasks",
		ArgsUsage: "[ID]",
		Description: `State of a job: active, cancelling, or ended as done, failed or cancelled. A task
is pending, placed, running, checkpointed, evicted, resumed, done, failed,
cancelled or infeasible (it can never run with the present inventory).

Examples:
   boragecrank jobs
   boragecrank jobs night-2026-12-04 --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: runJobs,
	}
}

func runJobs(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 1 {
		return newUsageError(cmd, "more than one ID is given")
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	if id := cmd.Args().First(); id != "" {
		status, err := client.Job(ctx, types.JobID(id))
		if err != nil {
			return err
		}
		return printJob(cmd, &status)
	}
	list, err := client.Jobs(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, list)
	}
	return printJobs(cmd, list)
}

func printJobs(cmd *cli.Command, list []entry.JobStatus) error {
	rows := make([][]string, 0, len(list))
	for i := range list {
		j := &list[i]
		rows = append(rows, []string{
			string(j.ID), j.Kind, string(j.Shard), jobState(j), strconv.Itoa(j.Tasks),
			strconv.Itoa(j.Done), strconv.Itoa(j.Failed), strconv.Itoa(j.Cancelled),
		})
	}
	return printTable(stdout(cmd), []string{"JOB", "KIND", "SHARD", "STATE", "TASKS", "DONE", "FAILED", "CANCELLED"}, rows)
}

func printJob(cmd *cli.Command, j *entry.JobStatus) error {
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, j)
	}
	if err := printJobs(cmd, []entry.JobStatus{*j}); err != nil || len(j.States) == 0 {
		return err
	}
	rows := make([][]string, 0, len(j.States))
	for _, t := range j.States {
		rows = append(rows, []string{
			string(t.Task), string(t.State), strconv.Itoa(int(t.Attempt)), dashIfEmpty(string(t.VM)), dashIfEmpty(t.Reason),
		})
	}
	fmt.Fprintln(stdout(cmd))
	return printTable(stdout(cmd), []string{"TASK", "STATE", "ATTEMPT", "VM", "REASON"}, rows)
}

// jobState returns the state of a job as one word.
func jobState(j *entry.JobStatus) string {
	switch {
	case j.Finished && j.Failed > 0:
		return "failed"
	case j.Finished && j.Cancelled > 0:
		return "cancelled"
	case j.Finished:
		return "done"
	case j.Cancel:
		return "cancelling"
	default:
		return "active"
	}
}
