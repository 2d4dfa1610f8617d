package shard

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const testShard = types.ShardID("s")

// firstFit places a task on the first available VM with enough free capacity.
// For an urgent task without such a VM, it evicts the first attempt that frees
// enough.
type firstFit struct{}

func (firstFit) Place(d Demand, cands []Candidate) Decision {
	for _, c := range cands {
		if c.Available && d.Job.Demand.Fits(c.Free) {
			return Decision{VM: c.VM.ID}
		}
	}
	if !d.Job.Urgent {
		return Decision{}
	}
	for _, c := range cands {
		for _, r := range c.Running {
			if c.Available && r.Evictable && !r.Job.Urgent && d.Job.Demand.Fits(c.Free.Add(r.Reserved)) {
				return Decision{VM: c.VM.ID, Evict: []types.TaskID{r.Task}}
			}
		}
	}
	return Decision{}
}

// simTable simulates the platform's table.
type simTable struct {
	rows     map[string]TableRow
	revision uint64
}

func newSimTable() *simTable {
	return &simTable{rows: map[string]TableRow{}}
}

func (s *simTable) put(key string, value []byte) TableRow {
	s.revision++
	s.rows[key] = TableRow{Key: key, Value: value, Revision: s.revision}
	return s.rows[key]
}

func (s *simTable) read(keys []string) []TableRow {
	rows := make([]TableRow, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, s.rows[k])
	}
	return rows
}

func (s *simTable) scan(prefix string) []TableRow {
	var keys []string
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return s.read(keys)
}

