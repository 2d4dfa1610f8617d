package cli

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the table of mistakes in docs/CONFIG.md")

const (
	configPage    = "../../docs/CONFIG.md"
	mistakesBegin = "<!-- mistakes: begin -->\n"
	mistakesEnd   = "<!-- mistakes: end -->"
)

// mistake is one deliberate mistake in a file of examples/van-damme: the first
// occurrence of old is replaced by new.
type mistake struct {
	name, file, old, new string
	// want is the line that the command check prints.
	want string
}

var mistakes = []mistake{
	{"misspelt key", "inventory/work.toml", `replicas = 11`, `replica = 11`,
		`inventory/work.toml:17: service "berth-check": replica: unknown key in [[service]]; use "replicas"`},
	{"misspelt reference", "inventory/vms.toml", `rack = "gent-r1"`, `rack = "gent-r7"`,
		`inventory/vms.toml:15: vm "gent-%02d": rack: rack "gent-r7" is not declared; did you mean "gent-r1"?`},
	{"size without unit", "inventory/vms.toml", `memory = "60GB"`, `memory = 60`,
		`inventory/vms.toml:17: vm "gent-%02d": memory: got an integer, want a size; write memory = "60GB" or "512MiB"`},
	{"VM declared twice", "inventory/vms.toml", "first = 4\n", "first = 3\n",
		`inventory/vms.toml:26: vm "gent-%02d": name: VM "gent-03" is already declared at inventory/vms.toml:12; rename one of the two or remove it`},
	{"task larger than any VM", "inventory/work.toml", "cores = 4\nmemory = \"16GB\"", "cores = 17\nmemory = \"16GB\"",
		`inventory/work.toml:36: job "night-allocation": cores: fits no VM: it needs 17 cores and the largest allowed VM has 16 cores; lower cores or add a larger VM`},
	{"quota below the services", "inventory/work.toml", `quota_cores = 160`, `quota_cores = 40`,
		`inventory/work.toml:5: team "bookings": quota_cores: the quota of 40 cores is below the standing need of the team's services, 44 cores; raise the quota to at least 44 cores or lower the services' replicas or sizes`},
	{"job longer than the night", "inventory/work.toml", `run_time = "40m"`, `run_time = "11h"`,
		`inventory/work.toml:38: job "night-allocation": run_time: a nightly task of 11h cannot end in an overnight window of 10h; split the job into more tasks or widen overnight_start to overnight_end in [rules]`},
	{"urgent work that may wait", "inventory/rules.toml", `urgent = ["berth-check"]`, `urgent = ["berth-check", "night-allocation"]`,
		`inventory/rules.toml:6: [rules]: may_wait: "night-allocation" is urgent and may wait at once; remove it from one of the two lists`},
	{"host name instead of an address", "settings/gent-01.toml", `internal = "127.20.1.1:7001"`, `internal = "gent-01:7001"`,
		`settings/gent-01.toml:11: [listen]: internal: "gent-01:7001" is not an IP address with a port (host names are not resolved); write internal = "10.0.0.1:8080"`},
	{"worker that the inventory does not know", "settings/gent-01.toml", `id = "gent-01"`, `id = "gent-11"`,
		`settings/gent-01.toml: id: VM "gent-11" is not declared in the inventory; declare it with [[vm]] or correct the name`},
	{"worker in the wrong failure domain", "settings/gent-01.toml", `failure_domain = "Gent"`, `failure_domain = "Leuven"`,
		`settings/gent-01.toml: failure_domain: VM "gent-01" is in failure domain "Gent", not "Leuven"; write failure_domain = "Gent"`},
}

// Guards against mistakes that the command check accepts, messages without line
// or remedy, and outdated messages in docs/CONFIG.md. After a change of a message
// run: go test ./internal/cli -run Mistakes -update
func TestMistakes(t *testing.T) {
	page, err := os.ReadFile(configPage)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(page), mistakesBegin)
	old, tail, ok2 := strings.Cut(rest, mistakesEnd)
	if !ok || !ok2 {
		t.Fatalf("%s lacks the begin or end marker of the table of mistakes", configPage)
	}
	table := "\n| mistake | message |\n| --- | --- |\n"
	for _, m := range mistakes {
		line := checkMistake(t, m)
		if line != m.want {
			t.Errorf("%s: got\n%s\nwant\n%s", m.name, line, m.want)
		}
		table += "| " + m.name + " | `" + line + "` |\n"
	}
	table += "\n"
	if *update {
		if err := os.WriteFile(configPage, []byte(head+mistakesBegin+table+mistakesEnd+tail), 0o600); err != nil {
			t.Fatal(err)
		}
	} else if old != table {
		t.Errorf("the mistakes in %s differ from what check prints; run with -update", configPage)
	}
}

// checkMistake runs the command check on a copy of the example with the mistake
// and returns the line that it prints.
func checkMistake(t *testing.T, m mistake) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("../../examples/van-damme")); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, m.file)
	data, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(data), m.old) {
		t.Fatalf("%s: %q is not in %s (%v)", m.name, m.old, m.file, err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), m.old, m.new, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("BORAGECRANK_SHARED_KEY", strings.Repeat("k", 32))
	code, stdout, stderr := run(t, nil, "check", "--settings", filepath.Join(dir, "settings/gent-01.toml"), filepath.Join(dir, "inventory"))
	line := strings.TrimSuffix(strings.ReplaceAll(stdout, dir+"/", ""), "\n")
	if code != 6 || strings.Contains(line, "\n") || !strings.Contains(stderr, "check: 1 fault; correct the lines named above") {
		t.Errorf("%s: exit code %d, want 6 and one line\n%s%s", m.name, code, stdout, stderr)
	}
	return line
}
