package cli

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/operatorapi"
	"github.com/boragecrank/boragecrank/internal/wire/convert"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// maxInfeasibleTasks is the maximum number of infeasible tasks that status lists.
const maxInfeasibleTasks = 20

// systemStatus is the JSON output of status.
type systemStatus struct {
	operatorapi.Status
	// UnresponsiveShards lists the shards of the configuration whose owner does not
	// respond.
	UnresponsiveShards []types.ShardID `json:"without_owner"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []domainEvacuation `json:"evacuated"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:     "status",
		Category: categoryObserve,
		Usage:    "show shards, owners, VMs and tasks",
		Description: `Shows the shards with their owners, the VMs with used and free capacity (cores,
memory in GB, accelerators), and the tasks by state. A shard without owner gets
one within about ten seconds; its work goes on meanwhile. Evacuated failure
domains are listed first, with the tasks that still run or wait there.

Examples:
   boragecrank status
   boragecrank status --shard Gent-s00
   boragecrank status --json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "shard", Usage: "show only the shard `ID`; may be repeated"},
			jsonFlag(),
		},
		Action: runStatus,
	}
}

// clientAndConfig returns a client and the accepted configuration for commands
// that take no arguments.
func clientAndConfig(ctx context.Context, cmd *cli.Command) (*operatorapi.Client, *config.Config, error) {
	if err := rejectArguments(cmd); err != nil {
		return nil, nil, err
	}
	client, err := newClient(cmd)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := client.Config(ctx)
	return client, cfg, err
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	client, cfg, err := clientAndConfig(ctx, cmd)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	out := systemStatus{
		Status: status, UnresponsiveShards: unresponsiveShards(cfg, status.Shards), Evacuated: evacuations(cfg, status.Shards),
	}
	if selected := cmd.StringSlice("shard"); len(selected) > 0 {
		out.Shards = slices.DeleteFunc(out.Shards, func(s *wirepb.ShardStatusResponse) bool { return !slices.Contains(selected, s.GetShard()) })
		out.UnresponsiveShards = slices.DeleteFunc(out.UnresponsiveShards, func(s types.ShardID) bool { return !slices.Contains(selected, string(s)) })
	}
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, out)
	}
	return printStatus(cmd, &out)
}

// unresponsiveShards returns the configured shards that are missing from the
// owners' responses.
func unresponsiveShards(cfg *config.Config, shards []*wirepb.ShardStatusResponse) []types.ShardID {
	missing := []types.ShardID{}
	if cfg == nil {
		return missing
	}
	for _, id := range cfg.Shards() {
		if !slices.ContainsFunc(shards, func(s *wirepb.ShardStatusResponse) bool { return s.GetShard() == string(id) }) {
			missing = append(missing, id)
		}
	}
	return missing
}

func printStatus(cmd *cli.Command, s *systemStatus) error {
	w := stdout(cmd)
	fmt.Fprintf(w, "configuration version %d, as seen by entry %s\n\n", s.Version, s.Entry)
	printEvacuations(w, s.Evacuated)
	if err := printTable(w, []string{"SHARD", "OWNER", "EPOCH", "READY", "VMS", "TASKS"}, shardRows(s)); err != nil {
		return err
	}
	var members [][]string
	for _, shard := range s.Shards {
		members = append(members, memberRows(shard)...)
	}
	if len(members) > 0 {
		fmt.Fprintln(w)
		header := []string{"VM", "SHARD", "STATE", "CORES USED", "FREE", "GB USED", "FREE", "ACCELERATORS USED", "FREE"}
		if err := printTable(w, header, members); err != nil {
			return err
		}
	}
	printInfeasibleTasks(cmd, s.Shards)
	return nil
}

func shardRows(s *systemStatus) [][]string {
	rows := make([][]string, 0, len(s.Shards)+len(s.UnresponsiveShards))
	for _, shard := range s.Shards {
		rows = append(rows, []string{
			shard.GetShard(), shard.GetOwner(), strconv.FormatUint(shard.GetEpoch(), 10), yesNo(shard.GetReady()),
			strconv.Itoa(len(shard.GetMembers())), tasksByState(shard.GetTasks()),
		})
	}
	for _, id := range s.UnresponsiveShards {
		rows = append(rows, []string{string(id), "no response", "-", "no", "-", "-"})
	}
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// taskStateOrder is the order in which tasksByState lists the states.
var taskStateOrder = []task.State{
	task.Pending, task.Placed, task.Running, task.Checkpointed, task.Evicted, task.Resumed,
	task.Done, task.Failed, task.Cancelled, task.Infeasible,
}

// tasksByState returns the numbers of tasks by state as text, for example
// "3 pending, 12 running".
func tasksByState(tasks []*wirepb.TaskState) string {
	counts := make(map[task.State]int)
	for _, t := range tasks {
		counts[task.State(t.GetState())]++
	}
	parts := make([]string, 0, len(counts))
	for _, state := range taskStateOrder {
		if n := counts[state]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func memberRows(shard *wirepb.ShardStatusResponse) [][]string {
	rows := make([][]string, 0, len(shard.GetMembers()))
	for _, m := range shard.GetMembers() {
		capacity, used := convert.ResourcesFromWire(m.GetCapacity()), convert.ResourcesFromWire(m.GetReserved())
		free := capacity.Sub(used)
		rows = append(rows, []string{
			m.GetVm(), shard.GetShard(), m.GetState(),
			formatCores(used), formatCores(free), formatGigabytes(used), formatGigabytes(free),
			strconv.FormatInt(used.Accelerators, 10), strconv.FormatInt(free.Accelerators, 10),
		})
	}
	return rows
}

func formatCores(r types.Resources) string {
	return strconv.FormatFloat(float64(r.MilliCPU)/1000, 'f', -1, 64)
}

func formatGigabytes(r types.Resources) string {
	return strconv.FormatFloat(float64(r.MemoryBytes)/1e9, 'f', 1, 64)
}

// printInfeasibleTasks prints the tasks that can never run and why.
func printInfeasibleTasks(cmd *cli.Command, shards []*wirepb.ShardStatusResponse) {
	n := 0
	for _, shard := range shards {
		for _, t := range shard.GetTasks() {
			if t.GetState() != string(task.Infeasible) {
				continue
			}
			if n++; n <= maxInfeasibleTasks {
				fmt.Fprintf(stdout(cmd), "\ntask %s can never run: %s", t.GetTask(), t.GetReason())
			}
		}
	}
	if n > maxInfeasibleTasks {
		fmt.Fprintf(stdout(cmd), "\nand %d more tasks can never run", n-maxInfeasibleTasks)
	}
	if n > 0 {
		fmt.Fprintln(stdout(cmd))
	}
}

// configStatus is the JSON output of config.
type configStatus struct {
	// Version is the accepted version; 0 if there is none.
	Version types.Version `json:"version"`
	// Behind is the number of processes with an older version.
	Behind int `json:"behind"`
	// Unresponsive is the number of processes that do not respond.
	Unresponsive int             `json:"silent"`
	Processes    []entry.Process `json:"processes"`
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Category: categoryObserve,
		Usage:    "show which configuration version is in effect in every process",
		Description: `Lists the processes that entries and shard owners know, with the version in
effect there and the time since it was last confirmed. A process is behind while
it has an older version than the accepted one; this lasts a few seconds after
an apply. Exit code 0 also if some are behind; scripts read "behind" in --json.

Examples:
   boragecrank config
   boragecrank config --json`,
		Flags:  []cli.Flag{jsonFlag()},
		Action: runConfig,
	}
}

func runConfig(ctx context.Context, cmd *cli.Command) error {
	client, cfg, err := clientAndConfig(ctx, cmd)
	if err != nil {
		return err
	}
	list, err := client.Processes(ctx)
	if err != nil {
		return err
	}
	out := newConfigStatus(versionOf(cfg), list)
	if cmd.Bool(flagJSON) {
		return printJSON(cmd, out)
	}
	fmt.Fprintf(stdout(cmd), "accepted version %d; %d processes: %d behind, %d do not respond\n\n",
		out.Version, len(list), out.Behind, out.Unresponsive)
	rows := make([][]string, 0, len(list))
	for _, p := range out.Processes {
		rows = append(rows, processRow(&p))
	}
	return printTable(stdout(cmd), []string{"PROCESS", "ROLE", "ADDRESS", "VERSION", "CONFIRMED", "STATE"}, rows)
}

// newConfigStatus counts the processes that are behind or unresponsive. A process
// that does not respond counts only as unresponsive, because its version is
// unknown.
func newConfigStatus(accepted types.Version, list []entry.Process) configStatus {
	out := configStatus{Version: accepted, Processes: list}
	for i := range list {
		p := &list[i]
		if p.Error != "" {
			p.Behind = false
			out.Unresponsive++
			continue
		}
		p.Behind = p.Version < accepted
		if p.Behind {
			out.Behind++
		}
	}
	return out
}

func processRow(p *entry.Process) []string {
	if p.Error != "" {
		return []string{p.Name, dashIfEmpty(p.Role), p.Address, "-", "-", p.Error}
	}
	state := "in effect"
	switch {
	case p.Behind:
		state = "behind"
	case p.Version == 0:
		state = "no configuration"
	}
	if p.Draining {
		state += ", draining"
	}
	confirmed := fmt.Sprintf("%d ms ago", p.ConfirmedMS)
	if p.ConfirmedMS < 0 {
		confirmed = "never"
	}
	return []string{p.Name, p.Role, p.Address, strconv.FormatUint(uint64(p.Version), 10), confirmed, state}
}
