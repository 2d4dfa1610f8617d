package jobserver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/jobserver"
	"github.com/boragecrank/boragecrank/platform/standin"
)

// leaseRow is the row of the lease as it is stored.
type leaseRow struct {
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
}

func (d *deployment) lease() leaseRow {
	d.t.Helper()
	var row leaseRow
	rows := d.store.Rows("lease")
	if len(rows) == 0 {
		return row
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		d.t.Fatal(err)
	}
	return row
}

// Guards against an owner that releases the lease before another entry has read the
// rows, against tasks that run twice around a handover, and against submissions that
// fail during it.
func TestOwnerHandsOver(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	d.await("owner", func() bool { return d.lease().Owner != "" })
	before := d.lease()
	owner, other := 0, 1
	if strings.HasPrefix(d.entries[1], before.Owner+":") {
		owner, other = 1, 0
	}
	const early = "00000000000000d1"
	d.accept(other, http.MethodPost, early, twoStepJob(12))
	d.awaitState(other, early, "running")
	d.stops[owner]()
	ids := []string{early}
	for i := range 10 {
		id := fmt.Sprintf("00000000000000e%d", i)
		if code, text := d.call(other, http.MethodPost, "/q/"+id, twoStepJob(2)); code != http.StatusOK {
			t.Errorf("submission during the handover: %d %s", code, text)
		}
		ids = append(ids, id)
		time.Sleep(50 * time.Millisecond)
	}
	<-d.roleDone[owner]
	for _, id := range ids {
		d.awaitState(other, id, "completed")
	}
	after := d.lease()
	if after.Epoch != before.Epoch+1 || after.Owner == before.Owner {
		t.Errorf("the lease before and after: %+v, %+v, want the next epoch at the other entry", before, after)
	}
	var reservation struct {
		VM    string `json:"vm"`
		Epoch uint64 `json:"epoch"`
		Ready bool   `json:"ready"`
	}
	rows := d.store.Rows("handover")
	if len(rows) != 1 {
		t.Fatal("no entry reserved the succession")
	}
	if err := json.Unmarshal(rows[0].Value, &reservation); err != nil {
		t.Fatal(err)
	}
	if reservation.VM != after.Owner || reservation.Epoch != before.Epoch || !reservation.Ready {
		t.Errorf("the reservation is %+v, want a ready successor %s of epoch %d", reservation, after.Owner, before.Epoch)
	}
}

// Guards against jobs that wait for the lease to expire, 2.3 s after its last renewal,
// when the store refuses the owner alone: the entries must find and call each other, and
// the former owner must leave its tasks to the next one without running any twice.
func TestStoreRefusesTheOwner(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	d.await("rows of both entries", func() bool { return len(d.store.Rows("entry")) == 2 && d.lease().Owner != "" })
	time.Sleep(4 * time.Second) // both have read them
	const attempts, limit = 4, 1500 * time.Millisecond
	for i := range attempts {
		before := d.lease()
		owner := 0
		if strings.HasPrefix(d.entries[1], before.Owner+":") {
			owner = 1
		}
		early, late := fmt.Sprintf("00000000000001e%d", i), fmt.Sprintf("00000000000002e%d", i)
		d.call(1-owner, http.MethodPost, "/q/"+early, twoStepJob(12))
		d.awaitState(1-owner, early, "running")
		begin := time.Now()
		d.refused[owner].Store(true)
		d.await("next owner", func() bool { return d.lease().Owner != before.Owner })
		took := time.Since(begin)
		t.Logf("taken over after %v", took)
		d.call(1-owner, http.MethodPost, "/q/"+late, twoStepJob(2))
		d.awaitState(1-owner, early, "completed")
		d.awaitState(1-owner, late, "completed")
		d.refused[owner].Store(false)
		if after := d.lease(); after.Epoch != before.Epoch+1 {
			t.Fatalf("epoch %d after %d, want one takeover", after.Epoch, before.Epoch)
		}
		if took <= limit {
			return
		}
		time.Sleep(time.Second) // the former owner becomes a candidate
	}
	t.Errorf("no takeover within %v in %d attempts", limit, attempts)
}

// Guards against an owner with few cores that keeps the ownership of a large deployment in a
// quiet period although a larger entry is alive, and against tasks that run twice around the
// handover. The entries of the deployment have no cores in their settings.
func TestSmallOwnerHandsOver(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithLimit(t, 30, standin.RowBytes, func(d *deployment) { d.quietHandover = true })
	d.await("owner", func() bool { return d.lease().Owner != "" && len(d.store.Rows("agent")) == 30 })
	before := d.lease()
	p := standin.NewLocalVM().EntryOptions("entry-large", d.storeAddress)
	s := d.settings(p)
	s.CPUCores = 1
	d.entries = append(d.entries, p.CallerAPI)
	d.startRole(s, jobserver.RunEntry)
	var ids []string
	// 10 s until the first attempt, and as long again if a worker was silent meanwhile or
	// the attempt fails.
	begin := time.Now()
	for d.lease().Owner == before.Owner && time.Since(begin) < time.Minute {
		id := fmt.Sprintf("00000000000003%02x", len(ids))
		if code, text := d.call(0, http.MethodPost, "/q/"+id, twoStepJob(2)); code != http.StatusOK {
			t.Errorf("submission: %d %s", code, text)
		}
		ids = append(ids, id)
		time.Sleep(400 * time.Millisecond)
	}
	d.await("next owner", func() bool { return d.lease().Owner != "" })
	if after := d.lease(); after.Owner != s.Address || after.Epoch != before.Epoch+1 {
		t.Fatalf("the lease before and after: %+v, %+v, want the next epoch at %s", before, after, s.Address)
	}
	t.Logf("handed over after %v", time.Since(begin))
	for _, id := range ids {
		d.awaitState(0, id, "completed")
	}
}
