package jobserver_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
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
	if code, text := d.call(other, http.MethodPost, "/q/"+early, twoStepJob(12)); code != http.StatusOK {
		t.Fatalf("submission: %d %s", code, text)
	}
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
