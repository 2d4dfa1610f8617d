package jobs

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// Guards against a successor that discards the rows it has read because the answer to
// its last write of the reservation was lost when the owner released the lease to it.
func TestSuccessorWithoutAnswerUsesPreparedRows(t *testing.T) {
	t.Parallel()
	bestOf(t, func(t *testing.T) error {
		m := newMemoryTable()
		a := startEntry(t, m, "a", 1, time.Millisecond)
		a.await(t, 542)
		b := startEntry(t, m, "b", 1, time.Millisecond)
		var ready bool
		var once sync.Once
		lost := make(chan struct{})
		b.table.intercept(func(txn platform.Txn) (bool, error) {
			row, err := handover.Decode(txn.Writes[0].Value)
			if txn.Writes[0].Key != handover.Key || err != nil || !row.Ready {
				return false, nil
			}
			if !ready {
				ready = true
				return false, nil
			}
			b.table.commit(txn)
			once.Do(func() { close(lost) })
			return true, platform.ErrUncertain
		})
		a.table.intercept(func(txn platform.Txn) (bool, error) {
			if releaseOf(txn) {
				<-lost
				time.Sleep(20 * time.Millisecond) // less than the pause before b reads its reservation
			}
			return false, nil
		})
		time.Sleep(leasePollInterval)
		a.stop()
		if l := b.await(t, 542); l.Data["prepared"] != true {
			return errors.New("the successor listed all rows again")
		}
		return nil
	})
}
