package localrun_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/localrun"
)

// evacuationWork fills a VM with one task, so that further jobs wait.
const evacuationWork = `[[team]]
name = "bookings"
quota_cores = 20000
quota_memory = "60TB"

[[service]]
name = "berth-check"
team = "bookings"
replicas = 2
cores = 1
memory = "1GB"
deadline = "2s"

[[job]]
name = "night-allocation"
team = "bookings"
tasks = 1
cores = 10
memory = "8GB"
run_time = "10m"
`

// jobPlace is where a job and its only task are.
type jobPlace struct {
	Shard  string `json:"shard"`
	States []struct {
		State string `json:"state"`
		VM    string `json:"vm"`
	} `json:"states"`
}

func placeOf(ctx context.Context, d *localrun.Deployment, id string) (p jobPlace) {
	body, err := d.Get(ctx, "http://"+d.OperatorAddr(1)+"/v1/jobs/"+id)
	if err != nil || json.Unmarshal(body, &p) != nil {
		return jobPlace{}
	}
	return p
}

// runs reports whether the task of a job runs in the failure domain.
func (p *jobPlace) runs(domain string) bool {
	return len(p.States) == 1 && p.States[0].State == string(task.Running) && strings.HasPrefix(p.States[0].VM, domain)
}

// Guards against an evacuation that does not reach the owners and entries of real
// processes: new work that starts there, waiting jobs that do not move, replicas
// that are stopped or not replaced elsewhere, and an end without effect.
func TestEvacuation(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes, takes about 40 s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	// Octet 62 is not used by other tests.
	d := deploy(ctx, t, localrun.Options{Octet: 62, Entries: 1, Domains: 2, Workers: 1, Work: evacuationWork})
	command := func(args ...string) string {
		t.Helper()
		out, err := d.Command(ctx, args...)
		if err != nil {
			t.Fatalf("%v: %v: %s", args, err, out)
		}
		return out
	}
	submit := func(id string) { command("submit", "night-allocation", "--id", id) }
	replicasIn := func(domain string) (n int) {
		for _, vm := range runningReplicaVMs(ctx, d) {
			if strings.HasPrefix(vm, domain) {
				n++
			}
		}
		return n
	}
	await(t, "one replica in each failure domain", 30*time.Second, func() bool { return replicasIn("d1") == 1 && replicasIn("d2") == 1 })
	ids := []string{"a", "b", "c", "d"}
	for _, id := range ids {
		submit(id)
	}
	running := func(domain string) string {
		for _, id := range ids {
			if p := placeOf(ctx, d, id); p.runs(domain) {
				return id
			}
		}
		return ""
	}
	await(t, "one job running in each failure domain", 30*time.Second, func() bool { return running("d1") != "" && running("d2") != "" })
	old, other := running("d1"), running("d2")

	if out, err := d.Command(ctx, "evacuate", "domain-9"); err == nil || !strings.Contains(out, "domain-1") {
		t.Errorf("unknown failure domain: %v: %s", err, out)
	}
	command("evacuate", "domain-1")
	if out := command("status"); !strings.Contains(out, "failure domain domain-1 is evacuated by command") {
		t.Errorf("status does not show the evacuation:\n%s", out)
	}
	await(t, "waiting jobs moved", 30*time.Second, func() bool {
		return !slices.ContainsFunc(ids, func(id string) bool {
			p := placeOf(ctx, d, id)
			return id != old && !strings.HasPrefix(p.Shard, "domain-2")
		})
	})
	await(t, "replica of the evacuated failure domain runs elsewhere too", 30*time.Second, func() bool { return replicasIn("d2") == 2 })
	for i := range 4 {
		id := fmt.Sprint("new", i)
		submit(id)
		if p := placeOf(ctx, d, id); !strings.HasPrefix(p.Shard, "domain-2") {
			t.Errorf("new job %s goes to shard %q", id, p.Shard)
		}
		ids = append(ids, id)
	}
	command("apply", d.InventoryDir())
	command("cancel", other)
	await(t, "a waiting job runs elsewhere", 30*time.Second, func() bool { return running("d2") != "" && running("d2") != other })
	if p := placeOf(ctx, d, old); !p.runs("d1") || replicasIn("d1") != 1 {
		t.Errorf("running work in the evacuated failure domain did not go on: job %+v, %d replicas", p, replicasIn("d1"))
	}
	command("cancel", old)
	time.Sleep(3 * time.Second)
	if id := running("d1"); id != "" && id != old {
		t.Errorf("job %s started in the evacuated failure domain", id)
	}

	command("evacuate", "domain-1", "--end")
	await(t, "replicas as before", 30*time.Second, func() bool { return replicasIn("d1") == 1 && replicasIn("d2") == 1 })
	ids = nil
	for i := range 2 {
		id := fmt.Sprint("after", i)
		submit(id)
		ids = append(ids, id)
	}
	await(t, "a job runs in the failure domain again", 30*time.Second, func() bool { return running("d1") != "" })
}
