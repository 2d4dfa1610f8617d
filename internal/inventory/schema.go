package inventory

import "github.com/boragecrank/boragecrank/internal/tomlcheck"

// Tables of inventory files.
const (
	tableDomain   = "failure_domain"
	tableRack     = "rack"
	tableVM       = "vm"
	tableService  = "service"
	tableJob      = "job"
	tableTeam     = "team"
	tableRules    = "rules"
	tablePriority = "priority"
)

// Schema lists the tables and keys of inventory files.
var Schema = tomlcheck.Schema{
	{
		Name: tableDomain, Array: true, Label: "name",
		Doc: "A set of VMs that fail together.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.Name, Required: true, Doc: "Name of the failure domain."},
			{Key: "region", Type: tomlcheck.Name, Required: true, Doc: "Region that the failure domain belongs to."},
		},
	},
	{
		Name: tableRack, Array: true, Label: "name",
		Doc: "A rack within a failure domain.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.Name, Required: true, Doc: "Name of the rack, unique in the whole inventory."},
			{Key: "failure_domain", Type: tomlcheck.Name, Required: true, Doc: "Failure domain that the rack belongs to."},
		},
	},
	{
		Name: tableVM, Array: true, Label: "name",
		Doc: "A VM that runs a worker, or with `count` a range of equal VMs.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.String, Required: true, Doc: "Name of the VM. With `count`, a name with one number verb such as `gent-%02d`."},
			{Key: "count", Type: tomlcheck.Int, Min: "1", Max: "10000", Doc: "Number of equal VMs. Without it the record declares one VM."},
			{Key: "first", Type: tomlcheck.Int, Default: "1", Min: "0", Max: "1000000", Doc: "Number of the first VM of a range."},
			{Key: "rack", Type: tomlcheck.Name, Required: true, Doc: "Rack that the VM belongs to. It determines the failure domain."},
			{Key: "cores", Type: tomlcheck.Cores, Required: true, Min: "0.1", Max: "4096", Doc: "Processor cores."},
			{Key: "memory", Type: tomlcheck.Size, Required: true, Min: "64MB", Max: "64TB", Doc: "Memory."},
			{Key: "accelerators", Type: tomlcheck.Int, Default: "0", Min: "0", Max: "1024", Doc: "Accelerator devices."},
			{Key: "slots", Type: tomlcheck.Int, Required: true, Min: "1", Max: "10000", Doc: "Requests that the upstreams on the VM may run at once."},
			{Key: "connections", Type: tomlcheck.Int, Required: true, Min: "1", Max: "100000", Doc: "Connections to the upstreams on the VM. At least `slots`."},
		},
	},
	{
		Name: tableTeam, Array: true, Label: "name",
		Doc: "A team that owns work. The quotas limit the total resources that the team's tasks hold at the same time, including the replicas of services.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.Name, Required: true, Doc: "Name of the team."},
			{Key: "quota_cores", Type: tomlcheck.Cores, Required: true, Min: "0", Max: "10000000", Doc: "Processor cores."},
			{Key: "quota_memory", Type: tomlcheck.Size, Required: true, Min: "0B", Max: "1000000TB", Doc: "Memory."},
			{Key: "quota_accelerators", Type: tomlcheck.Int, Default: "0", Min: "0", Max: "1000000", Doc: "Accelerator devices."},
		},
	},
	{
		Name: tableService, Array: true, Label: "name",
		Doc: "A latency-critical service. Its replicas always run.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.Name, Required: true, Doc: "Name of the service, unique among services and jobs."},
			{Key: "team", Type: tomlcheck.Name, Required: true, Doc: "Team that owns the service."},
			{Key: "replicas", Type: tomlcheck.Int, Default: "1", Min: "1", Max: "10000", Doc: "Number of replicas."},
			{Key: "cores", Type: tomlcheck.Cores, Required: true, Min: "0.001", Max: "4096", Doc: "Processor cores of one replica."},
			{Key: "memory", Type: tomlcheck.Size, Required: true, Min: "1MB", Max: "64TB", Doc: "Memory of one replica."},
			{Key: "accelerators", Type: tomlcheck.Int, Default: "0", Min: "0", Max: "1024", Doc: "Accelerator devices of one replica."},
			{Key: "deadline", Type: tomlcheck.Duration, Min: "1ms", Max: "10m", Doc: "Time limit of one request, from its arrival at an entry. Without it `request_deadline` of `[rules]` applies."},
			{Key: "spread", Type: tomlcheck.Bool, Default: "true", Doc: "Place the replicas in as many failure domains as possible."},
		},
	},
	{
		Name: tableJob, Array: true, Label: "name",
		Doc: "A kind of batch job. Submitted jobs refer to it by name.",
		Fields: []tomlcheck.Field{
			{Key: "name", Type: tomlcheck.Name, Required: true, Doc: "Name of the job, unique among services and jobs."},
			{Key: "team", Type: tomlcheck.Name, Required: true, Doc: "Team that owns the job."},
			{Key: "tasks", Type: tomlcheck.Int, Default: "1", Min: "1", Max: "100000", Doc: "Number of tasks."},
			{Key: "cores", Type: tomlcheck.Cores, Required: true, Min: "0.001", Max: "4096", Doc: "Processor cores of one task."},
			{Key: "memory", Type: tomlcheck.Size, Required: true, Min: "1MB", Max: "64TB", Doc: "Memory of one task."},
			{Key: "accelerators", Type: tomlcheck.Int, Default: "0", Min: "0", Max: "1024", Doc: "Accelerator devices of one task."},
			{Key: "run_time", Type: tomlcheck.Duration, Required: true, Min: "1s", Max: "720h", Doc: "Expected run time of one task. The system corrects it with measured run times."},
			{Key: "gang", Type: tomlcheck.Bool, Default: "false", Doc: "Start all tasks together or none."},
			{Key: "nightly", Type: tomlcheck.Bool, Default: "false", Doc: "Start the job once in each overnight window; it is due at the end of the window."},
			{Key: "failure_domains", Type: tomlcheck.Names, Doc: "Failure domains that may run the tasks. Without it all may."},
		},
	},
	{
		Name: tableRules,
		Doc:  "Rules for the whole system. At most once in all files.",
		Fields: []tomlcheck.Field{
			{Key: "urgent", Type: tomlcheck.Names, Doc: "Services and jobs that take precedence over others."},
			{Key: "may_wait", Type: tomlcheck.Names, Doc: "Jobs that may wait for all other work: they get priority 0."},
			{Key: "tail_latency_weight", Type: tomlcheck.Number, Default: "1", Min: "0", Max: "1000", Doc: "Weight of tail latency. Only its ratio to `eviction_weight` matters."},
			{Key: "eviction_weight", Type: tomlcheck.Number, Default: "1", Min: "0", Max: "1000", Doc: "Weight of evictions."},
			{Key: "urgent_start_limit", Type: tomlcheck.Duration, Default: "2.3s", Min: "100ms", Max: "10m", Doc: "Maximum time from submission to start of urgent work."},
			{Key: "request_deadline", Type: tomlcheck.Duration, Default: "2s", Min: "1ms", Max: "10m", Doc: "Time limit of requests to services without `deadline`."},
			{Key: "retry_budget", Type: tomlcheck.Number, Default: "0.1", Min: "0", Max: "1", Doc: "Share of first attempts that may get a second attempt."},
			{Key: "batch_run_right", Type: tomlcheck.Duration, Default: "5m", Min: "30s", Max: "30m", Doc: "How long batch work continues to run without a confirmation by its shard's owner."},
			{Key: "overnight_start", Type: tomlcheck.TimeOfDay, Default: "20:00", Min: "00:00", Max: "23:59", Doc: "Start of the overnight window, in local time."},
			{Key: "overnight_end", Type: tomlcheck.TimeOfDay, Default: "06:00", Min: "00:00", Max: "23:59", Doc: "End of the overnight window, in local time. It may lie on the next day."},
			{Key: "time_zone", Type: tomlcheck.Zone, Default: "UTC", Doc: "Time zone of the overnight window."},
			{Key: "evacuate", Type: tomlcheck.Names, Doc: "Failure domains in which nothing new starts. Running work continues. `boragecrank evacuate` evacuates others in addition."},
			{Key: "guards", Type: tomlcheck.Bool, Default: "true", Doc: "Check the invariants while running. Turn off only to measure their cost."},
		},
	},
	{
		Name: tablePriority, Array: true, Label: "job",
		Doc: "The priority of one job, instead of the default of 50.",
		Fields: []tomlcheck.Field{
			{Key: "job", Type: tomlcheck.Name, Required: true, Doc: "Name of the job."},
			{Key: "value", Type: tomlcheck.Int, Required: true, Min: "0", Max: "100", Doc: "Priority; higher goes first."},
		},
	},
}
