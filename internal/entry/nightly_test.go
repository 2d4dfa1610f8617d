package entry

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
)

// Guards against nightly jobs that are not submitted, are submitted outside the
// window, or get another ID after midnight and run twice.
func TestNightlyJobs(t *testing.T) {
	cfg, err := config.New(1, config.Content{
		Jobs: []config.JobKind{
			{Kind: "night-allocation", Team: "a", Tasks: 2, Nightly: true},
			{Kind: "report", Team: "a", Tasks: 1},
		},
		Teams: []config.Team{{ID: "a"}},
		Rules: config.Rules{Overnight: config.Window{Start: 20 * time.Hour, End: 6 * time.Hour, Zone: "UTC"}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for at, want := range map[string]string{
		"2026-12-04T19:59:00Z": "",
		"2026-12-04T20:00:00Z": "night-allocation-2026-12-04",
		"2026-12-05T05:59:00Z": "night-allocation-2026-12-04",
		"2026-12-05T06:00:00Z": "",
	} {
		now, err := time.Parse(time.RFC3339, at)
		if err != nil {
			t.Fatal(err)
		}
		jobs := nightlyJobs(cfg, now)
		got := ""
		if len(jobs) > 0 {
			got = string(jobs[0].ID)
		}
		if got != want || len(jobs) > 1 {
			t.Errorf("%s: %d jobs, first %q, want %q", at, len(jobs), got, want)
		}
	}
}
