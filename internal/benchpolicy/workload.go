// Package benchpolicy compares the core policy with baseline policies on
// simulated nights, with a virtual clock, a workload generator and a model of
// interference.
//
// It is not a cluster simulator: VMs, the task runtime and the requests are
// modelled only as far as the decisions of the policies depend on them. All
// figures of the model are constants of this package and are not fitted to the
// results.
package benchpolicy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/interference"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const gib = 1 << 30

// The night lasts from 18:00 to 06:00 of the virtual clock. Times in the model
// are offsets from its start.
const (
	nightLength = 12 * time.Hour
	bulkArrival = 2 * time.Hour
	lastArrival = 7 * time.Hour
)

// Deployment describes one operator's site.
type Deployment struct {
	Name    string
	Service types.ServiceName
	// Cores and Memory, in bytes, are the size of each VM.
	Cores   int64
	Memory  int64
	Weights interference.Weights
	// ServiceSize is the reservation of the urgent service on each VM, and its
	// usage when all slots are busy.
	ServiceSize types.Resources
	// Load scales the amount of batch work. Waves scales the slowdown that
	// noisy kinds add in their waves. Zero means 1. A wave is a span of time in
	// which the tasks of a noisy kind slow the service more than otherwise.
	Load, Waves float64
}

func oneIfZero(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

const (
	vmCount        = 11
	vmsPerRack     = 3
	domainCount    = 3
	slotsPerVM     = 8
	kindCount      = 8
	noisyKindCount = 2
	batchLoad      = 0.55 // share of all core time from bulkArrival to the end
	meanTaskHours  = 2.0 / 3
)

// Deployments holds the sites of the two operators.
var Deployments = []Deployment{
	{
		Name: "van-damme", Service: "berth-check", Cores: 16, Memory: 60 * gib,
		Weights:     interference.Weights{TailLatency: 1, Eviction: 0.3},
		ServiceSize: types.Resources{MilliCPU: 2400, MemoryBytes: 6 * gib},
	},
	{
		Name: "library", Service: "reservation-check", Cores: 64, Memory: 250 * gib,
		Weights:     interference.Weights{TailLatency: 0.3, Eviction: 1},
		ServiceSize: types.Resources{MilliCPU: 8000, MemoryBytes: 16 * gib},
	},
}

// kind holds the actual properties of a job kind. Policies see only its name.
type kind struct {
	name string
	// cores, memory (in bytes) and runTime are the medians of the tasks of the
	// kind.
	cores   float64
	memory  float64
	runTime time.Duration
	// The declared values are the actual ones multiplied by these factors,
	// which lie between 1/5 and 5.
	cpuError, memoryError, runError float64
	// addedSlowdown is the slowdown that a VM filled with tasks of the kind adds
	// to the service outside waves, and addedSlowdownInWave inside waves.
	addedSlowdown, addedSlowdownInWave float64
	waves                              []span
}

type span struct {
	from, to time.Duration
}

func (k *kind) inWave(now time.Duration) bool {
	for _, w := range k.waves {
		if now >= w.from && now < w.to {
			return true
		}
	}
	return false
}

// task is one batch task, with its actual properties and its state in the
// simulation.
type task struct {
	id          types.TaskID
	job         types.JobID
	kind        int
	cores       float64 // actual use
	memory      float64 // actual peak, in bytes
	work        time.Duration
	declared    types.Resources
	declaredRun time.Duration
	priority    int
	urgent      bool
	gang        int // number of tasks of the gang, 0 for none
	arrival     time.Duration
	deadline    time.Duration

	state       taskState
	everStarted bool // started at least once
	vm          int
	startedAt   time.Duration
	readyAt     time.Duration // end of a backoff or of the pause in a move
	progress    time.Duration
	saved       time.Duration // progress at the last checkpoint
	savedAt     time.Duration
	speed       float64
	evictions   int
	failures    int
	kills       int
	avoid       types.VMID    // VM to avoid at the next start
	failsAt     time.Duration // when the attempt fails, 0 for never
}

type taskState uint8

const (
	waiting taskState = iota
	running
	finished
	refused
)

// workload is one generated night.
type workload struct {
	kinds      []kind
	tasks      []*task
	vmFailures []vmFailure
	// badWorker fails every task in badSpan.
	badWorker int
	badSpan   span
}

// vmFailure is the failure of a VM, from the failure to the replacement.
type vmFailure struct {
	vm int
	span
}

// generateWorkload generates the workload of a night from a seed. The stream of
// random numbers spells night in ASCII; newSim uses the streams 1 to 4.
func generateWorkload(d *Deployment, seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, 0x6e69676874))
	w := &workload{badWorker: rng.IntN(vmCount)}
	from := time.Duration(rng.Int64N(int64(6 * time.Hour)))
	w.badSpan = span{from, from + 2*time.Hour}
	at := time.Hour + time.Duration(rng.Int64N(int64(9*time.Hour)))
	w.vmFailures = []vmFailure{{rng.IntN(vmCount), span{at, at + 10*time.Minute}}}
	for i := range kindCount {
		w.kinds = append(w.kinds, newKind(rng, d, i))
	}
	bulk := oneIfZero(d.Load) * batchLoad * float64(vmCount*d.Cores) * (nightLength - bulkArrival).Hours()
	for done := 0.0; done < bulk; {
		done += w.addJob(rng, d)
	}
	for at := 20 * time.Minute; at < nightLength-time.Hour; at += exponential(rng, 20*time.Minute) {
		w.addUrgent(rng, d, at)
	}
	for range 2 {
		w.addImpossible(rng, d)
	}
	return w
}

