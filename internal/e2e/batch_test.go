package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/standin"
)

const (
	// tasksPerJob is the number of tasks of a night-allocation job in batchWork.
	tasksPerJob = 3
	batchWork   = `[[team]]
name = "bookings"
quota_cores = 20000
quota_memory = "60TB"

[[service]]
name = "berth-check"
team = "bookings"
replicas = 1
cores = 1
memory = "1GB"
deadline = "2s"

[[job]]
name = "night-allocation"
team = "bookings"
tasks = 3
cores = 4
memory = "8GB"
run_time = "3s"
`
)

// Guards against batch tasks that run in two places, overload a VM, complete
// twice or never complete while workers and shard owners are killed, frozen and
// stopped and the table has faults. The task runtimes keep running when a worker is
// killed, as on real VMs.
func TestBatchUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts separate processes, takes about a minute")
	}
	t.Parallel()
	f := startFleet(t, localrun.Options{Entries: 2, Domains: 2, Workers: 3, Work: batchWork})
	f.setCapacities()
	ctx, stop := context.WithCancel(t.Context())
	jobs := make(map[types.JobID]bool)
	var running sync.WaitGroup
	running.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			id := types.JobID(fmt.Sprintf("s%d-%d", seed(t), n))
			if f.submit(id) {
				jobs[id] = true
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	rng := rand.New(rand.NewPCG(seed(t), 2))
	for end := time.Now().Add(faultDuration(t, 10)); time.Now().Before(end); {
		for range 1 + rng.IntN(2) {
			childRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
			running.Go(func() { f.injectRandomBatchFault(t.Context(), childRNG) })
		}
		time.Sleep(time.Second + time.Duration(rng.Int64N(int64(2*time.Second))))
	}
	stop()
	running.Wait()
	stopped := time.Now()
	f.awaitJobs(jobs, 120*time.Second)
	rec := f.violations()
	t.Logf("%d jobs, %d tasks completed, all jobs finished %v after the last fault", len(jobs), rec.Completed, time.Since(stopped).Round(time.Millisecond))
	t.Logf("faults by kind: %v", f.faultCounts())
	if !rec.Clean() {
		t.Errorf("violations: %+v", rec)
	}
	if want := tasksPerJob * len(jobs); rec.Completed != want {
		listed, err := f.operatorClient().Jobs(t.Context())
		t.Errorf("%d tasks completed, want %d; jobs listed by the system: %+v, %v", rec.Completed, want, listed, err)
	}
}

// injectRandomBatchFault injects a fault into a worker, a shard owner or the
// table.
func (f *fleet) injectRandomBatchFault(ctx context.Context, rng *rand.Rand) {
	kind := [...]string{faultKill, faultFreeze, faultGracefulStop}[rng.IntN(3)]
	switch rng.IntN(3) {
	case 0:
		f.inject(ctx, kind, f.worker(rng.IntN(f.opts.Domains)+1, rng.IntN(f.opts.Workers)+1), rng)
	case 1:
		f.inject(ctx, kind, f.owner(ctx, rng), rng)
	default:
		f.injectTableFault(ctx, rng)
	}
}

// setCapacities sets the VM capacities of the inventory at the platform, so that
// it records overloads.
func (f *fleet) setCapacities() {
	for domain := 1; domain <= f.opts.Domains; domain++ {
		for worker := 1; worker <= f.opts.Workers; worker++ {
			err := f.d.Post(f.t.Context(), "http://"+f.d.PlatformAddr()+"/admin/capacity", standin.CapacityRequest{
				VM:       types.VMID(localrun.WorkerName(domain, worker)),
				Capacity: types.Resources{MilliCPU: 16_000, MemoryBytes: 60e9},
			})
			if err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

// submit submits a job, repeatedly for up to 40 s, until an entry accepts it.
// Otherwise it fails the test and returns false. Repeats use the same ID, because
// a failed submission may have created the job.
func (f *fleet) submit(id types.JobID) bool {
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if _, err := f.operatorClient().Submit(f.t.Context(), id, "night-allocation"); err == nil {
			return true
		}
	}
	f.t.Errorf("job %s not accepted within 40 s", id)
	return false
}

// awaitJobs waits up to limit for each job in turn to finish, and fails the test
// if a job has not completed all its tasks.
func (f *fleet) awaitJobs(jobs map[types.JobID]bool, limit time.Duration) {
	var status entry.JobStatus
	for id := range jobs {
		end := time.Now().Add(limit)
		for {
			var err error
			status, err = f.operatorClient().Job(f.t.Context(), id)
			if err == nil && status.Finished {
				break
			}
			if time.Now().After(end) {
				f.t.Fatalf("job %s not finished after %v: %+v, %v", id, limit, status, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if status.Done != tasksPerJob {
			f.t.Errorf("job %s finished with status %+v, want all tasks done", id, status)
		}
	}
}

func (f *fleet) violations() standin.ViolationRecord {
	var rec standin.ViolationRecord
	b, err := f.d.Get(f.t.Context(), "http://"+f.d.PlatformAddr()+"/admin/witness")
	if err == nil {
		err = json.Unmarshal(b, &rec)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	slices.Sort(rec.RepeatedEndings)
	return rec
}
