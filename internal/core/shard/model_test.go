package shard

import (
	"fmt"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// The model consists of one task, two owner processes, two workers and a table.
// Time advances in rounds of one second. In a round, every process that is
// neither frozen nor cut off acts. All other events are separate moves.
const (
	modelTask  = types.TaskID("j/0")
	modelStart = 1000 * time.Second
	// modelRecoveryRounds is the number of rounds without faults after which
	// the task must be done, whatever the state was.
	modelRecoveryRounds = 14
)

func (m scenario) config() Config {
	right := 4 * time.Second
	if m.shortRight {
		right = 2 * time.Second
	}
	return Config{
		Shard: testShard, RunRight: right, MaxBatchRows: 4,
		CommandRetry: 500 * time.Millisecond, CommandValidity: right - time.Second,
		EvictTimeout: time.Hour, TableBackoff: 500 * time.Millisecond, MaxPlacements: 4,
	}
}

func modelLease() lease.Config {
	return lease.Config{TTL: 2 * time.Second, Renewal: time.Second, Margin: time.Second}
}

func modelMembers() membership.Config {
	return membership.Config{
		Interval: time.Second, FastInterval: time.Second,
		DeadAfter: 900 * time.Millisecond, PauseThreshold: 1500 * time.Millisecond,
	}
}

// otherVMPlacer prefers a VM that differs from the VM of the last attempt.
type otherVMPlacer struct{}

func (otherVMPlacer) Place(d Demand, cands []Candidate) Decision {
	var best Decision
	for _, c := range cands {
		if !c.Available || !d.Job.Demand.Fits(c.Free) {
			continue
		}
		if best.VM == "" || best.VM == d.LastVM {
			best.VM = c.VM.ID
		}
	}
	return best
}

// modelOwner is a process that competes for the ownership of the shard.
type modelOwner struct {
	vm          types.VMID
	incarnation types.Incarnation
	observer    *lease.Observer
	holder      *lease.Holder
	owner       *Owner
	frozen      bool
	// isolated is set while the process cannot reach the table.
	isolated bool
}

// modelWorker is a worker and its runtime, with a clock offset.
type modelWorker struct {
	*simWorker
	offset time.Duration
	frozen bool
	// unreachable is set while the worker can reach no owner, and
	// reachesOnlyFirst while it can reach only the first.
	unreachable, reachesOnlyFirst bool
}

// message is a message in transit or in the socket buffer of a frozen process.
type message struct {
	kind    string
	owner   int
	command *Command
	report  *Report
	reply   *HeartbeatReply
	batch   *Batch
}

type model struct {
	now      time.Duration
	table    *simTable
	leaseRow lease.Row // the decoded content of the lease row
	// inventory holds the VMs that the owners may place tasks on.
	inventory       []types.VM
	submitted       bool
	owners          [2]*modelOwner
	workers         [2]*modelWorker
	inTransit       []message
	lastIncarnation types.Incarnation
	faults          int
	tableDown       bool
	// evictMoveMade is set once the evict move was made.
	evictMoveMade bool
	// doneAttempt is the attempt of the first done row; 0 before.
	doneAttempt types.Attempt
	// startedOn maps an attempt to the VM that executed its start command.
	startedOn map[types.Attempt]types.VMID
	// hasCheckpoint is set once the task's row was seen evicted.
	hasCheckpoint bool
	problem       string
	// roundFault is the fault that applies during the current round.
	roundFault string
	scenario   scenario
	maxFaults  int
}

func newModel(m scenario, faults int) *model {
	w := &model{
		now: modelStart, table: newSimTable(), scenario: m, maxFaults: faults, lastIncarnation: 100,
		startedOn: map[types.Attempt]types.VMID{},
		inventory: vmsOf(2, 1),
	}
	j := types.Job{ID: "j", Class: types.ClassBatch, Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}
	b, _ := task.JobRow{Job: j}.Encode()
	w.table.put(task.JobKey(testShard, "j"), b)
	if m.twoJobs {
		w.inventory = vmsOf(1, 1)
	}
	for i, vm := range vmsOf(2, 1) {
		w.lastIncarnation++
		sw := newSimWorker(w.scenario.config(), vm.ID, w.lastIncarnation)
		w.workers[i] = &modelWorker{simWorker: sw, offset: time.Duration(i*800-500) * time.Second}
		w.owners[i] = w.newOwner(vm.ID)
	}
	w.now += time.Second
	w.stepLease(0)
	if !m.beforePlacement {
		w.round()
	}
	for _, move := range m.setup {
		w.step(move)
	}
	return w
}

func (w *model) newOwner(vm types.VMID) *modelOwner {
	w.lastIncarnation++
	return &modelOwner{vm: vm, incarnation: w.lastIncarnation, observer: lease.NewObserver(modelLease(), testShard, vm, w.lastIncarnation)}
}

func (w *model) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// moves returns the possible moves. Most moves count as faults, which are
// limited to maxFaults; isFault reports which.
func (w *model) moves() []string {
	moves := []string{"round"}
	for i := range w.inTransit {
		moves = append(moves, fmt.Sprint("deliver ", i))
	}
	if w.tableDown {
		moves = append(moves, "table up")
	}
	for i := range 2 {
		if w.owners[i].frozen || w.owners[i].isolated {
			moves = append(moves, fmt.Sprint("thaw owner ", i))
		}
		if w.workers[i].frozen || w.workers[i].unreachable || w.workers[i].reachesOnlyFirst {
			moves = append(moves, fmt.Sprint("heal worker ", i))
		}
		if w.running(i) != nil {
			moves = append(moves, fmt.Sprint("finish ", i))
		}
	}
	if !w.evictMoveMade {
		moves = append(moves, "evict")
	}
	if w.scenario.twoJobs && !w.submitted {
		moves = append(moves, "submit")
	}
	if w.faults >= w.maxFaults {
		return moves
	}
	moves = append(moves, "round delay commands", "round duplicate commands", "round delay replies",
		"round delay reports", "round lose answer", "round delay batch")
	if !w.tableDown {
		moves = append(moves, "table down")
	}
	for i := range 2 {
		moves = append(moves, fmt.Sprint("restart worker ", i), fmt.Sprint("replace VM ", i))
		if o := w.owners[i]; !o.frozen && o.owner != nil {
			moves = append(moves, fmt.Sprint("freeze owner ", i), fmt.Sprint("round stall owner ", i),
				fmt.Sprint("kill owner ", i), fmt.Sprint("isolate owner ", i))
		}
		if !w.workers[i].frozen && !w.workers[i].unreachable && !w.workers[i].reachesOnlyFirst {
			moves = append(moves, fmt.Sprint("freeze worker ", i), fmt.Sprint("cut worker ", i), fmt.Sprint("split worker ", i))
		}
	}
	return w.scenario.allowed(moves)
}

// step makes a move. It returns the invariant that the move broke, or an empty
// string.
func (w *model) step(move string) string {
	var i int
	name := move
	if last := move[len(move)-1]; last >= '0' && last <= '9' {
		lastSpace := strings.LastIndexByte(move, ' ')
		_, _ = fmt.Sscan(move[lastSpace+1:], &i)
		name = move[:lastSpace]
	}
	if isFault(name) {
		w.faults++
	}
	if strings.HasPrefix(name, "round") {
		w.roundFault = strings.TrimPrefix(move, "round ")
		w.round()
		w.roundFault = ""
	} else {
		w.applyMove(name, i)
	}
	w.check()
	return w.problem
}

func isFault(move string) bool {
	switch strings.Fields(move)[0] {
	case "deliver", "finish", "evict", "submit", "thaw", "heal":
		return false
	}
	return move != "round" && move != "table up"
}

func (w *model) applyMove(name string, i int) {
	switch name {
	case "deliver":
		m := w.inTransit[i]
		w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
		w.deliver(m, true)
	case "finish":
		w.finish(i, w.running(i))
	case "evict":
		w.evictMoveMade = true
		for _, o := range w.owners {
			if o.owner != nil && !o.frozen {
				o.owner.Evict(w.now, modelTask)
			}
		}
	case "table down", "table up":
		w.tableDown = name == "table down"
	case "freeze owner":
		w.owners[i].frozen = true
	case "isolate owner":
		w.owners[i].isolated = true
	case "thaw owner":
		w.owners[i].frozen, w.owners[i].isolated = false, false
	case "submit":
		w.submit()
	case "kill owner":
		w.owners[i] = w.newOwner(w.owners[i].vm)
	case "freeze worker":
		w.workers[i].frozen = true
	case "cut worker":
		w.workers[i].unreachable = true
	case "split worker":
		w.workers[i].reachesOnlyFirst = true
	case "heal worker":
		w.workers[i].heal()
	case "restart worker", "replace VM":
		w.lastIncarnation++
		worker := w.workers[i]
		if name == "replace VM" {
			worker.tasks = map[types.TaskID]*TaskReport{}
			clear(worker.leases)
			worker.gate = NewGate(w.scenario.config(), worker.vm, w.lastIncarnation)
		}
		worker.restart(w.scenario.config(), w.lastIncarnation)
		worker.frozen = false
	}
}

func (m *modelWorker) heal() {
	m.frozen, m.unreachable, m.reachesOnlyFirst = false, false, false
}

// submit submits a second job, with a higher priority.
func (w *model) submit() {
	w.submitted = true
	j := types.Job{ID: "k", Class: types.ClassBatch, Priority: 9, Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}
	b, _ := task.JobRow{Job: j}.Encode()
	row := w.table.put(task.JobKey(testShard, "k"), b)
	for _, o := range w.owners {
		if o.owner != nil && !o.frozen {
			o.owner.Submit(row)
		}
	}
}

// running returns the attempt of the task that worker i is executing, or nil.
func (w *model) running(i int) *TaskReport {
	worker := w.workers[i]
	tr := worker.tasks[modelTask]
	if tr == nil || !worker.isRunning(w.now+worker.offset, tr) {
		return nil
	}
	return tr
}

// finish completes an attempt if worker i is executing it.
func (w *model) finish(i int, tr *TaskReport) {
	worker := w.workers[i]
	if worker.isRunning(w.now+worker.offset, tr) {
		tr.Phase = PhaseDone
		worker.gate.RecordEnd(tr.Task, tr.Attempt)
	}
}

// checkRunning checks that at most one worker is running the task, and returns
// how many are.
func (w *model) checkRunning() int {
	count := 0
	for i := range w.workers {
		if w.running(i) != nil {
			count++
		}
	}
	if count > 1 {
		w.fail("the task is running on two workers")
	}
	return count
}

// checkCapacity checks that the reservations of the live rows fit their VMs.
func (w *model) checkCapacity() {
	used := map[types.VMID]types.Resources{}
	for _, r := range w.table.scan(task.Prefix(testShard)) {
		row, err := decodeTask(r.Value)
		if err != nil || !row.State.Live() {
			continue
		}
		used[row.VM] = used[row.VM].Add(row.Reserved)
		if !used[row.VM].Fits(types.Resources{MilliCPU: 1000}) {
			w.fail("the rows reserve more than the capacity of VM %s", row.VM)
		}
	}
}

// check checks the invariants of the workers and the table.
func (w *model) check() {
	live := w.checkRunning()
	w.checkCapacity()
	r, ok := w.table.rows[task.Key(testShard, modelTask)]
	if !ok {
		return
	}
	row, err := decodeTask(r.Value)
	if err != nil {
		w.fail("the task's row cannot be decoded: %v", err)
		return
	}
	w.hasCheckpoint = w.hasCheckpoint || row.State == task.Evicted
	if row.State != task.Done {
		if w.doneAttempt != 0 {
			w.fail("the task is no longer done")
		}
		return
	}
	if w.doneAttempt != 0 && w.doneAttempt != row.Attempt {
		w.fail("the task was completed twice")
	}
	w.doneAttempt = row.Attempt
	if live > 0 {
		w.fail("the task is done but still running")
	}
}

// checkCompletion ends all faults and checks that the task completes within
// modelRecoveryRounds. Messages in transit are lost.
func (w *model) checkCompletion() string {
	w.inTransit = nil
	w.tableDown = false
	for i := range 2 {
		w.owners[i].frozen, w.owners[i].isolated = false, false
		w.workers[i].heal()
	}
	for range modelRecoveryRounds {
		w.round()
		w.check()
		for i := range 2 {
			for _, tr := range w.workers[i].tasks {
				w.finish(i, tr)
			}
		}
	}
	if w.doneAttempt == 0 {
		w.fail("the task is not done %d rounds after the last fault", modelRecoveryRounds)
	}
	return w.problem
}
