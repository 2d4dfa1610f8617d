package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Category:  categoryChange,
		Usage:     "cancel jobs",
		ArgsUsage: "ID...",
		Description: `Asks for the cancellation of each job. Tasks that run are stopped, which the
command does not wait for; ` + "`boragecrank jobs ID`" + ` shows when the job has ended. A
job that has ended stays as it is. All IDs are tried, also after an error.

Examples:
   boragecrank cancel night-2026-12-04
   boragecrank cancel plan-7 plan-8 plan-9`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: runCancel,
	}
}

func runCancel(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return newUsageError(cmd, "no job ID is given")
	}
	if slices.Contains(cmd.Args().Slice(), "") {
		return newUsageError(cmd, "a job ID is empty")
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	list := []entry.JobStatus{}
	var errs []error
	for _, id := range cmd.Args().Slice() {
		status, err := client.Cancel(ctx, types.JobID(id))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		list = append(list, status)
	}
	if err := printCancelled(cmd, list); err != nil {
		return err
	}
	for _, err := range errs[min(1, len(errs)):] {
		fmt.Fprintln(stderr(cmd), "boragecrank:", err)
	}
	return summarizeErrors(errs)
}

func printCancelled(cmd *cli.Command, list []entry.JobStatus) error {
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, list)
	}
	for i := range list {
		fmt.Fprintf(stdout(cmd), "job %s: %s\n", list[i].ID, jobState(&list[i]))
	}
	return nil
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Category:  categoryChange,
		Usage:     "make a VM refuse new work and move its tasks to other VMs",
		ArgsUsage: "VM",
		Description: `The worker of the VM refuses new requests and tasks at once. Requests in progress
end there; tasks are checkpointed and move to other VMs. The VM takes work again
after its worker was restarted.

With --wait the command ends when no request and no task is left on the VM. It
may then be stopped.

Examples:
   boragecrank drain gent-02 --wait --wait-limit 10m
   boragecrank drain gent-02 --json`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagWait, Usage: "wait until no request and no task is left"},
			waitLimitFlag(),
			jsonFlag(),
		},
		Action: runDrain,
	}
}

// drainState is the JSON output of drain.
type drainState struct {
	operatorapi.DrainStatus
	// Tasks are the tasks that may still run on the VM, or nil without --wait.
	Tasks []types.TaskID `json:"tasks"`
}

func runDrain(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 || cmd.Args().First() == "" {
		return newUsageError(cmd, strconv.Itoa(cmd.Args().Len())+" VMs are given, want 1")
	}
	vm := types.VMID(cmd.Args().First())
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	var state drainState
	state.DrainStatus, err = client.Drain(ctx, vm)
	if err != nil {
		return err
	}
	if cmd.Bool(flagWait) {
		err = waitUntil(ctx, cmd, "drain of VM "+string(vm), func(ctx context.Context) (bool, error) {
			return drainFinished(ctx, client, vm, &state)
		})
	}
	// Print the last known state even if the wait ended early.
	if printErr := printDrain(cmd, &state); printErr != nil {
		return printErr
	}
	return err
}

func printDrain(cmd *cli.Command, state *drainState) error {
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, state)
	}
	fmt.Fprintf(stdout(cmd), "VM %s is draining: %s in progress", state.VM, formatCount(state.RequestsInProgress, "request"))
	if state.Tasks != nil {
		fmt.Fprintf(stdout(cmd), ", %s left", formatCount(len(state.Tasks), "task"))
	}
	fmt.Fprintln(stdout(cmd))
	return nil
}

// drainFinished updates state and reports whether no request and no task is left
// on the VM. It returns false while the owner of the VM's shard does not respond,
// because the VM's tasks are then unknown.
func drainFinished(ctx context.Context, client *operatorapi.Client, vm types.VMID, state *drainState) (bool, error) {
	drainStatus, err := client.Drain(ctx, vm)
	if err != nil {
		return false, err
	}
	state.DrainStatus = drainStatus
	status, err := client.Status(ctx)
	if err != nil {
		return false, err
	}
	tasks, complete := tasksOnVM(status.Shards, vm)
	state.Tasks = tasks
	return complete && len(tasks) == 0 && state.RequestsInProgress == 0, nil
}

// tasksOnVM returns the tasks that may run on a VM. It also reports whether the
// list is complete: the VM's shard is among the shards and its owner has read
// all rows.
func tasksOnVM(shards []*wirepb.ShardStatusResponse, vm types.VMID) ([]types.TaskID, bool) {
	tasks, complete := []types.TaskID{}, false
	for _, shard := range shards {
		complete = complete || shard.GetReady() && slices.ContainsFunc(shard.GetMembers(), func(m *wirepb.MemberStatus) bool {
			return m.GetVm() == string(vm)
		})
		for _, t := range shard.GetTasks() {
			if t.GetVm() == string(vm) && task.State(t.GetState()).Live() {
				tasks = append(tasks, types.TaskID(t.GetTask()))
			}
		}
	}
	return tasks, complete
}
