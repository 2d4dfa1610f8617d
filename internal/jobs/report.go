package jobs

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var decisionEvents = map[workflow.DecisionKind]telemetry.Event{
	workflow.DecisionPlaced: telemetry.Define(650, logrus.InfoLevel, "task placed",
		"A start was ordered. The reason is set for a background run, which is slow until a VM takes the task at full pace. Fields: job, task, run, vm, reason, age of the job in ms, and the VM's load: kind, reserved, filling, capacity, targets, pace. No action."),
	workflow.DecisionEnded: telemetry.Define(651, logrus.InfoLevel, "task done",
		"Fields: job, task, run, vm, age, reason. No action."),
	workflow.DecisionRequeued: telemetry.Define(652, logrus.WarnLevel, "task requeued",
		"The run ended or never began, and the task will be started again. The reason names the cause. If many tasks name the same VM, search the log for it. Fields: job, task, run, vm, age, reason."),
	workflow.DecisionFinished: telemetry.Define(653, logrus.InfoLevel, "job ended",
		"The reason is the final state of the job. For a failed job, the task that has used up its attempts is named. Fields: job, age, reason; queue; work, the declared core-seconds; objective in ms; in_time; task and run of a failed job. Counts by work show which callers pay when capacity is short."),
	workflow.DecisionVMReached: telemetry.Define(654, logrus.InfoLevel, "VM takes work",
		"The worker on the VM has confirmed the owner's epoch and sent its lists of runs. Fields: vm; reason, which is the ID of the worker's boot. No action."),
	workflow.DecisionVMLost: telemetry.Define(655, logrus.WarnLevel, "nothing runs on a VM any more",
		"The worker has ended or its lease has certainly expired; its tasks are started elsewhere. Check the VM and its worker. Fields: vm, reason."),
	workflow.DecisionPaced: telemetry.Define(656, logrus.InfoLevel, "pace changed",
		"Filling tasks of the VM are slowed down or sped up according to the tail latency of its standing tasks, or a background run was brought to full pace. Frequent slowing means that the images interfere with each other. Fields: vm, reason; job, task and run of a background run."),
	workflow.DecisionQuarantine: telemetry.Define(657, logrus.WarnLevel, "VM quarantined or returned",
		"The worker failed or delayed tasks that other workers complete, or no longer does so. Look at its log. Fields: vm, reason."),
	workflow.DecisionWaiting: telemetry.Define(659, logrus.InfoLevel, "task finds no VM",
		"For 2 s or more, no task of the step has been running, and none is under way; or a standing task has not. The reason counts the VMs by what prevents them from running the task, and names evacuated failure domains. Add VMs or check those that are not usable. Fields: job, task, run, age, reason."),
	workflow.DecisionBlocked: telemetry.Define(660, logrus.InfoLevel, "task may not start yet",
		"For 2 s or more, no task of the step, or a standing task, has been running, and a new start could run a task twice. The reason says what must end first and how long this can take: a start or a stop without a certain answer, or, after a takeover, VMs out of reach. Check the VMs that it names. Fields: job, task, age, reason; run and vm of an undecided run."),
	workflow.DecisionEvacuationBegun:   eventEvacuationBegun,
	workflow.DecisionEvacuationEnded:   eventEvacuationEnded,
	workflow.DecisionEvacuationApplied: eventEvacuationApplied,
	workflow.DecisionEvacuationUnknown: eventEvacuationUnknown,
	workflow.DecisionDeferred: telemetry.Define(661, logrus.InfoLevel, "job deferred",
		"Filling work that can still be in time is more than fits. The job goes after the planned ones, since it needs more work for its priority. The reason has the work that it needs, the time until it is due, and the processors that filling work gets. Many deferred jobs mean that VMs are missing. Fields: job, age, reason."),
	workflow.DecisionPlanned: telemetry.Define(662, logrus.InfoLevel, "deferred job planned again",
		"A job of event 661 is planned to be in time. Fields: job, age, reason. No action."),
	workflow.DecisionPreempted: telemetry.Define(670, logrus.InfoLevel, "task preempted",
		"The task is stopped and starts again, to make room for a job of a queue of priority 0 that could not be in time otherwise. The reason names that job, the work that the stop discards, and the cost. 652 follows when the run has ended. Many of them mean that VMs are missing, or that too many queues have priority 0. Fields: job, task, run, vm, age, reason."),
	workflow.DecisionPreempts: telemetry.Define(671, logrus.InfoLevel, "job preempts a task",
		"The same as 670, of the job for which the task is stopped. Fields: job, vm, age, reason. No action."),
	workflow.DecisionHeadroom: telemetry.Define(672, logrus.InfoLevel, "standing task waits for headroom",
		"Standing tasks would take capacity that short work of the service usually uses. The task starts when there is enough, and after 2 s at the latest if a VM has room. The reason has the processors that short work uses and those that standing tasks reserve. If it repeats, VMs are missing. Fields: job, task, age, reason."),
	workflow.DecisionCopyStarted: telemetry.Define(680, logrus.InfoLevel, "copy started",
		"The start of a second run of a task was ordered, since its first run is expected to take much longer than a fresh one. The reason has the first run. Fields: as of event 650. No action."),
	workflow.DecisionCopyWon: telemetry.Define(681, logrus.InfoLevel, "copy finished first",
		"The task is done by its second run, and the first one is stopped. The reason has the first run. Fields: job, task, run, vm, age, reason. No action."),
	workflow.DecisionCopyEnded: telemetry.Define(682, logrus.InfoLevel, "one of two runs ended",
		"The other run of the task goes on or has finished. The reason says how this one ended. If many of them name the same VM and failed, look at its worker. Fields: job, task, run, vm, age, reason."),
	workflow.DecisionStraggler: telemetry.Define(683, logrus.InfoLevel, "straggler",
		"The task runs several times as long as the others of its step while its VM runs other tasks at normal speed, so it is no evidence that the VM is slow. Fields: job, task, run, vm, age, reason. No action."),
}

