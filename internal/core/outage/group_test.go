package outage

import (
	"strconv"
	"testing"
	"time"
)

// groupReplay simulates submissions to the partitions of a service of which some reset
// every call. Calls end within a millisecond.
type groupReplay struct {
	g                       *Group
	now                     time.Duration
	down                    func(partition string) bool
	accepted, refused, lost map[string]int
}

func (r *groupReplay) call(partition string, c Call) Result {
	r.g.Started(r.now, partition, c)
	result := Answered
	if r.down(partition) {
		result = Lost
	}
	started := r.now
	r.now += ms
	r.g.Ended(r.now, started, partition, c, result)
	return result
}

// submit makes up to three reads 60 ms apart as a probe, as internal/jobs does.
func (r *groupReplay) submit(partition string) {
	for range 4 {
		switch r.g.Ask(r.now, partition, false) {
		case Admit:
			result := r.call(partition, Write)
			r.g.Done(partition)
			if result == Answered {
				r.accepted[partition]++
			} else {
				r.lost[partition]++
			}
			return
		case Reject, Queue:
			r.refused[partition]++
			r.call(partition, Read) // the probe of a later submission
			return
		case Probe:
			r.call(partition, Read)
			r.now += 60 * ms
		}
	}
	r.refused[partition]++
}

// Guards against refusals for all partitions while only some of them fail, and against
// lost submissions in each partition while all of them fail.
func TestPartialOutage(t *testing.T) {
	const partitions = 32
	for _, test := range []struct {
		name             string
		down             int
		maxLost, minLive int
	}{
		{"nine partitions", 9, 2, 95},
		{"all partitions", partitions, 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &groupReplay{g: NewGroup(800 * ms), now: time.Minute, accepted: map[string]int{}, refused: map[string]int{}, lost: map[string]int{}}
			begin := r.now + 2*time.Second
			end := begin + 5*time.Second
			r.down = func(p string) bool {
				n, _ := strconv.Atoi(p)
				return n < test.down && r.now >= begin && r.now < end
			}
			healthy, served, lost := 0, 0, 0
			for i := 0; r.now < end+2*time.Second; i++ {
				p := strconv.Itoa(i * 7 % partitions)
				during := r.now >= begin && r.now < end
				before := r.accepted[p]
				r.submit(p)
				if n, _ := strconv.Atoi(p); during && n >= test.down {
					healthy++
					served += r.accepted[p] - before
				}
				r.now += 30 * ms
			}
			for _, n := range r.lost {
				lost += n
			}
			if lost > test.maxLost {
				t.Errorf("%d submissions have an unknown outcome, want at most %d", lost, test.maxLost)
			}
			if healthy > 0 && served*100 < healthy*test.minLive {
				t.Errorf("%d of %d submissions to healthy partitions were accepted, want %d%%", served, healthy, test.minLive)
			}
			refused := len(r.refused)
			for i := range partitions {
				r.submit(strconv.Itoa(i))
			}
			if state, cause, open := r.g.State(r.now); state != Closed {
				t.Errorf("the group is %v (%s, %d open) after the outage", state, cause, open)
			}
			if len(r.refused) != refused {
				t.Error("a partition refuses submissions after the outage")
			}
		})
	}
}

// Guards against submissions that wait for a probe of a partition without recent calls
// while the service as a whole is known to be silent: they must be rejected at once.
func TestSilentServiceWithSuspectedPartition(t *testing.T) {
	g := NewGroup(800 * ms)
	for _, partition := range []string{"a", "b"} {
		g.Started(1*ms, partition, Read)
		g.Ended(2*ms, 1*ms, partition, Read, Answered)
	}
	g.Started(10*ms, "a", Read)  // never answered
	g.Started(900*ms, "b", Read) // unanswered, but not for long enough to open b
	if d := g.Ask(1200*ms, "b", false); d != Reject {
		t.Errorf("decision for a suspected partition of a silent service: %v, want Reject", d)
	}
	if d := g.Ask(1200*ms, "c", false); d != Reject {
		t.Errorf("decision for a partition without calls: %v, want Reject", d)
	}
}