// commit commits a batch if its conditions hold, and returns the new revision.
// With noFence it skips the condition on the fence row.
func (s *simTable) commit(b *Batch, noFence bool) (uint64, bool) {
	if !noFence && s.rows[b.FenceKey].Revision != b.FenceRevision {
		return 0, false
	}
	for _, w := range b.Writes {
		if s.rows[w.Key].Revision != w.Revision {
			return 0, false
		}
	}
	s.revision++
	for _, w := range b.Writes {
		s.rows[w.Key] = TableRow{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return s.revision, true
}

// decoded caches the results of task.Decode, which otherwise takes half of the
// time of a search.
var decoded sync.Map

func decodeTask(value []byte) (task.Row, error) {
	if row, ok := decoded.Load(string(value)); ok {
		return row.(task.Row), nil
	}
	row, err := task.Decode(value)
	if err == nil {
		decoded.Store(string(value), row)
	}
	return row, err
}

func (s *simTable) task(t testing.TB, id types.TaskID) task.Row {
	r, ok := s.rows[task.Key(testShard, id)]
	if !ok {
		return task.Row{State: task.Pending}
	}
	row, err := task.Decode(r.Value)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// takeOver writes a new fence row and returns an owner that has loaded the rows
// of the table.
func (s *simTable) takeOver(now time.Duration, cfg Config, epoch types.Epoch, vms []types.VM) *Owner {
	return s.takeOverWith(now, cfg, epoch, vms, firstFit{})
}

func (s *simTable) takeOverWith(now time.Duration, cfg Config, epoch types.Epoch, vms []types.VM, p Placer) *Owner {
	cfg.Shard = testShard
	cfg.Epoch = epoch
	cfg.Incarnation = types.Incarnation(1000 + epoch)
	cfg.FenceRevision = s.put(lease.FenceKey(testShard), []byte(fmt.Sprint(epoch))).Revision
	o := NewOwner(cfg, membership.DefaultConfig(), p, now)
	o.SetLease(now + time.Hour)
	o.SetVMs(vms)
	o.Recover(s.scan(task.JobPrefix(testShard)), s.scan(task.Prefix(testShard)))
	return o
}

// simWorker simulates a worker and its runtime.
type simWorker struct {
	vm          types.VMID
	incarnation types.Incarnation
	gate        *Gate
	tasks       map[types.TaskID]*TaskReport
	// leases holds the ends of the runtime leases that an earlier worker
	// process renewed, for the attempts that were confirmed in that process.
	leases    map[types.TaskID]time.Duration
	echo      membership.Echo
	seq       uint64
	reportSeq uint64
	// onStart changes the initial state of an attempt; if nil, the attempt
	// runs.
	onStart func(*TaskReport)
	// ignoresCheckpoints: the worker never saves a checkpoint.
	ignoresCheckpoints bool
}

func newSimWorker(cfg Config, vm types.VMID, i types.Incarnation) *simWorker {
	return &simWorker{
		vm: vm, incarnation: i, gate: NewGate(cfg, vm, i),
		tasks: map[types.TaskID]*TaskReport{}, leases: map[types.TaskID]time.Duration{},
	}
}

// restart replaces the worker process. The runtime keeps its attempts.
func (w *simWorker) restart(cfg Config, i types.Incarnation) {
	for id, rec := range w.gate.tasks {
		if rec.confirmed && !rec.stopped {
			w.leases[id] = w.gate.RunRightEnd()
		}
	}
	w.incarnation = i
	w.gate = NewGate(cfg, w.vm, i)
	w.seq, w.reportSeq = 0, 0
	w.echo = membership.Echo{}
	for _, id := range w.taskIDs() {
		w.gate.AddExisting(id, w.tasks[id].Attempt, w.tasks[id].Class)
	}
}

func (w *simWorker) taskIDs() []types.TaskID {
	taskIDs := make([]types.TaskID, 0, len(w.tasks))
	for id := range w.tasks {
		taskIDs = append(taskIDs, id)
	}
	slices.Sort(taskIDs)
	return taskIDs
}

// isRunning reports whether an attempt is executing at now.
func (w *simWorker) isRunning(now time.Duration, tr *TaskReport) bool {
	if tr.Phase != PhaseRunning {
		return false
	}
	if tr.Class == types.ClassLatencyCritical {
		return true
	}
	return w.gate.MayRun(now, tr.Task, tr.Attempt) || now < w.leases[tr.Task]
}

func (w *simWorker) heartbeat(now time.Duration) membership.Heartbeat {
	w.seq++
	return membership.Heartbeat{VM: w.vm, Incarnation: w.incarnation, Seq: w.seq, SentAt: now, Echo: w.echo}
}

func (w *simWorker) acked(now time.Duration, r HeartbeatReply) {
	w.echo = r.Ack.Echo
	w.gate.Acked(now, r)
}

func (w *simWorker) buildReport(now time.Duration) Report {
	w.gate.Tick(now)
	w.reportSeq++
	r := Report{VM: w.vm, Incarnation: w.incarnation, Seq: w.reportSeq, Complete: true}
	for _, id := range w.taskIDs() {
		tr := *w.tasks[id]
		if tr.Phase == PhaseRunning && !w.gate.MayRun(now, id, tr.Attempt) {
			tr.Phase = PhaseSuspended
		}
		r.Tasks = append(r.Tasks, tr)
	}
	return r
}

func (w *simWorker) command(now time.Duration, c Command) GateVerdict {
	v := w.gate.Command(now, c)
	if v != Execute {
		return v
	}
	tr := w.tasks[c.Task]
	switch c.Kind {
	case CommandStart:
		if tr == nil || tr.Attempt != c.Attempt {
			delete(w.leases, c.Task)
			w.tasks[c.Task] = &TaskReport{
				Task: c.Task, Attempt: c.Attempt, Class: c.Class, Phase: PhaseRunning, Reserved: c.Reserved,
			}
			if w.onStart != nil {
				w.onStart(w.tasks[c.Task])
			}
		}
	case CommandStop:
		if tr == nil || tr.Attempt < c.Attempt {
			w.tasks[c.Task] = &TaskReport{Task: c.Task, Attempt: c.Attempt, Phase: PhaseStopped}
		} else if !tr.Phase.terminal() {
			tr.Phase = PhaseStopped
		}
	case CommandCheckpoint:
		if tr != nil && !tr.Phase.terminal() && !w.ignoresCheckpoints {
			tr.Checkpoint = c.Checkpoint
		}
	case CommandForget:
		if tr != nil && tr.Attempt == c.Attempt && tr.Phase.terminal() {
			delete(w.tasks, c.Task)
		}
	}
	return v
}

// sim simulates one owner and its workers with a reliable network.
type sim struct {
	t         testing.TB
	now       time.Duration
	table     *simTable
	owner     *Owner
	workers   []*simWorker
	tableDown bool
	starts    int
	batches   int
	maxRows   int
}

func vmsOf(n int, cores int64) []types.VM {
	vms := make([]types.VM, 0, n)
	for i := range n {
		id := types.VMID(fmt.Sprintf("vm%02d", i))
		vms = append(vms, types.VM{ID: id, Shard: testShard, Capacity: types.Resources{MilliCPU: cores * 1000}})
	}
	return vms
}

func newSim(t testing.TB, vms, cores int) *sim {
	return newSimWith(t, vms, cores, firstFit{})
}

func newSimWith(t testing.TB, vms, cores int, p Placer) *sim {
	s := &sim{t: t, now: time.Minute, table: newSimTable()}
	for i, vm := range vmsOf(vms, int64(cores)) {
		s.workers = append(s.workers, newSimWorker(DefaultConfig(), vm.ID, types.Incarnation(i+1)))
	}
	s.owner = s.table.takeOverWith(s.now, DefaultConfig(), 1, vmsOf(vms, int64(cores)), p)
	return s
}

func (s *sim) submit(job types.Job) {
	b, err := task.JobRow{Job: job}.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.owner.Submit(s.table.put(task.JobKey(testShard, job.ID), b))
}

// run advances the time by d in steps of 100 ms.
func (s *sim) run(d time.Duration) {
	s.t.Helper()
	for end := s.now + d; s.now < end; s.now += 100 * time.Millisecond {
		for _, w := range s.workers {
			if reply, ok := s.owner.Heartbeat(s.now, w.heartbeat(s.now)); ok {
				w.acked(s.now, reply)
			}
			s.owner.Report(s.now, w.buildReport(s.now))
		}
		s.applyOutput(s.owner.Poll(s.now))
	}
}

func (s *sim) applyOutput(out Output) {
	s.t.Helper()
	for _, v := range out.Violations {
		s.t.Fatal(v)
	}
	for _, p := range out.Problems {
		s.t.Fatal(p)
	}
	for _, c := range out.Commands {
		for _, w := range s.workers {
			if w.vm == c.VM && w.command(s.now, c) == Execute && c.Kind == CommandStart {
				s.starts++
			}
		}
	}
	if b := out.Batch; b != nil {
		s.batches++
		s.maxRows = max(s.maxRows, len(b.Writes))
		if s.tableDown {
			s.owner.BatchDone(s.now, b.ID, BatchUncertain, 0, nil)
		} else if rev, ok := s.table.commit(b, false); ok {
			s.owner.BatchDone(s.now, b.ID, BatchCommitted, rev, nil)
		} else {
			s.owner.BatchDone(s.now, b.ID, BatchConflict, 0, s.table.read(b.Keys()))
		}
	}
	if r := out.Read; r != nil {
		s.owner.ReadDone(s.now, r.ID, s.table.read(r.Keys), !s.tableDown)
	}
}

func job(id string, tasks int, cores int64) types.Job {
	return types.Job{
		ID: types.JobID(id), Class: types.ClassBatch, Tasks: tasks,
		Demand: types.Resources{MilliCPU: cores * 1000}, RunTime: time.Minute,
	}
}