var eventVMLoad = telemetry.Define(658, logrus.DebugLevel, "load of a VM",
	"Logged once a second for each VM. Fields: vm; reserved, filling, background, using, leftover and capacity in thousandths of a core; tasks; targets; tail as a share of the target; pace in percent; usable; evacuated. No action.")

// loadInterval is the time between log lines with a VM's load.
const loadInterval = time.Second

// logLoads logs the loads of all VMs, at most once per loadInterval.
func (t *term) logLoads(o *workflow.Owner, now time.Duration) {
	if now < t.nextLoadReport || !t.log.Enabled(eventVMLoad) {
		return
	}
	t.nextLoadReport = now + loadInterval
	for _, l := range o.Loads() {
		t.log.Log(eventVMLoad, nil, telemetry.Fields{
			"vm": l.VM, "reserved": l.Reserved, "filling": l.Filling, "background": l.Background, "using": l.Using, "leftover": l.Leftover, "capacity": l.Capacity,
			"tasks": l.Tasks, "targets": l.Targets, "pace": l.Pace, "tail": l.Tail, "usable": l.Usable, "evacuated": l.Evacuated,
		})
	}
}

// logDecisions logs and counts decisions.
func (t *term) logDecisions(decisions []workflow.Decision) {
	for i := range decisions {
		d := &decisions[i]
		fields := telemetry.Fields{}
		job := d.Job
		if d.Task.Job != "" {
			job = d.Task.Job
			fields["task"] = d.Task.String()
			fields["run"] = d.Run
		}
		if job != "" {
			fields["job"] = job
			fields["age"] = d.Age.Milliseconds()
		}
		if d.VM != "" {
			fields["vm"] = d.VM
		}
		if d.Reason != "" {
			fields["reason"] = d.Reason
		}
		if l := d.Load; l != nil {
			fields["kind"], fields["reserved"], fields["filling"] = l.Kind, l.Reserved, l.Filling
			fields["capacity"], fields["targets"], fields["pace"] = l.Capacity, l.Targets, l.Pace
		}
		if e := d.Evacuation; e != nil {
			fields["failure_domain"], fields["vms"], fields["tasks"] = e.Domain, e.VMs, e.Tasks
		}
		if e := d.Outcome; e != nil {
			fields["queue"], fields["work"], fields["objective"], fields["in_time"] = e.Queue, e.Work, e.Objective.Milliseconds(), e.InTime
		}
		t.log.Log(decisionEvents[d.Kind], nil, fields)
		t.metrics.countDecision(d)
	}
}

// termMetrics are the counters and histograms of an owner.
type termMetrics struct {
	scope         tally.Scope
	commits       tally.Counter
	commitRetries tally.Counter
	commitTime    tally.Histogram
	jobTime       tally.Histogram
	idleSteps     map[workflow.IdleCause]tally.Gauge
	background    tally.Gauge
	// evacuatedDomains and evacuatedVMs count evacuated failure domains and the known
	// VMs there.
	evacuatedDomains, evacuatedVMs tally.Gauge
	planned                        tally.Gauge
	deferred                       tally.Gauge
	protected                      tally.Gauge
	throughput                     tally.Gauge
	forecasts                      forecastGauges
	overloadGauges
	copies tally.Gauge
}