func newKind(rng *rand.Rand, d *Deployment, i int) kind {
	k := kind{
		name:          fmt.Sprintf("kind%d", i),
		cores:         float64(d.Cores) * (0.05 + 0.15*rng.Float64()),
		memory:        float64(d.Memory) * (0.03 + 0.12*rng.Float64()),
		runTime:       time.Duration(meanTaskHours * (0.4 + 1.2*rng.Float64()) * float64(time.Hour)),
		cpuError:      errorFactor(rng),
		memoryError:   errorFactor(rng),
		runError:      errorFactor(rng),
		addedSlowdown: 0.1 + 0.4*rng.Float64(),
	}
	k.addedSlowdownInWave = k.addedSlowdown
	if i < noisyKindCount {
		// A task on an eighth of a VM doubles or triples the service time.
		// Factors of 4 to 8 do not separate the policies: the wave p99 of all
		// of them is from 1.11 s to 1.28 s.
		k.addedSlowdownInWave = oneIfZero(d.Waves) * (8 + 12*rng.Float64())
		for at := exponential(rng, 30*time.Minute); at < nightLength; at += 20*time.Minute + exponential(rng, 30*time.Minute) {
			length := 5*time.Minute + time.Duration(rng.Int64N(int64(10*time.Minute)))
			k.waves = append(k.waves, span{at, at + length})
			at += length
		}
	}
	return k
}

// errorFactor returns a random factor from 1/5 to 5 whose logarithm is
// uniformly distributed.
func errorFactor(rng *rand.Rand) float64 {
	return math.Exp((2*rng.Float64() - 1) * math.Log(5))
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// addJob adds one batch job and returns its core hours.
func (w *workload) addJob(rng *rand.Rand, d *Deployment) float64 {
	ki := rng.IntN(len(w.kinds))
	arrival := bulkArrival
	switch u := rng.Float64(); {
	case u < 0.15:
		arrival = time.Duration(rng.Int64N(int64(bulkArrival)))
	case u < 0.30:
		arrival = bulkArrival + time.Duration(rng.Int64N(int64(lastArrival-bulkArrival)))
	}
	n, gang := 1+rng.IntN(6), 0
	if rng.Float64() < 0.1 {
		n = 2 + rng.IntN(3)
		gang = n
	}
	priority := rng.IntN(4)
	var hours float64
	job := types.JobID(fmt.Sprintf("job%04d", len(w.tasks)))
	for range n {
		t := w.newTask(rng, d, ki, job, arrival)
		t.gang, t.priority = gang, priority
		hours += t.cores * t.work.Hours()
	}
	return hours
}

func (w *workload) newTask(rng *rand.Rand, d *Deployment, ki int, job types.JobID, arrival time.Duration) *task {
	k := &w.kinds[ki]
	t := &task{
		id:          types.TaskID(fmt.Sprintf("%s/%d", job, len(w.tasks))),
		job:         job,
		kind:        ki,
		cores:       min(k.cores*math.Exp(0.2*rng.NormFloat64()), 0.4*float64(d.Cores)),
		memory:      min(k.memory*math.Exp(0.2*rng.NormFloat64()), 0.4*float64(d.Memory)),
		work:        min(time.Duration(float64(k.runTime)*math.Exp(0.5*rng.NormFloat64())), 4*time.Hour),
		declaredRun: time.Duration(float64(k.runTime) * k.runError),
		arrival:     arrival,
		deadline:    nightLength,
		speed:       1,
	}
	// Declared sizes are limited to 80 % of a VM, because operators do not
	// declare more than a VM offers beside its service.
	t.declared = types.Resources{
		MilliCPU:    int64(min(1000*k.cores*k.cpuError, 800*float64(d.Cores))),
		MemoryBytes: int64(min(k.memory*k.memoryError, 0.8*float64(d.Memory))),
	}
	w.tasks = append(w.tasks, t)
	return t
}

// addUrgent adds a small urgent job of an ordinary kind.
func (w *workload) addUrgent(rng *rand.Rand, d *Deployment, at time.Duration) {
	ki := noisyKindCount + rng.IntN(len(w.kinds)-noisyKindCount)
	// The arrival is on a whole tick, so that the tick length does not add to
	// the time to start.
	at = at.Truncate(tick)
	t := w.newTask(rng, d, ki, types.JobID(fmt.Sprintf("urgent%04d", len(w.tasks))), at)
	t.urgent, t.priority = true, 100
	t.work = 2*time.Minute + time.Duration(rng.Int64N(int64(8*time.Minute)))
	t.declaredRun = t.work
}

// addImpossible adds a job that fits no VM.
func (w *workload) addImpossible(rng *rand.Rand, d *Deployment) {
	t := w.newTask(rng, d, rng.IntN(len(w.kinds)), types.JobID(fmt.Sprintf("impossible%04d", len(w.tasks))), bulkArrival)
	t.declared.MilliCPU = 2000 * d.Cores
	t.cores = 2 * float64(d.Cores)
}

// requestRate returns the rate of urgent requests per second and VM.
func requestRate(now time.Duration) float64 {
	switch {
	case now < 3*time.Hour, now >= 11*time.Hour:
		return 4
	default:
		return 1.5
	}
}
