package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Load: the target size of docs/design.md, 950 VMs with 3,600 standing and 9,300 filling
// tasks, where filling work arrives as fast as it ends and always waits.
const (
	targetVMs           = 950
	targetStandingJobs  = 150
	targetStandingTasks = 24
	targetFilling       = 9300
	targetFillingTasks  = 20
	targetRunTime       = 13 * time.Second
	// targetWaiting is the number of filling jobs that wait for VMs.
	targetWaiting = 60
	// targetStep is the least time between placement passes with this many VMs.
	targetStep = 240 * time.Millisecond
)

// targetFleet is a harness at the target size.
type targetFleet struct {
	*harness
	jobs int
	// reports and pass are the times that the owner took for the last reports and the
	// last call of Poll.
	reports, pass time.Duration
	// started counts the tasks that the owner has started.
	started int
}

// advance does the same as step, and measures reports and Poll apart.
func (f *targetFleet) advance() {
	f.now += targetStep
	f.spent = 0
	for _, vm := range f.vms {
		f.seq++
		report := f.report(vm, targetStep)
		f.measure(func() { f.o.Report(f.now, report) })
		f.o.Grant(vm)
	}
	f.reports = f.spent
	var out Output
	f.measure(func() { out = f.o.Poll(f.now, f.now) })
	f.pass = f.spent - f.reports
	for _, order := range out.Orders {
		f.seq++
		if order.Kind == OrderStart {
			f.started++
		}
		f.carryOut(order)
		f.o.ApplyResults(f.now, 1, []OrderResult{{Order: order, Result: ResultDone, Seq: f.seq}})
	}
}

func newTargetFleet(tb testing.TB) *targetFleet {
	tb.Helper()
	factors := make(map[string]float64)
	for i := range fleetImages {
		factors[fmt.Sprint("fill", i)] = 0.05
	}
	f := &targetFleet{harness: newHarness(tb, targetVMs, factors)}
	f.o.cfg.OverloadControl = true
	for i := range targetStandingJobs {
		f.submit(types.JobID(fmt.Sprint("standing", i)), Step{Tasks: targetStandingTasks, Demand: types.Resources{MilliCPU: 1600}, Standing: true, Image: fmt.Sprint("serve", i%16), TailTarget: 125 * time.Millisecond})
	}
	for range 8 {
		f.advance()
	}
	for f.fillingTasks() < targetFilling && f.jobs < 2*targetFilling/targetFillingTasks {
		f.arrive(40)
		f.advance()
	}
	return f
}

func (f *targetFleet) fillingTasks() int {
	n := 0
	for _, s := range f.o.ready {
		if s.spec.Fills {
			n += s.live
		}
	}
	return n
}

// arrive submits filling jobs of two steps with sizes that differ by up to a factor of 8.
func (f *targetFleet) arrive(jobs int) {
	for range jobs {
		step := Step{
			Tasks: targetFillingTasks, Demand: types.Resources{MilliCPU: 1300}, RunTime: targetRunTime / 2 * time.Duration(1+f.jobs%8) / 4,
			Fills: true, Image: fmt.Sprint("fill", f.jobs%fleetImages), Checkpoints: true,
		}
		next := step
		next.After = []int{0}
		f.submit(types.JobID(fmt.Sprint("job", f.jobs)), step, next)
		f.jobs++
	}
}

// BenchmarkOwnerPass measures the time that the owner takes for the reports between two
// placement passes, and for a pass.
func BenchmarkOwnerPass(b *testing.B) {
	f := newTargetFleet(b)
	b.ResetTimer()
	f.started = 0
	var pass, reports, tasks time.Duration
	for range b.N {
		waiting := 0
		for _, s := range f.o.ready {
			if s.waiting > 0 && s.live == 0 {
				waiting++
			}
		}
		f.arrive(max(0, targetWaiting-waiting))
		f.advance()
		pass += f.pass
		reports += f.reports
		tasks += time.Duration(f.fillingTasks() + targetStandingJobs*targetStandingTasks)
	}
	b.ReportMetric(float64(pass.Microseconds())/float64(b.N)/1000, "pass-ms/op")
	b.ReportMetric(float64(reports.Microseconds())/float64(b.N)/1000, "reports-ms/op")
	b.ReportMetric(float64(f.started)/float64(b.N), "starts/op")
	b.ReportMetric(float64(tasks)/float64(b.N), "tasks")
}