func newTermMetrics(scope tally.Scope) *termMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	m := &termMetrics{
		scope: scope, commits: scope.Counter("jobs_batches"), commitRetries: scope.Counter("jobs_batch_retries"),
		commitTime: scope.Histogram("jobs_batch_seconds", buckets), jobTime: scope.Histogram("jobs_duration_seconds", buckets),
		idleSteps: make(map[workflow.IdleCause]tally.Gauge), background: scope.Gauge("jobs_background_runs"),
		evacuatedDomains: scope.Gauge("jobs_evacuated_domains"), evacuatedVMs: scope.Gauge("jobs_evacuated_vms"),
		planned: scope.Gauge("jobs_planned_occurrences"), deferred: scope.Gauge("jobs_deferred_occurrences"),
		protected: scope.Gauge("jobs_protected_occurrences"), throughput: scope.Gauge("jobs_filling_throughput"), overloadGauges: newOverloadGauges(scope),
		copies: scope.Gauge("jobs_copies"),
	}
	for _, cause := range workflow.IdleCauses() {
		m.idleSteps[cause] = scope.Tagged(map[string]string{"cause": string(cause)}).Gauge("jobs_idle_steps")
	}
	return m
}

// setIdle updates the gauges of idle steps and background runs.
func (m *termMetrics) setIdle(steps map[workflow.IdleCause]int, backgroundRuns int) {
	m.background.Update(float64(backgroundRuns))
	for cause, gauge := range m.idleSteps {
		gauge.Update(float64(steps[cause]))
	}
}

// setEvacuated updates the gauges of evacuated failure domains and VMs.
func (m *termMetrics) setEvacuated(domains, vms int) {
	m.evacuatedDomains.Update(float64(domains))
	m.evacuatedVMs.Update(float64(vms))
}

// setOverload updates the gauges of the plan of filling work.
func (m *termMetrics) setOverload(s workflow.OverloadStatus) {
	m.planned.Update(float64(s.Planned))
	m.deferred.Update(float64(s.Deferred))
	m.protected.Update(float64(s.Protected))
	m.throughput.Update(s.Throughput)
}

func (m *termMetrics) commit(begin time.Time, changes int) {
	m.commits.Inc(1)
	m.commitTime.RecordDuration(time.Since(begin))
	m.scope.Counter("jobs_changes").Inc(int64(changes))
}

func (m *termMetrics) countDecision(d *workflow.Decision) {
	switch d.Kind {
	case workflow.DecisionPlaced:
		m.scope.Counter("jobs_starts").Inc(1)
	case workflow.DecisionEnded:
		m.scope.Counter("jobs_tasks_done").Inc(1)
	case workflow.DecisionRequeued:
		m.scope.Counter("jobs_tasks_returned").Inc(1)
	case workflow.DecisionPreempted:
		m.scope.Counter("jobs_tasks_preempted").Inc(1)
	case workflow.DecisionCopyStarted:
		m.scope.Counter("jobs_starts").Inc(1)
		m.scope.Counter("jobs_copies_started").Inc(1)
	case workflow.DecisionCopyWon:
		m.scope.Counter("jobs_copies_won").Inc(1)
	case workflow.DecisionStraggler:
		m.scope.Counter("jobs_stragglers").Inc(1)
	case workflow.DecisionFinished:
		m.scope.Tagged(map[string]string{"state": d.Reason}).Counter("jobs_over").Inc(1)
		if d.Outcome != nil {
			m.scope.Tagged(map[string]string{"queue": d.Outcome.Queue, "in_time": strconv.FormatBool(d.Outcome.InTime)}).Counter("jobs_ended").Inc(1)
		}
		m.jobTime.RecordDuration(d.Age)
	}
}

// countEmergency counts the rounds of questions and the yields of emergency handovers.
func (m *termMetrics) countEmergency(step string) {
	m.scope.Tagged(map[string]string{"step": step}).Counter("jobs_emergency_handovers").Inc(1)
}

// countQuietHandover counts a step of a handover in a quiet period.
func (m *termMetrics) countQuietHandover(step string) {
	m.scope.Tagged(map[string]string{"step": step}).Counter("jobs_quiet_handovers").Inc(1)
}

// countHandover counts a release of the ownership.
func (m *termMetrics) countHandover(r handover.Release) {
	m.scope.Tagged(map[string]string{"cause": string(r.Cause)}).Counter("jobs_handovers").Inc(1)
}
