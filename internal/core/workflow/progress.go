package workflow

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/big"
	"slices"
)

// Progress is the part of an unfinished job's state that is stored for the next
// owner: which tasks are done, the failed runs of the others, and the
// checkpoints.
type Progress struct {
	// FinishedBefore: all occurrences with a lower number are finished and not in
	// Occurrences. Only EncodeWithin sets it.
	FinishedBefore int                  `json:"finished_before,omitempty"`
	Occurrences    []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is the progress of one occurrence that has begun.
type OccurrenceProgress struct {
	Number   int            `json:"number"`
	Finished bool           `json:"finished,omitempty"`
	Steps    []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	// Done is a bit set in base 62; bit i is set if task i is done.
	Done string `json:"done,omitempty"`
	// Failures and Checkpoints are keyed by task index.
	Failures    map[int]Failures `json:"failures,omitempty"`
	Checkpoints map[int]string   `json:"checkpoints,omitempty"`
}

// Failures holds the failed runs of a task in the order in which they were
// reported, which may differ from that of the runs. Run numbers are kept so
// that each run counts once: a worker lists an end again if the owner died
// before it acknowledged the end.
type Failures []uint64

// bitsBase is the base of StepProgress.Done.
const bitsBase = big.MaxBase

// Encode returns the JSON form of the progress.
func (p Progress) Encode() ([]byte, error) {
	return json.Marshal(p)
}

// EncodeWithin returns the JSON form of the progress in at most limit bytes. To that
// end it leaves out checkpoints, and then failed runs, and returns how many: tasks
// without a checkpoint start from the beginning at the next owner, and failed runs
// that it does not know do not count. It modifies the progress.
func (p *Progress) EncodeWithin(limit int) (data []byte, omitted int, err error) {
	p.compactFinished()
	if data, err = json.Marshal(p); err != nil || len(data) <= limit {
		return data, 0, err
	}
	omitted = p.omitCheckpoints(len(data) - limit)
	if data, err = json.Marshal(p); err != nil || len(data) <= limit {
		return data, omitted, err
	}
	omitted += p.omitFailures()
	data, err = json.Marshal(p)
	return data, omitted, err
}

// compactFinished replaces the leading finished occurrences by their number.
func (p *Progress) compactFinished() {
	for len(p.Occurrences) > 0 && p.Occurrences[0].Finished && p.Occurrences[0].Number == p.FinishedBefore {
		p.FinishedBefore++
		p.Occurrences = p.Occurrences[1:]
	}
}

// omitCheckpoints removes checkpoints until their sizes add up to excess bytes, and
// returns how many.
func (p *Progress) omitCheckpoints(excess int) int {
	omitted := 0
	for i := range p.Occurrences {
		for _, s := range p.Occurrences[i].Steps {
			for _, index := range slices.Sorted(maps.Keys(s.Checkpoints)) {
				if excess <= 0 {
					return omitted
				}
				excess -= len(s.Checkpoints[index]) + len(`"":"",`)
				delete(s.Checkpoints, index)
				omitted++
			}
		}
	}
	return omitted
}

// omitFailures removes all failed runs and returns how many tasks had some.
func (p *Progress) omitFailures() int {
	omitted := 0
	for i := range p.Occurrences {
		for s := range p.Occurrences[i].Steps {
			omitted += len(p.Occurrences[i].Steps[s].Failures)
			p.Occurrences[i].Steps[s].Failures = nil
		}
	}
	return omitted
}

// DecodeProgress parses the result of Encode or EncodeWithin.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return p, fmt.Errorf("decode job progress: %w", err)
	}
	if p.FinishedBefore < 0 || p.FinishedBefore > maxOccurrences {
		return p, fmt.Errorf("decode job progress: %d finished occurrences", p.FinishedBefore)
	}
	all := make([]OccurrenceProgress, 0, p.FinishedBefore+len(p.Occurrences))
	for i := range p.FinishedBefore {
		all = append(all, OccurrenceProgress{Number: i, Finished: true})
	}
	p.Occurrences, p.FinishedBefore = append(all, p.Occurrences...), 0
	return p, nil
}

func (j *job) progress() Progress {
	var p Progress
	for _, oc := range j.occurrences {
		op := OccurrenceProgress{Number: oc.number, Finished: oc.finished}
		if !oc.finished {
			for _, s := range oc.steps {
				op.Steps = append(op.Steps, s.progress())
			}
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	return p
}

func (s *step) progress() StepProgress {
	var p StepProgress
	bits := new(big.Int)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase == phaseDone {
			bits.SetBit(bits, i, 1)
			continue
		}
		if len(t.failures) > 0 {
			if p.Failures == nil {
				p.Failures = make(map[int]Failures)
			}
			p.Failures[i] = t.failures
		}
		// Checkpoints of running tasks are stored too, since the owner and the
		// worker may be lost together.
		if t.checkpoint != "" {
			if p.Checkpoints == nil {
				p.Checkpoints = make(map[int]string)
			}
			p.Checkpoints[i] = t.checkpoint
		}
	}
	if bits.Sign() > 0 {
		p.Done = bits.Text(bitsBase)
	}
	return p
}

func (s *step) restore(p StepProgress) error {
	bits := new(big.Int)
	if p.Done != "" {
		if _, ok := bits.SetString(p.Done, bitsBase); !ok {
			return fmt.Errorf("decode progress of job %s: the bit set of done tasks of a step is not a base-62 number", s.job.spec.ID)
		}
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if bits.Bit(i) == 1 {
			t.phase = phaseDone
			s.done++
			s.waiting--
		}
		t.failures = p.Failures[i]
		t.checkpoint = p.Checkpoints[i]
	}
	return nil
}
