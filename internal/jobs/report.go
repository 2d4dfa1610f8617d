package jobs

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var decisionEvents = map[workflow.DecisionKind]telemetry.Event{
	workflow.DecisionPlaced: telemetry.Define(650, logrus.InfoLevel, "task placed",
		"A start was ordered. Fields: job, task, run, vm, and the age of the job in its occurrence. No action."),
	workflow.DecisionEnded: telemetry.Define(651, logrus.InfoLevel, "task done",
		"Fields: job, task, run, vm, age. No action."),
	workflow.DecisionRequeued: telemetry.Define(652, logrus.WarnLevel, "task waits again",
		"The run is over or never began, and the task is started again. The reason names what ended it. Look for the VM in the log if many have the same."),
	workflow.DecisionFinished: telemetry.Define(653, logrus.InfoLevel, "job is over",
		"The reason is its state. A failed job names the task whose attempts are used up."),
	workflow.DecisionVMReached: telemetry.Define(654, logrus.InfoLevel, "VM takes work",
		"The worker on the VM has confirmed the owner's epoch and given its lists. No action."),
	workflow.DecisionVMLost: telemetry.Define(655, logrus.WarnLevel, "nothing runs on a VM any more",
		"The worker is gone or its lease has surely run out; its tasks are started elsewhere. Look at the VM and its worker."),
	workflow.DecisionPaced: telemetry.Define(656, logrus.InfoLevel, "pace changed",
		"Tasks that fill the VM are slowed down or sped up by the tail latency of its standing tasks. Frequent slowing means that images do not go together."),
	workflow.DecisionQuarantine: telemetry.Define(657, logrus.WarnLevel, "VM quarantined or returned",
		"A worker failed or held up what others carry out, or does so no longer. Look at its log."),
	workflow.DecisionWaiting: telemetry.Define(659, logrus.InfoLevel, "task finds no VM",
		"A step has had nothing live for 2 s or more. The reason counts the VMs by what keeps the task from them. Add VMs or look at those that are not usable."),
}

var eventVMLoad = telemetry.Define(658, logrus.DebugLevel, "load of a VM",
	"Once a second for each VM. Fields: reserved, filling, using, leftover and capacity in thousandths of a core, tail as a share of the target, pace in percent. No action.")

// loadInterval lies between reports of the VMs' loads.
const loadInterval = time.Second

// logLoads logs the loads of all VMs if a second has passed.
func (t *term) logLoads(o *workflow.Owner, now time.Duration) {
	if now < t.nextLoadReport || !t.log.Enabled(eventVMLoad) {
		return
	}
	t.nextLoadReport = now + loadInterval
	for _, l := range o.Loads() {
		t.log.Log(eventVMLoad, nil, telemetry.Fields{
			"vm": l.VM, "reserved": l.Reserved, "filling": l.Filling, "using": l.Using, "leftover": l.Leftover, "capacity": l.Capacity,
			"tasks": l.Tasks, "targets": l.Targets, "pace": l.Pace, "tail": l.Tail, "usable": l.Usable,
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
}

func newTermMetrics(scope tally.Scope) *termMetrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return &termMetrics{
		scope: scope, commits: scope.Counter("jobs_batches"), commitRetries: scope.Counter("jobs_batch_retries"),
		commitTime: scope.Histogram("jobs_batch_seconds", buckets), jobTime: scope.Histogram("jobs_duration_seconds", buckets),
	}
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
	case workflow.DecisionFinished:
		m.scope.Tagged(map[string]string{"state": d.Reason}).Counter("jobs_over").Inc(1)
		m.jobTime.RecordDuration(d.Age)
	}
}
