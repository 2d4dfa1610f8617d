package localrun_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// work is the default inventory with two replicas.
const work = `[[team]]
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
cores = 4
memory = "8GB"
run_time = "1s"
`

// jobList is the response for a list of jobs. The response for one job is decoded
// as a list of length 1.
type jobList []struct {
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	Finished bool   `json:"finished"`
	Cancel   bool   `json:"cancel"`
	Done     int    `json:"done"`
	States   []struct {
		State string `json:"state"`
		VM    string `json:"vm"`
	} `json:"states"`
}

// runningReplicaVMs returns the VMs of the running replicas.
func runningReplicaVMs(ctx context.Context, d *localrun.Deployment) []string {
	var list jobList
	body, err := d.Get(ctx, "http://"+d.OperatorAddr(1)+"/v1/jobs")
	if err != nil || json.Unmarshal(body, &list) != nil {
		return nil
	}
	var vms []string
	for _, j := range list {
		if j.Kind != "berth-check" || j.Finished {
			continue
		}
		var single jobList
		body, err := d.Get(ctx, "http://"+d.OperatorAddr(1)+"/v1/jobs/"+j.ID)
		if err != nil || json.Unmarshal([]byte("["+string(body)+"]"), &single) != nil {
			return nil
		}
		for _, s := range single[0].States {
			if s.State == string(task.Running) {
				vms = append(vms, s.VM)
			}
		}
	}
	return vms
}

// await polls until the condition holds, and fails the test after the limit.
func await(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		if condition() {
			t.Logf("%s after %v", what, time.Since(start).Round(100*time.Millisecond))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	t.Fatalf("%s: condition not met within %v", what, limit)
}

// deploy builds the binary and starts a deployment with the options, of which it
// sets the binary and the directory.
func deploy(ctx context.Context, t *testing.T, o localrun.Options) *localrun.Deployment {
	t.Helper()
	o.Dir = t.TempDir()
	o.Binary = filepath.Join(o.Dir, "boragecrank")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, "../../cmd/boragecrank").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	d, err := localrun.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	t.Cleanup(func() {
		if t.Failed() {
			for domain := 1; domain <= o.Domains; domain++ {
				for i := 1; i <= o.Workers; i++ {
					t.Log(d.Log(localrun.WorkerName(domain, i)))
				}
			}
			out, _ := d.Command(context.Background(), "status")
			t.Log(out)
		}
	})
	if err := d.StartAll(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against replicas that are configured but do not run, are not replaced
// after their VM has failed, or keep running after they were removed from the
// configuration. Also guards against a job that never runs because the shard
// owner was not notified of its row.
func TestReplicasFollowConfiguration(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes, takes about 30 s")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	// Octet 61 is not used by other tests.
	d := deploy(ctx, t, localrun.Options{Octet: 61, Entries: 1, Domains: 1, Workers: 3, Work: work})
	var vms []string
	await(t, "two replicas running", 30*time.Second, func() bool {
		vms = runningReplicaVMs(ctx, d)
		return len(vms) == 2
	})
	if vms[0] == vms[1] {
		t.Errorf("both replicas are on %s", vms[0])
	}
	testLostNotification(ctx, t, d)
	failedVM := vms[0]
	if err := d.Kill(failedVM); err != nil {
		t.Fatal(err)
	}
	await(t, "replica of the failed VM replaced", 40*time.Second, func() bool {
		vms = runningReplicaVMs(ctx, d)
		return len(vms) == 2 && vms[0] != failedVM && vms[1] != failedVM
	})
	fewer := strings.Replace(work, "replicas = 2", "replicas = 1", 1)
	if err := os.WriteFile(filepath.Join(d.InventoryDir(), "work.toml"), []byte(fewer), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := d.Command(ctx, "apply", d.InventoryDir()); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	await(t, "one replica left", 30*time.Second, func() bool { return len(runningReplicaVMs(ctx, d)) == 1 })
}

// testLostNotification writes the rows of a job without notifying the owner of
// the shard, and waits until the job is done.
func testLostNotification(ctx context.Context, t *testing.T, d *localrun.Deployment) {
	t.Helper()
	table := platform.NewHTTPTable("http://"+d.PlatformAddr(), http.DefaultClient)
	leases, err := table.Scan(ctx, "lease/", "", 1)
	if err != nil || len(leases) != 1 {
		t.Fatalf("got %d shard leases, error %v; want 1 lease", len(leases), err)
	}
	id := types.ShardID(strings.TrimPrefix(leases[0].Key, "lease/"))
	job := types.Job{ID: "quiet", Kind: "night-allocation", Team: "bookings", Class: types.ClassBatch, Tasks: 1,
		Demand: types.Resources{MilliCPU: 1000}, RunTime: time.Second}
	value, err := task.JobRow{Job: job}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{
		{Key: task.IndexKey(job.ID), Value: []byte(id)}, {Key: task.JobKey(id, job.ID), Value: value},
	}})
	if err != nil {
		t.Fatal(err)
	}
	await(t, "job without notification done", 30*time.Second, func() bool {
		var single jobList
		body, err := d.Get(ctx, "http://"+d.OperatorAddr(1)+"/v1/jobs/quiet")
		return err == nil && json.Unmarshal([]byte("["+string(body)+"]"), &single) == nil && single[0].Done == 1
	})
}
