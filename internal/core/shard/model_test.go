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

func (sc scenario) config() Config {
	right := 4 * time.Second
	if sc.shortRight {
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
	// unreachable is set while the worker can reach no owner (move "cut
	// worker"), and reachesOnlyFirst while it can reach only the first owner
	// (move "split worker").
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

func newModel(sc scenario, faults int) *model {
	m := &model{
		now: modelStart, table: newSimTable(), scenario: sc, maxFaults: faults, lastIncarnation: 100,
		startedOn: map[types.Attempt]types.VMID{},
		inventory: vmsOf(2, 1),
	}
	j := types.Job{ID: "j", Class: types.ClassBatch, Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}
	b, _ := task.JobRow{Job: j}.Encode()
	m.table.put(task.JobKey(testShard, "j"), b)
	if sc.twoJobs {
		m.inventory = vmsOf(1, 1)
	}
	for i, vm := range vmsOf(2, 1) {
		m.lastIncarnation++
		sw := newSimWorker(m.scenario.config(), vm.ID, m.lastIncarnation)
		m.workers[i] = &modelWorker{simWorker: sw, offset: time.Duration(i*800-500) * time.Second}
		m.owners[i] = m.newOwner(vm.ID)
	}
	m.now += time.Second
	m.stepLease(0)
	if !sc.beforePlacement {
		m.round()
	}
	for _, move := range sc.setup {
		m.step(move)
	}
	return m
}

func (m *model) newOwner(vm types.VMID) *modelOwner {
	m.lastIncarnation++
	return &modelOwner{vm: vm, incarnation: m.lastIncarnation, observer: lease.NewObserver(modelLease(), testShard, vm, m.lastIncarnation)}
}

func (m *model) fail(format string, args ...any) {
	if m.problem == "" {
		m.problem = fmt.Sprintf(format, args...)
	}
}

// moves returns the possible moves. Most moves count as faults, which are
// limited to maxFaults; isFault reports which.
func (m *model) moves() []string {
	moves := []string{"round"}
	for i := range m.inTransit {
		moves = append(moves, fmt.Sprint("deliver ", i))
	}
	if m.tableDown {
		moves = append(moves, "table up")
	}
	for i := range 2 {
		if m.owners[i].frozen || m.owners[i].isolated {
			moves = append(moves, fmt.Sprint("thaw owner ", i))
		}
		if m.workers[i].frozen || m.workers[i].unreachable || m.workers[i].reachesOnlyFirst {
			moves = append(moves, fmt.Sprint("heal worker ", i))
		}
		if m.running(i) != nil {
			moves = append(moves, fmt.Sprint("finish ", i))
		}
	}
	if !m.evictMoveMade {
		moves = append(moves, "evict")
	}
	if m.scenario.twoJobs && !m.submitted {
		moves = append(moves, "submit")
	}
	if m.faults >= m.maxFaults {
		return moves
	}
	moves = append(moves, "round delay commands", "round duplicate commands", "round delay replies",
		"round delay reports", "round lose answer", "round delay batch")
	if !m.tableDown {
		moves = append(moves, "table down")
	}
	for i := range 2 {
		moves = append(moves, fmt.Sprint("restart worker ", i), fmt.Sprint("replace VM ", i))
		if o := m.owners[i]; !o.frozen && o.owner != nil {
			moves = append(moves, fmt.Sprint("freeze owner ", i), fmt.Sprint("round stall owner ", i),
				fmt.Sprint("kill owner ", i), fmt.Sprint("isolate owner ", i))
		}
		if !m.workers[i].frozen && !m.workers[i].unreachable && !m.workers[i].reachesOnlyFirst {
			moves = append(moves, fmt.Sprint("freeze worker ", i), fmt.Sprint("cut worker ", i), fmt.Sprint("split worker ", i))
		}
	}
	return m.scenario.allowed(moves)
}

// step makes a move. It returns the invariant that the move broke, or an empty
// string.
func (m *model) step(move string) string {
	var i int
	name := move
	if last := move[len(move)-1]; last >= '0' && last <= '9' {
		lastSpace := strings.LastIndexByte(move, ' ')
		_, _ = fmt.Sscan(move[lastSpace+1:], &i)
		name = move[:lastSpace]
	}
	if isFault(name) {
		m.faults++
	}
	if strings.HasPrefix(name, "round") {
		m.roundFault = strings.TrimPrefix(move, "round ")
		m.round()
		m.roundFault = ""
	} else {
		m.applyMove(name, i)
	}
	m.check()
	return m.problem
}

func isFault(move string) bool {
	switch strings.Fields(move)[0] {
	case "deliver", "finish", "evict", "submit", "thaw", "heal":
		return false
	}
	return move != "round" && move != "table up"
}

func (m *model) applyMove(name string, i int) {
	switch name {
	case "deliver":
		msg := m.inTransit[i]
		m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
		m.deliver(msg, true)
	case "finish":
		m.finish(i, m.running(i))
	case "evict":
		m.evictMoveMade = true
		for _, o := range m.owners {
			if o.owner != nil && !o.frozen {
				o.owner.Evict(m.now, modelTask)
			}
		}
	case "table down", "table up":
		m.tableDown = name == "table down"
	case "freeze owner":
		m.owners[i].frozen = true
	case "isolate owner":
		m.owners[i].isolated = true
	case "thaw owner": // ends an isolation too
		m.owners[i].frozen, m.owners[i].isolated = false, false
	case "submit":
		m.submit()
	case "kill owner":
		m.owners[i] = m.newOwner(m.owners[i].vm)
	case "freeze worker":
		m.workers[i].frozen = true
	case "cut worker": // it reaches no owner
		m.workers[i].unreachable = true
	case "split worker": // it reaches only the first owner
		m.workers[i].reachesOnlyFirst = true
	case "heal worker":
		m.workers[i].heal()
	case "restart worker", "replace VM":
		m.lastIncarnation++
		worker := m.workers[i]
		if name == "replace VM" {
			worker.tasks = map[types.TaskID]*TaskReport{}
			clear(worker.leases)
			worker.gate = NewGate(m.scenario.config(), worker.vm, m.lastIncarnation)
		}
		worker.restart(m.scenario.config(), m.lastIncarnation)
		worker.frozen = false
	}
}

func (w *modelWorker) heal() {
	w.frozen, w.unreachable, w.reachesOnlyFirst = false, false, false
}

// submit submits a second job, with a higher priority.
func (m *model) submit() {
	m.submitted = true
	j := types.Job{ID: "k", Class: types.ClassBatch, Priority: 9, Tasks: 1, Demand: types.Resources{MilliCPU: 1000}}
	b, _ := task.JobRow{Job: j}.Encode()
	row := m.table.put(task.JobKey(testShard, "k"), b)
	for _, o := range m.owners {
		if o.owner != nil && !o.frozen {
			o.owner.Submit(row)
		}
	}
}

// running returns the attempt of the task that worker i is executing, or nil.
func (m *model) running(i int) *TaskReport {
	worker := m.workers[i]
	tr := worker.tasks[modelTask]
	if tr == nil || !worker.isRunning(m.now+worker.offset, tr) {
		return nil
	}
	return tr
}

// finish completes an attempt if worker i is executing it.
func (m *model) finish(i int, tr *TaskReport) {
	worker := m.workers[i]
	if worker.isRunning(m.now+worker.offset, tr) {
		tr.Phase = PhaseDone
		worker.gate.RecordEnd(tr.Task, tr.Attempt)
	}
}

// checkRunning checks that at most one worker is running the task, and returns
// how many are.
func (m *model) checkRunning() int {
	count := 0
	for i := range m.workers {
		if m.running(i) != nil {
			count++
		}
	}
	if count > 1 {
		m.fail("the task is running on two workers")
	}
	return count
}

// checkCapacity checks that the reservations of the live rows fit their VMs.
func (m *model) checkCapacity() {
	used := map[types.VMID]types.Resources{}
	for _, r := range m.table.scan(task.Prefix(testShard)) {
		row, err := decodeTask(r.Value)
		if err != nil || !row.State.Live() {
			continue
		}
		used[row.VM] = used[row.VM].Add(row.Reserved)
		if !used[row.VM].Fits(types.Resources{MilliCPU: 1000}) {
			m.fail("the rows reserve more than the capacity of VM %s", row.VM)
		}
	}
}

// check checks the invariants of the workers and the table.
func (m *model) check() {
	live := m.checkRunning()
	m.checkCapacity()
	r, ok := m.table.rows[task.Key(testShard, modelTask)]
	if !ok {
		return
	}
	row, err := decodeTask(r.Value)
	if err != nil {
		m.fail("the task's row cannot be decoded: %v", err)
		return
	}
	m.hasCheckpoint = m.hasCheckpoint || row.State == task.Evicted
	if row.State != task.Done {
		if m.doneAttempt != 0 {
			m.fail("the task is no longer done")
		}
		return
	}
	if m.doneAttempt != 0 && m.doneAttempt != row.Attempt {
		m.fail("the task was completed twice")
	}
	m.doneAttempt = row.Attempt
	if live > 0 {
		m.fail("the task is done but still running")
	}
}

// checkCompletion ends all faults and checks that the task completes within
// modelRecoveryRounds. Messages in transit are lost.
func (m *model) checkCompletion() string {
	m.inTransit = nil
	m.tableDown = false
	for i := range 2 {
		m.owners[i].frozen, m.owners[i].isolated = false, false
		m.workers[i].heal()
	}
	for range modelRecoveryRounds {
		m.round()
		m.check()
		for i := range 2 {
			for _, tr := range m.workers[i].tasks {
				m.finish(i, tr)
			}
		}
	}
	if m.doneAttempt == 0 {
		m.fail("the task is not done %d rounds after the last fault", modelRecoveryRounds)
	}
	return m.problem
}
