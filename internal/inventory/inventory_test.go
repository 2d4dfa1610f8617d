package inventory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// validInventory is an inventory without faults. The tests change lines of it.
const validInventory = `[[failure_domain]]
name = "Gent"
region = "Flanders"

[[rack]]
name = "gent-r1"
failure_domain = "Gent"

[[vm]]
name = "gent-%02d"
count = 3
rack = "gent-r1"
cores = 16
memory = "60GB"
slots = 8
connections = 64

[[team]]
name = "harbour"
quota_cores = 24
quota_memory = "80GB"

[[service]]
name = "berth-check"
team = "harbour"
replicas = 3
cores = 2
memory = "4GB"
deadline = "800ms"

[[job]]
name = "night-allocation"
team = "harbour"
cores = 4
memory = "8GB"
run_time = "40m"
nightly = true

[rules]
urgent = ["berth-check"]
may_wait = ["night-allocation"]
tail_latency_weight = 4
`

func parse(text string) *Source {
	return Parse([]tomlcheck.File{{Name: "inv.toml", Data: []byte(text)}})
}

// Guards against a valid inventory being refused or compiled wrongly.
func TestValidInventory(t *testing.T) {
	cfg, report := parse(validInventory).Compile(nil)
	if !report.OK() {
		t.Fatal(report.Text())
	}
	vm, _ := cfg.VM("gent-03")
	if vm.Capacity != (types.Resources{MilliCPU: 16000, MemoryBytes: 60e9}) || vm.Rack != "gent-r1" || vm.Shard != "Gent-s00" {
		t.Fatalf("VM %+v", vm)
	}
	if s, _ := cfg.Service("berth-check"); !s.Urgent || s.Deadline != 800e6 || !s.SpreadDomains {
		t.Fatalf("service %+v", s)
	}
	if k, _ := cfg.JobKind("night-allocation"); k.Priority != 0 || !k.Nightly {
		t.Fatalf("job %+v", k)
	}
	if r := cfg.Rules(); r.Weights.TailLatency != 4 || r.Weights.Evictions != 1 || !r.Guards {
		t.Fatalf("rules %+v", r)
	}
}

