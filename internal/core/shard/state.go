package shard

import "github.com/boragecrank/boragecrank/internal/core/types"

func (v *vmState) add(t *taskState, r types.Resources) {
	v.reserved = v.reserved.Add(r)
	v.tasks = append(v.tasks, t)
}

func (v *vmState) remove(t *taskState, r types.Resources) {
	v.reserved = v.reserved.Sub(r)
	for i, other := range v.tasks {
		if other == t {
			v.tasks = append(v.tasks[:i], v.tasks[i+1:]...)
			return
		}
	}
}

// occupied returns the capacity used by attempts, including reported attempts
// that are not live in any row.
func (v *vmState) occupied() types.Resources {
	return v.reserved.Add(v.orphanSum)
}

// clearAttempt resets the state of an attempt that has ended.
func (t *taskState) clearAttempt() {
	t.evicting = false
	t.checkpointed = false
	t.needStop = false
	t.needResume = false
	t.lastReporter = 0
	t.latestCheckpoint = ""
	t.lastCommand = ""
	t.lastCommandAt = 0
}

func (j *jobState) countEnded(ended bool) {
	if ended {
		j.ended++
		return
	}
	j.ended--
}

func snapshot(tasks []*taskState) []*taskState {
	return append([]*taskState(nil), tasks...)
}
