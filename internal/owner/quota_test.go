package owner

import (
	"encoding/json"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/quota"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// Guards against an owner with an older configuration that reverts a team's quota,
// and against an owner with a newer configuration that keeps the old quota or
// drops the shares.
func TestQuotaRowKeepsNewestTotal(t *testing.T) {
	team := config.Team{ID: "team", Quota: types.Resources{MilliCPU: 5000}}
	c, err := config.New(4, config.Content{Teams: []config.Team{team}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		version types.Version
		want    int64
	}{{3, 5000}, {5, 9000}} {
		value, err := json.Marshal(quotaRow{
			Version: k.version, Total: types.Resources{MilliCPU: 9000},
			Shares: []quota.Share{{Shard: "s", Held: types.Resources{MilliCPU: 1000}}},
		})
		if err != nil {
			t.Fatal(err)
		}
		row, version, err := decodeQuota(c, team, platform.Row{Revision: 2, Value: value})
		if err != nil || row.Total.MilliCPU != k.want || version != max(k.version, 4) || row.Get("s").Held.MilliCPU != 1000 {
			t.Fatalf("row of version %d: got %+v, version %d, error %v; the total or the version is not that of the newer source, or the shares were lost", k.version, row, version, err)
		}
	}
}
