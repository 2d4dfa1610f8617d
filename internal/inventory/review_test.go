package inventory

import (
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/config"
)

// Guards against contradictory limits and entries without effect that nobody
// reports, and against warnings that count as faults.
func TestReview(t *testing.T) {
	const (
		emptyDomain = "[[failure_domain]]\nname = \"Brugge\"\nregion = \"Flanders\"\n[rules]"
		idleTeam    = "[[team]]\nname = \"idle\"\nquota_cores = 1\nquota_memory = \"1GB\"\nquota_accelerators = 2\n[rules]"
		largeQuota  = "quota_cores = 400"
		largeMemory = `quota_memory = "900GB"`
	)
	tests := []struct {
		name string
		// replace holds pairs of an old and a new text.
		replace []string
		faults  int
		// want are parts of the report. An empty list means that it is empty.
		want []string
	}{
		{"valid", nil, 0, nil},
		{"more replicas than the VMs hold", []string{"replicas = 3\ncores = 2", "replicas = 10\ncores = 5", "quota_cores = 24", largeQuota}, 2,
			[]string{
				`service "berth-check": replicas: 10 replicas cannot run at once: empty VMs have room for 9; lower replicas or the size of a replica, or add VMs`,
				`services: cores: all replicas of all services need 50 cores and all VMs together have 48 cores; lower replicas or sizes, or add VMs`,
			}},
		{"gang larger than a shard", []string{"run_time", "tasks = 20\ngang = true\nrun_time", "quota_cores = 24", largeQuota, `quota_memory = "80GB"`, largeMemory}, 1,
			[]string{`job "night-allocation": tasks: a gang of 20 tasks can never start: the empty VMs of one shard have room for at most 12; lower tasks`}},
		{"gang larger than a transaction", []string{"run_time", "tasks = 70\ngang = true\nrun_time", "quota_cores = 24", largeQuota, `quota_memory = "80GB"`, largeMemory}, 1,
			[]string{`job "night-allocation": tasks: a gang of 70 tasks can never start: a gang has at most 64 tasks; lower tasks or remove gang`}},
		{"failure domain without VMs", []string{"[rules]", emptyDomain}, 0,
			[]string{`warning: failure_domain "Brugge": name: the failure domain has no VM; declare VMs in one of its racks or remove it`}},
		{"failure domain that runs no task", []string{"[rules]", emptyDomain, "run_time", "failure_domains = [\"Gent\", \"Brugge\"]\nrun_time"}, 0,
			[]string{`warning: job "night-allocation": failure_domains: failure domain "Brugge" has no VM that fits a task; remove it or add a larger VM there`}},
		{"rack without VMs", []string{"[rules]", "[[rack]]\nname = \"gent-r2\"\nfailure_domain = \"Gent\"\n[rules]"}, 0,
			[]string{`warning: rack "gent-r2": name: the rack has no VM; declare VMs in it or remove it`}},
		{"team without work", []string{"[rules]", idleTeam}, 0,
			[]string{
				`warning: team "idle": name: the team has no service and no job; declare its services or jobs or remove it`,
				`warning: team "idle": quota_accelerators: no VM has accelerators; remove the quota or add VMs with accelerators`,
			}},
		{"all failure domains evacuated", []string{"[rules]", "[rules]\nevacuate = [\"Gent\"]"}, 0,
			[]string{
				`warning: service "berth-check": replicas: all failure domains that may run it are evacuated, so that no replica starts; end one of the evacuations`,
				`warning: job "night-allocation": failure_domains: all failure domains that may run it are evacuated, so that its tasks wait; allow another`,
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg, report := parse(strings.NewReplacer(tt.replace...).Replace(validInventory)).Review(nil)
			got := report.Text()
			if cfg == nil || report.Faults() != tt.faults || tt.want == nil && got != "" {
				t.Fatalf("%d faults, want %d:\n%s", report.Faults(), tt.faults, got)
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got\n%swant\n%s", got, want)
				}
			}
		})
	}
}

// Guards against an evacuation by command that ends unnoticed because the
// inventory no longer declares its failure domain, and against one that the review
// of the next version forgets.
func TestReviewOfEvacuationsByCommand(t *testing.T) {
	first, _ := parse(validInventory).Compile(nil)
	evacuated, err := first.WithEvacuation("Gent", false)
	if err != nil {
		t.Fatal(err)
	}
	cfg, report := parse(validInventory).Review(evacuated)
	if !cfg.Evacuated("Gent") || !strings.Contains(report.Text(), "so that no replica starts") {
		t.Fatalf("evacuated by command: %s", report.Text())
	}
	other := strings.ReplaceAll(validInventory, `"Gent"`, `"Brugge"`)
	cfg, report = parse(other).Review(evacuated)
	want := `warning: failure_domain "Gent": it is evacuated by command and no longer declared, so that the evacuation ends with it; declare it until its VMs have stopped`
	if cfg == nil || !report.OK() || !strings.Contains(report.Text(), want) {
		t.Fatalf("got\n%swant\n%s", report.Text(), want)
	}
	var none *config.Config
	if _, report := parse(other).Review(none); len(report.Findings) != 0 {
		t.Fatalf("without a version in effect: %s", report.Text())
	}
}
