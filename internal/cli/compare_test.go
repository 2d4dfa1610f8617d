package cli

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// changedInventory returns the directory of a copy of examples/local in which old
// is replaced by new.
func changedInventory(t *testing.T, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(localInventory)); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	found := false
	for _, f := range files {
		data, err := os.ReadFile(dir + "/" + f.Name())
		if err != nil {
			t.Fatal(err)
		}
		found = found || strings.Contains(string(data), old)
		text := strings.Replace(string(data), old, new, 1)
		if err := os.WriteFile(dir+"/"+f.Name(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if !found {
		t.Fatalf("%q is not in the inventory", old)
	}
	return dir
}

// Guards against a comparison that sends something, stops at the first finding,
// crashes or succeeds without an entry, or turns warnings into a failure.
func TestCheckCompare(t *testing.T) {
	same, other := acceptedConfig(t, false), acceptedConfig(t, true)
	evacuated := evacuatedConfig(t, nil, []types.FailureDomain{"Gent", "Brugge", "Leuven"})
	faulty := changedInventory(t, "[rules]\n", "[rules]\nevacuate = [\"Ghent\"]\n")
	noConfig := respondError(apperr.KindNotFound, "configuration", "none has been accepted yet", "apply one")
	tests := []struct {
		name, args string
		config     http.HandlerFunc
		code       int
		want       []string
	}{
		{"no change", "check --compare " + localInventory, respondText(same), 0, []string{"0 changes to version 1\nno faults\n"}},
		{"a change", "check --compare " + localInventory, respondText(other), 0, []string{"~ rules: eviction_weight: 5 -> 1\n1 change to version 1\nno faults\n"}},
		{"nothing accepted", "check --compare " + localInventory, noConfig, 0, []string{"+ vm \"gent-01\"\n", "changes to version 0\nno faults\n"}},
		{"warnings", "check --compare " + localInventory, respondText(evacuated), 0,
			[]string{`warning: service "berth-check": replicas: all failure domains that may run it are evacuated`, "no faults\n"}},
		{"unknown failure domain", "check --compare " + faulty, respondText(same), 6, []string{`evacuate: failure domain "Ghent" is not declared; did you mean "Gent"?`}},
		{"unreachable", "check --compare " + faulty, nil, 6,
			[]string{`evacuate: failure domain "Ghent" is not declared`, "configuration in effect: configuration: cannot be compared: cannot be reached at entry http://127.0.0.1:1; check the address"}},
		{"refused", "check --compare " + localInventory, respondError(apperr.KindUnauthorized, "call", "token is wrong", "send the token"), 6,
			[]string{"configuration in effect: call: cannot be compared: token is wrong; send the token\n"}},
		{"damaged answer", "check --compare " + localInventory, respondText(`{"version":1}x`), 6, []string{"configuration in effect: configuration: cannot be compared"}},
		{"no inventory", "check --compare --settings x", respondText(same), 2, []string{"--compare needs an inventory"}},
		{"offline", "check " + localInventory, nil, 0, []string{"no faults\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var api http.Handler
			if tt.config != nil {
				api = newAPI(map[string]http.HandlerFunc{"GET /v1/config": tt.config})
			}
			code, stdout, stderr := run(t, api, strings.Fields(tt.args)...)
			for _, want := range tt.want {
				if code != tt.code || !strings.Contains(stdout+stderr, want) {
					t.Errorf("exit code %d, want %d; want %q in\n%s%s", code, tt.code, want, stdout, stderr)
				}
			}
		})
	}
	_, stdout, _ := run(t, newAPI(map[string]http.HandlerFunc{"GET /v1/config": respondText(other)}), "check", "--compare", "--json", localInventory)
	var got struct {
		Findings []struct{}
		Version  int
		Changes  []struct{ Key string }
	}
	if err := json.Unmarshal([]byte(stdout), &got); err != nil || got.Findings == nil || got.Version != 1 || len(got.Changes) != 1 {
		t.Errorf("JSON: %v\n%s", err, stdout)
	}
}
