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

// The model has one task, two owners, two workers and a table. Time moves in
// rounds of one second, in which every process that is neither frozen nor cut
// off does what is due. Everything else that happens is a move of its own.
const (
	modelTask  = types.TaskID("j/0")
	modelStart = 1000 * time.Second
	// modelClosing is the number of rounds without faults after which the task
	// must be done from any state.
	modelClosing = 14
)

func (m mutant) config() Config {
	right := 4 * time.Second
	if m.shortRight {
		right = 2 * time.Second
	}
	return Config{
		Shard: testShard, RunRight: right, BatchRows: 4,
		CommandRetry: 500 * time.Millisecond, CommandBudget: right - time.Second,
		EvictTimeout: time.Hour, StoreBackoff: 500 * time.Millisecond, PlaceTries: 4,
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

// elsewhere places on another VM than the last attempt's if it can.
type elsewhere struct{}

func (elsewhere) Place(d Demand, cands []Candidate) Decision {
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

// modelOwner is a process that may own the shard.
type modelOwner struct {
	vm       types.VMID
	inc      types.Incarnation
	observer *lease.Observer
	holder   *lease.Holder
	owner    *Owner
	frozen   bool
	// isolated owners do not reach the table.
	isolated bool
}

// modelWorker is a worker with its runtime on a clock of its own.
type modelWorker struct {
	*simWorker
	offset time.Duration
	frozen bool
	// cut workers reach no owner; split ones not the second.
	cut, split bool
}

// message waits in the network or in the socket of a frozen process.
type message struct {
	what    string
	owner   int
	command *Command
	report  *Report
	reply   *HeartbeatReply
	batch   *Batch
}

type world struct {
	now      time.Duration
	table    *simTable
	leaseRow lease.Row // the content of the lease row
	// inventory holds the VMs that the owners place on.
	inventory []types.VM
	submitted bool
	owners    [2]*modelOwner
	workers   [2]*modelWorker
	pool      []message
	incs      types.Incarnation
	faults    int
	down      bool
	evicted   bool
	doneAt    types.Attempt
	// startedOn is the VM that executed the start of an attempt.
	startedOn  map[types.Attempt]types.VMID
	checkpoint bool
	problem    string
	// variant is the fault of the present round.
	variant string
	mutant  mutant
	maximum int
}

func newWorld(m mutant, faults int) *world {
	w := &world{
		now: modelStart, table: newSimTable(), mutant: m, maximum: faults, incs: 100,
		startedOn: map[types.Attempt]types.VMID{},
		inventory: vmsOf(2, 1),
	}
	j := types.Job{ID: "j", Class: types.ClassBatch, Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}
	b, _ := task.JobRow{Job: j}.Encode()
	w.table.put(task.JobKey(testShard, "j"), b)
	if m.pair {
		w.inventory = vmsOf(1, 1)
	}
	for i, vm := range vmsOf(2, 1) {
		w.incs++
		sw := newSimWorker(w.mutant.config(), vm.ID, w.incs)
		w.workers[i] = &modelWorker{simWorker: sw, offset: time.Duration(i*800-500) * time.Second}
		w.owners[i] = w.newOwner(vm.ID)
	}
	w.now += time.Second
	w.leaseStep(0)
	if !m.fresh {
		w.round()
	}
	for _, move := range m.setup {
		w.step(move)
	}
	return w
}

func (w *world) newOwner(vm types.VMID) *modelOwner {
	w.incs++
	return &modelOwner{vm: vm, inc: w.incs, observer: lease.NewObserver(modelLease(), testShard, vm, w.incs)}
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// moves returns the enabled moves. Rounds and deliveries are free; the others
// but the end of a fault count as faults.
func (w *world) moves() []string {
	moves := []string{"round"}
	for i := range w.pool {
		moves = append(moves, fmt.Sprint("deliver ", i))
	}
	if w.down {
		moves = append(moves, "store up")
	}
	for i := range 2 {
		if w.owners[i].frozen || w.owners[i].isolated {
			moves = append(moves, fmt.Sprint("thaw owner ", i))
		}
		if w.workers[i].frozen || w.workers[i].cut || w.workers[i].split {
			moves = append(moves, fmt.Sprint("heal worker ", i))
		}
		if w.running(i) != nil {
			moves = append(moves, fmt.Sprint("finish ", i))
		}
	}
	if !w.evicted {
		moves = append(moves, "evict")
	}
	if w.mutant.pair && !w.submitted {
		moves = append(moves, "submit")
	}
	if w.faults >= w.maximum {
		return moves
	}
	moves = append(moves, "round delay commands", "round duplicate commands", "round delay replies",
		"round delay reports", "round lose answer", "round delay batch")
	if !w.down {
		moves = append(moves, "store down")
	}
	for i := range 2 {
		moves = append(moves, fmt.Sprint("restart worker ", i), fmt.Sprint("replace VM ", i))
		if o := w.owners[i]; !o.frozen && o.owner != nil {
			moves = append(moves, fmt.Sprint("freeze owner ", i), fmt.Sprint("round stall owner ", i),
				fmt.Sprint("kill owner ", i), fmt.Sprint("isolate owner ", i))
		}
		if !w.workers[i].frozen && !w.workers[i].cut && !w.workers[i].split {
			moves = append(moves, fmt.Sprint("freeze worker ", i), fmt.Sprint("cut worker ", i), fmt.Sprint("split worker ", i))
		}
	}
	return w.mutant.allowed(moves)
}

// step makes a move and returns the invariant that it broke, or nothing.
func (w *world) step(move string) string {
	var i int
	name := move
	if last := move[len(move)-1]; last >= '0' && last <= '9' {
		cut := strings.LastIndexByte(move, ' ')
		_, _ = fmt.Sscan(move[cut+1:], &i)
		name = move[:cut]
	}
	if isFault(name) {
		w.faults++
	}
	if strings.HasPrefix(name, "round") {
		w.variant = strings.TrimPrefix(move, "round ")
		w.round()
		w.variant = ""
	} else {
		w.other(name, i)
	}
	w.check()
	return w.problem
}

func isFault(move string) bool {
	switch strings.Fields(move)[0] {
	case "deliver", "finish", "evict", "submit", "thaw", "heal":
		return false
	}
	return move != "round" && move != "store up"
}

func (w *world) other(name string, i int) {
	switch name {
	case "deliver":
		m := w.pool[i]
		w.pool = append(w.pool[:i:i], w.pool[i+1:]...)
		w.deliver(m, true)
	case "finish":
		w.finish(i, w.running(i))
	case "evict":
		w.evicted = true
		for _, o := range w.owners {
			if o.owner != nil && !o.frozen {
				o.owner.Evict(w.now, modelTask)
			}
		}
	case "store down", "store up":
		w.down = name == "store down"
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
		w.workers[i].cut = true
	case "split worker":
		w.workers[i].split = true
	case "heal worker":
		w.workers[i].heal()
	case "restart worker", "replace VM":
		w.incs++
		worker := w.workers[i]
		if name == "replace VM" {
			worker.tasks = map[types.TaskID]*TaskReport{}
			clear(worker.leases)
			worker.gate = NewGate(w.mutant.config(), worker.vm, w.incs)
		}
		worker.restart(w.mutant.config(), w.incs)
		worker.frozen = false
	}
}

func (m *modelWorker) heal() {
	m.frozen, m.cut, m.split = false, false, false
}

// submit adds a job of higher priority.
func (w *world) submit() {
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

// running returns the attempt that worker i executes, or nil.
func (w *world) running(i int) *TaskReport {
	worker := w.workers[i]
	tr := worker.tasks[modelTask]
	if tr == nil || !worker.runs(w.now+worker.offset, tr) {
		return nil
	}
	return tr
}

// finish completes an attempt if worker i executes it.
func (w *world) finish(i int, tr *TaskReport) {
	worker := w.workers[i]
	if worker.runs(w.now+worker.offset, tr) {
		tr.Phase = PhaseDone
		worker.gate.Ended(tr.Task, tr.Attempt)
	}
}

// checkLive tests that the task runs on one worker at most.
func (w *world) checkLive() int {
	live := 0
	for i := range w.workers {
		if w.running(i) != nil {
			live++
		}
	}
	if live > 1 {
		w.fail("the task runs on two workers")
	}
	return live
}

// checkCapacity tests that the live rows fit their VMs.
func (w *world) checkCapacity() {
	used := map[types.VMID]types.Resources{}
	for _, r := range w.table.scan(task.Prefix(testShard)) {
		row, err := decodeTask(r.Value)
		if err != nil || !row.State.Live() {
			continue
		}
		used[row.VM] = used[row.VM].Add(row.Reserved)
		if !used[row.VM].Fits(types.Resources{MilliCPU: 1000}) {
			w.fail("the rows put more on VM %s than it holds", row.VM)
		}
	}
}

// check tests the invariants on the workers and the table.
func (w *world) check() {
	live := w.checkLive()
	w.checkCapacity()
	r, ok := w.table.rows[task.Key(testShard, modelTask)]
	if !ok {
		return
	}
	row, err := decodeTask(r.Value)
	if err != nil {
		w.fail("row: %v", err)
		return
	}
	w.checkpoint = w.checkpoint || row.State == task.Evicted
	if row.State != task.Done {
		if w.doneAt != 0 {
			w.fail("the task is no longer done")
		}
		return
	}
	if w.doneAt != 0 && w.doneAt != row.Attempt {
		w.fail("the task is done twice")
	}
	w.doneAt = row.Attempt
	if live > 0 {
		w.fail("the task is done and runs")
	}
}

// close ends all faults and checks that the task then completes.
func (w *world) close() string {
	w.pool = nil
	w.down = false
	for i := range 2 {
		w.owners[i].frozen, w.owners[i].isolated = false, false
		w.workers[i].heal()
	}
	for range modelClosing {
		w.round()
		w.check()
		for i := range 2 {
			for _, tr := range w.workers[i].tasks {
				w.finish(i, tr)
			}
		}
	}
	if w.doneAt == 0 {
		w.fail("the task is not done %d rounds after the last fault", modelClosing)
	}
	return w.problem
}
