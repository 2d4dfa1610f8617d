package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// evacuatedConfig returns the encoded configuration of examples/local, in which
// the failure domains are evacuated by the inventory and by command.
func evacuatedConfig(t *testing.T, byInventory, byCommand []types.FailureDomain) string {
	t.Helper()
	cfg, err := config.Decode([]byte(acceptedConfig(t, false)))
	if err != nil {
		t.Fatal(err)
	}
	content := *cfg.Content()
	content.Rules.Evacuate, content.Rules.EvacuateByCommand = byInventory, byCommand
	if cfg, err = config.New(1, content, nil); err != nil {
		t.Fatal(err)
	}
	b, err := cfg.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against an evacuation that is not accepted although the command says so,
// that is accepted for an unknown failure domain or over another operator's
// change, that an apply ends, or that operators cannot see.
func TestEvacuate(t *testing.T) {
	gent, brugge := []types.FailureDomain{"Gent"}, []types.FailureDomain{"Brugge"}
	none := acceptedConfig(t, false)
	byCommand, byInventory := evacuatedConfig(t, nil, gent), evacuatedConfig(t, gent, nil)
	all := evacuatedConfig(t, []types.FailureDomain{"Gent", "Brugge", "Leuven"}, nil)
	accept := func(want string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var sent struct{ Parts []config.Part }
			if err := json.NewDecoder(r.Body).Decode(&sent); err != nil || r.Header.Get("If-Match") != `"1"` {
				t.Errorf("headers %v, error %v", r.Header, err)
			}
			for _, p := range sent.Parts {
				if p.Name == config.PartRules && !strings.Contains(string(p.Body), want) {
					t.Errorf("rules part %s, want %s", p.Body, want)
				}
			}
			fmt.Fprint(w, `{"version":2,"changed":true}`)
		}
	}
	conflict := respondError(apperr.KindConflict, "configuration", "version 2 is in effect", "merge and apply again")
	status := `{"entry":"e","version":1,"shards":[{"shard":"Gent-s00","tasks":[{"state":"running"},{"state":"pending"},{"state":"done"}]}]}`
	tests := []struct {
		args, config string
		put          http.HandlerFunc
		code         int
		want         string
	}{
		{"evacuate", none, nil, 2, "0 failure domains are given, want 1"},
		{"evacuate Gent", none, accept(`"EvacuateByCommand":["Gent"]`), 0, "accepted version 2, failure domain Gent is evacuated\n"},
		{"evacuate Brugge", byCommand, accept(`"EvacuateByCommand":["Brugge","Gent"]`), 0, "accepted version 2"},
		{"evacuate Gent", byCommand, nil, 0, "no change: version 1, failure domain Gent is evacuated"},
		{"evacuate Gent --json", byCommand, nil, 0, `"changed": false`},
		{"evacuate Gent --end", byCommand, accept(`"Guards":true}`), 0, "accepted version 2, failure domain Gent is not evacuated"},
		{"evacuate Gent --end", none, nil, 0, "no change: version 1, failure domain Gent is not evacuated"},
		{"evacuate Gent --end", byInventory, nil, 3, "remove it from evacuate in [rules] and apply the inventory"},
		{"evacuate Ghent", none, nil, 7, "use one of [Brugge Gent Leuven]"},
		{"evacuate Gent", none, conflict, 5, "run the command again; nothing was changed"},
		{"evacuate Gent", all, accept(`"Evacuate":["Brugge","Gent","Leuven"],"EvacuateByCommand":["Gent"]`), 0, "warning: service"},
		{"diff " + localInventory, byCommand, nil, 0, "failure domain Gent stays evacuated by command\n0 changes to version 1"},
		{"diff " + localInventory, byInventory, nil, 0, "~ rules: evacuate: [Gent] -> []"},
		{"apply " + localInventory, byCommand, nil, 0, "no change: version 1"},
		{"status", evacuatedConfig(t, brugge, gent), nil, 0,
			"failure domain Brugge is evacuated by inventory: 0 running, 0 waiting\nfailure domain Gent is evacuated by command: 1 running, 1 waiting\n"},
		{"status --json", byCommand, nil, 0, `"failure_domain": "Gent"`},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			put := tt.put
			if put == nil {
				put = func(http.ResponseWriter, *http.Request) { t.Error("a configuration was sent") }
			}
			code, stdout, stderr := run(t, newAPI(map[string]http.HandlerFunc{
				"GET /v1/config": respondText(tt.config), "PUT /v1/config": put, "GET /v1/status": respondText(status),
			}), strings.Fields(tt.args)...)
			shown := stderr
			if tt.code == 0 {
				shown = stdout
			}
			if code != tt.code || !strings.Contains(shown, tt.want) {
				t.Errorf("exit code %d, want %d; want %q in\n%s%s", code, tt.code, tt.want, stdout, stderr)
			}
		})
	}
}
