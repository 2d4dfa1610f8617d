package inventory

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Key, Old and New are set
// only for kind Changed. Key is a key of the object or a derived property (shard,
// urgent, evacuated by command); Old and New are its values as text for display.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Object is the table and name, for example `vm "gent-01"`.
	Object string `json:"object"`
	Key    string `json:"key,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// String returns the change as one line that begins with +, - or ~.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return "+ " + c.Object
	case Removed:
		return "- " + c.Object
	default:
		return fmt.Sprintf("~ %s: %s: %s -> %s", c.Object, c.Key, c.Old, c.New)
	}
}

// ChangesText returns one line for each change.
func ChangesText(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String())
		b.WriteByte('\n')
	}
	return b.String()
}

// ChangesJSON returns the changes as indented JSON: {"changes": [...]}.
func ChangesJSON(changes []Change) ([]byte, error) {
	out := struct {
		Changes []Change `json:"changes"`
	}{Changes: append([]Change{}, changes...)}
	return json.MarshalIndent(out, "", "  ")
}

// Diff returns the changes from old to new, ordered by table (see tableOrder)
// and name. A nil configuration counts as empty.
func Diff(old, new *config.Config) []Change {
	before, after := describe(old), describe(new)
	changes := make([]Change, 0, len(tableOrder))
	for _, table := range tableOrder {
		changes = append(changes, diffObjects(table, before[table], after[table])...)
	}
	return changes
}

// tableOrder is the order in which changes are listed.
var tableOrder = []string{tableDomain, tableRack, tableVM, tableTeam, tableService, tableJob, tableRules}

// object is a named object with its values. All objects of a table have the same
// keys in the same order.
type object struct {
	name   string
	values []keyValue
}

type keyValue struct {
	key   string
	value string
}

func diffObjects(table string, old, new []object) []Change {
	before, after := byName(old), byName(new)
	var changes []Change
	for _, name := range sortedNames(before, after) {
		label := table + " " + quote(name)
		if name == "" {
			label = table
		}
		o, hadOld := before[name]
		n, hasNew := after[name]
		switch {
		case !hadOld:
			changes = append(changes, Change{Kind: Added, Object: label})
		case !hasNew:
			changes = append(changes, Change{Kind: Removed, Object: label})
		default:
			changes = append(changes, diffValues(label, o, n)...)
		}
	}
	return changes
}

func diffValues(label string, old, new object) []Change {
	var changes []Change
	for i, v := range new.values {
		if o := old.values[i]; o.value != v.value {
			changes = append(changes, Change{Kind: Changed, Object: label, Key: v.key, Old: o.value, New: v.value})
		}
	}
	return changes
}

func byName(objects []object) map[string]object {
	m := make(map[string]object, len(objects))
	for _, o := range objects {
		m[o.name] = o
	}
	return m
}

func sortedNames(a, b map[string]object) []string {
	names := make([]string, 0, len(a)+len(b))
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		names = append(names, n)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// describe returns the objects of a configuration by table.
func describe(c *config.Config) map[string][]object {
	all := make(map[string][]object)
	if c == nil {
		return all
	}
	content := c.Content()
	for i := range content.Domains {
		describeDomain(all, &content.Domains[i])
	}
	for _, t := range content.Teams {
		all[tableTeam] = append(all[tableTeam], object{string(t.ID), describeResources("quota_", t.Quota)})
	}
	for i := range content.Services {
		all[tableService] = append(all[tableService], describeService(&content.Services[i]))
	}
	for i := range content.Jobs {
		all[tableJob] = append(all[tableJob], describeJob(&content.Jobs[i]))
	}
	all[tableRules] = []object{describeRules(content.Rules)}
	return all
}

func describeDomain(all map[string][]object, d *config.Domain) {
	all[tableDomain] = append(all[tableDomain], object{string(d.Name), []keyValue{{"region", string(d.Region)}}})
	for _, r := range d.Racks {
		all[tableRack] = append(all[tableRack], object{string(r), []keyValue{{"failure_domain", string(d.Name)}}})
	}
	for i := range d.VMs {
		vm := &d.VMs[i]
		values := []keyValue{
			{"failure_domain", string(vm.FailureDomain)},
			{"rack", string(vm.Rack)},
			{"shard", string(vm.Shard)},
			{"slots", strconv.Itoa(vm.Slots)},
			{"connections", strconv.Itoa(vm.Connections)},
		}
		all[tableVM] = append(all[tableVM], object{string(vm.ID), slices.Concat(values, describeResources("", vm.Capacity))})
	}
}

func describeService(s *types.Service) object {
	values := []keyValue{
		{"team", string(s.Team)},
		{"replicas", strconv.Itoa(s.Replicas)},
		{"deadline", s.Deadline.String()},
		{"urgent", strconv.FormatBool(s.Urgent)},
		{"spread", strconv.FormatBool(s.SpreadDomains)},
	}
	return object{string(s.Name), slices.Concat(values, describeResources("", s.Demand))}
}

func describeJob(k *config.JobKind) object {
	values := []keyValue{
		{"team", string(k.Team)},
		{"priority", strconv.Itoa(k.Priority)},
		{"urgent", strconv.FormatBool(k.Urgent)},
		{"run_time", k.RunTime.String()},
		{"tasks", strconv.Itoa(k.Tasks)},
		{"gang", strconv.FormatBool(k.Gang)},
		{"nightly", strconv.FormatBool(k.Nightly)},
		{"failure_domains", formatDomains(k.FailureDomains)},
	}
	return object{k.Kind, slices.Concat(values, describeResources("", k.Demand))}
}

func describeRules(r config.Rules) object {
	return object{"", []keyValue{
		{"tail_latency_weight", formatNumber(r.Weights.TailLatency)},
		{"eviction_weight", formatNumber(r.Weights.Evictions)},
		{"urgent_start_limit", r.UrgentStartLimit.String()},
		{"request_deadline", r.RequestDeadline.String()},
		{"retry_budget", formatNumber(r.RetryBudget)},
		{"batch_run_right", r.BatchRunRight.String()},
		{"overnight_start", formatTimeOfDay(r.Overnight.Start)},
		{"overnight_end", formatTimeOfDay(r.Overnight.End)},
		{"time_zone", r.Overnight.Zone},
		{"guards", strconv.FormatBool(r.Guards)},
		{"evacuate", formatDomains(r.Evacuate)},
		{"evacuated by command", formatDomains(r.EvacuateByCommand)},
	}}
}

func describeResources(prefix string, r types.Resources) []keyValue {
	return []keyValue{
		{prefix + "cores", formatNumber(float64(r.MilliCPU) / 1000)},
		{prefix + "memory", formatNumber(float64(r.MemoryBytes)/1e9) + "GB"},
		{prefix + "accelerators", strconv.FormatInt(r.Accelerators, 10)},
	}
}

func formatDomains(domains []types.FailureDomain) string {
	names := make([]string, 0, len(domains))
	for _, d := range domains {
		names = append(names, string(d))
	}
	return "[" + strings.Join(names, ", ") + "]"
}

func formatNumber(x float64) string {
	return strconv.FormatFloat(x, 'f', -1, 64)
}

func formatTimeOfDay(d time.Duration) string {
	return fmt.Sprintf("%02d:%02d", d/time.Hour, d%time.Hour/time.Minute)
}