// Guards against mistakes that are accepted, and findings that do not name the
// line and the remedy.
func TestMistakes(t *testing.T) {
	tests := []struct {
		name, old, new, want string
		// furtherFindings is the maximum number of findings in addition to the
		// wanted one.
		furtherFindings int
	}{
		{"unknown key", "slots = 8", "slotz = 8",
			`inv.toml:15: vm "gent-%02d": slotz: unknown key in [[vm]]; use "slots"`, 1},
		{"missing key", "slots = 8\n", "",
			`inv.toml:9: vm "gent-%02d": slots: the required key is missing; add slots = 8`, 0},
		{"wrong type", "slots = 8", `slots = "eight"`,
			`inv.toml:15: vm "gent-%02d": slots: got a string, want an integer; write slots = 8`, 0},
		{"size without unit", `"60GB"`, `"60"`,
			`inv.toml:14: vm "gent-%02d": memory: "60" has no unit; write memory = "60GB" or "512MiB"`, 0},
		{"duration without unit", `"800ms"`, `"800"`,
			`inv.toml:29: service "berth-check": deadline: "800" has no unit (known: us, ms, s, m, h); write deadline = "800ms", "5m" or "1h30m"`, 0},
		{"out of range", "cores = 16", "cores = 0",
			`inv.toml:13: vm "gent-%02d": cores: 0 is out of range; use a value from 0.1 to 4096`, 0},
		{"duplicate name", "[rules]", "[[rack]]\nname = \"gent-r1\"\nfailure_domain = \"Gent\"\n[rules]",
			`inv.toml:40: rack "gent-r1": name: rack "gent-r1" is already declared at inv.toml:6; rename one of the two or remove it`, 0},
		{"undeclared rack", `rack = "gent-r1"`, `rack = "gent-r2"`,
			`inv.toml:12: vm "gent-%02d": rack: rack "gent-r2" is not declared; did you mean "gent-r1"?`, 0},
		{"undeclared work in rules", `urgent = ["berth-check"]`, `urgent = ["moorings"]`,
			`inv.toml:40: [rules]: urgent: service or job "moorings" is not declared; declare it with [[job]] or correct the name`, 0},
		{"job fits no VM", "cores = 4\n", "cores = 17\n",
			`inv.toml:34: job "night-allocation": cores: fits no VM: it needs 17 cores and the largest allowed VM has 16 cores; lower cores or add a larger VM`, 0},
		{"quota below services", "quota_cores = 24", "quota_cores = 5",
			`inv.toml:20: team "harbour": quota_cores: the quota of 5 cores is below the standing need of the team's services, 6 cores; raise the quota to at least 6 cores or lower the services' replicas or sizes`, 0},
		{"job outside quota", "quota_cores = 24", "quota_cores = 9",
			`inv.toml:34: job "night-allocation": cores: can never run: one task needs 4 cores and the quota of team "harbour" leaves 3 cores beside its services; raise quota_cores of the team or lower cores`, 0},
		{"overnight window too short", `"40m"`, `"11h"`,
			`inv.toml:36: job "night-allocation": run_time: a nightly task of 11h cannot end in an overnight window of 10h; split the job into more tasks or widen overnight_start to overnight_end in [rules]`, 0},
		{"urgent and may wait", `urgent = ["berth-check"]`, `urgent = ["night-allocation"]`,
			`inv.toml:41: [rules]: may_wait: "night-allocation" is urgent and may wait at once; remove it from one of the two lists`, 0},
		{"range without number", `"gent-%02d"`, `"gent"`,
			`inv.toml:10: vm "gent": name: "gent" has not exactly one number verb, which count needs; write a name such as "gent-%02d"`, 0},
		{"few connections", "connections = 64", "connections = 4",
			`inv.toml:16: vm "gent-%02d": connections: 4 connections cannot carry 8 slots; set connections to at least 8`, 0},
		{"unknown table", "[[job]]", "[[jobs]]",
			`inv.toml:31: jobs: unknown table "jobs"; use "job"`, 0},
		{"table given twice", "[rules]", "[rules]\n[rules]",
			`inv.toml:40: rules: table [rules] is already given at inv.toml:39; keep one of the two`, 0},
		{"syntax", "slots = 8", "slots = = 8",
			`inv.toml:15: TOML syntax error: unexpected character U+003D '=' at start of value; correct the syntax of this line`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if strings.Count(validInventory, tt.old) != 1 {
				t.Fatalf("%q must occur exactly once in the valid inventory", tt.old)
			}
			cfg, report := parse(strings.Replace(validInventory, tt.old, tt.new, 1)).Compile(nil)
			if cfg != nil {
				t.Fatal("a faulty inventory was compiled")
			}
			if got := report.Text(); !strings.Contains(got, tt.want+"\n") || len(report.Findings) > tt.furtherFindings+1 {
				t.Fatalf("got\n%swant\n%s", got, tt.want)
			}
		})
	}
}

// Guards against a check that stops at the first fault, and against findings
// that are only a consequence of another one.
func TestAllFaultsInOnePass(t *testing.T) {
	text := strings.NewReplacer("slots = 8", "slots = = 8", `"4GB"`, `"4"`, "cores = 4\n", "cores = 99\n").Replace(validInventory)
	_, report := parse(text + "colour = 1\n").Compile(nil)
	lines := make([]int, 0, len(report.Findings))
	for _, f := range report.Findings {
		lines = append(lines, f.Line)
	}
	want := []int{15, 28, 34, 43}
	if len(lines) != len(want) {
		t.Fatalf("got\n%s", report.Text())
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Fatalf("lines %v, want %v", lines, want)
		}
	}
}

// Guards against a configuration that depends on how the inventory is split into
// files, and against missing files that are treated as empty.
func TestLoadSeveralFiles(t *testing.T) {
	dir := t.TempDir()
	head, tail, _ := strings.Cut(validInventory, "[[team]]")
	for name, text := range map[string]string{"b.toml": head, "a.toml": "[[team]]" + tail, "note.txt": "="} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	source, report := Load(dir, filepath.Join(dir, "a.toml"))
	if !report.OK() {
		t.Fatal(report.Text())
	}
	single, _ := parse(validInventory).Compile(nil)
	split, _ := source.Compile(single)
	if !split.SameContent(single) || split.Version() != 2 {
		t.Fatal("the split inventory differs")
	}
	if _, report := Load(filepath.Join(dir, "none.toml")); report.OK() {
		t.Fatal("a missing file was accepted")
	}
	if cfg, report := func() (any, *Report) { s, _ := Load(dir, "/none"); return s.Compile(nil) }(); report.OK() {
		t.Fatalf("compiled %v although a named file is missing", cfg)
	}
}
