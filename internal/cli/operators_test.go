package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/inventory"
)

const localInventory = "../../examples/local/inventory"

// run executes a command line against the given API. Without an API the entry's
// address refuses connections.
func run(t *testing.T, api http.Handler, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	t.Setenv(envToken, "operators-token")
	t.Setenv(envEntry, "http://127.0.0.1:1")
	if api != nil {
		s := httptest.NewServer(api)
		defer s.Close()
		t.Setenv(envEntry, s.URL)
	}
	var out, errOut bytes.Buffer
	code = Run(context.Background(), append([]string{"boragecrank"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

// acceptedConfig returns the encoded configuration of examples/local, with another
// weight of evictions if changed is set.
func acceptedConfig(t *testing.T, changed bool) string {
	t.Helper()
	source, report := inventory.Load(localInventory)
	if !report.OK() {
		t.Fatal(report.Text())
	}
	cfg, _ := source.Compile(nil)
	if changed {
		content := *cfg.Content()
		content.Rules.Weights.Evictions = 5
		cfg, _ = config.New(1, content, nil)
	}
	b, err := cfg.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func respondText(s string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, s) }
}

func respondError(kind apperr.Kind, object, problem, remedy string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		apperr.WriteHTTP(w, apperr.New(kind, object, problem, remedy))
	}
}

// newAPI returns a fake of the operators' API with the given routes.
func newAPI(routes map[string]http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range routes {
		mux.HandleFunc(pattern, h)
	}
	return mux
}

const finishedJob = `{"id":"a","kind":"plan","shard":"s","tasks":2,"finished":true,"done":1,"failed":1}`

// Guards against wrong exit codes, which scripts depend on, and messages that do
// not name the remedy.
func TestExitCodesAndMessages(t *testing.T) {
	same, other := acceptedConfig(t, false), acceptedConfig(t, true)
	noConfig := respondError(apperr.KindNotFound, "configuration", "none has been accepted yet", "apply one")
	put := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-Match") != `"1"` || r.Header.Get("Authorization") != "Bearer operators-token" {
			t.Errorf("headers %v", r.Header)
		}
		fmt.Fprint(w, `{"version":2,"changed":true}`)
	}
	tests := []struct {
		args   string
		routes map[string]http.HandlerFunc
		code   int
		// want is a part of standard output for code 0 and otherwise of standard
		// error.
		want string
	}{
		{"apply", nil, 2, "no inventory files are given; see `boragecrank apply --help`"},
		{"apply --bad x", nil, 2, "flag provided but not defined: -bad"},
		{"status extra", nil, 2, `unexpected argument "extra"`},
		{"submit plan", nil, 2, "--id is missing"},
		{"drain", nil, 2, "0 VMs are given, want 1"},
		{"jobs --entry localhost", nil, 2, "write it as http://ADDRESS:PORT"},
		{"jobs", nil, 4, "check the address and that the entry runs"},
		{"apply no-such-file", nil, 6, "give the path of a readable TOML file"},
		{"apply " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": respondText(same)}, 0, "no change: version 1 is in effect"},
		{"apply --dry-run " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": noConfig}, 0, "dry run: nothing was sent, version 0"},
		{"apply --base 3 " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": respondText(other)}, 5, "apply with --base 1"},
		{"apply " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": respondText(other), "PUT /v1/config": put}, 0,
			"~ rules: eviction_weight: 5 -> 1\naccepted version 2\n"},
		{"apply " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": respondText(other),
			"PUT /v1/config": respondError(apperr.KindConflict, "configuration", "version 2 is in effect", "merge and apply again")}, 5, "merge and apply again"},
		{"diff " + localInventory, map[string]http.HandlerFunc{"GET /v1/config": respondText(other)}, 0, "eviction_weight: 5 -> 1\n1 change to version 1"},
		{"submit plan --id a --wait", map[string]http.HandlerFunc{"POST /v1/jobs": respondText(finishedJob), "GET /v1/jobs/a": respondText(finishedJob)}, 1, "1 of 2 tasks failed"},
		{"submit plan --id a --wait", map[string]http.HandlerFunc{"POST /v1/jobs": respondText(finishedJob),
			"GET /v1/jobs/a": respondText(`{"id":"a","tasks":1,"states":[{"task":"a/0","state":"infeasible","reason":"too large"}]}`)}, 1, "task a/0 can never run: too large"},
		{"submit plan --id a --wait --wait-limit 1ms", map[string]http.HandlerFunc{"POST /v1/jobs": respondText(finishedJob),
			"GET /v1/jobs/a": respondText(`{"id":"a","tasks":1}`)}, 4, "has not ended within --wait-limit"},
		{"submit other --id a", map[string]http.HandlerFunc{"POST /v1/jobs": respondText(finishedJob)}, 5, `exists with kind "plan"`},
		{"submit plan --id a", map[string]http.HandlerFunc{"POST /v1/jobs": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }}, 8,
			"submit it again with the same ID; it runs once"},
		{"cancel b a", map[string]http.HandlerFunc{"DELETE /v1/jobs/a": respondText(finishedJob),
			"DELETE /v1/jobs/b": respondError(apperr.KindNotFound, "job b", "does not exist", "list jobs")}, 7, "job b: does not exist; list jobs"},
		{"jobs", map[string]http.HandlerFunc{"GET /v1/jobs": respondError(apperr.KindUnauthorized, "call", "token is wrong", "send the token")}, 3, "send the token"},
		{"config", map[string]http.HandlerFunc{"GET /v1/config": respondText(same),
			"GET /v1/processes": respondText(`[{"name":"w1","version":0},{"name":"w2","version":1},{"name":"w3","error":"does not answer"}]`)}, 0,
			"accepted version 1; 3 processes: 1 behind, 1 do not respond"},
		{"status", map[string]http.HandlerFunc{"GET /v1/config": respondText(same),
			"GET /v1/status": respondText(`{"entry":"e","version":1,"shards":[{"shard":"Gent-s00","owner":"gent-01","tasks":[{"state":"running"}]}]}`)}, 0, "Brugge-s00  no response"},
		{"drain w --wait --wait-limit 1ms", map[string]http.HandlerFunc{"POST /v1/vms/w/drain": respondText(`{"vm":"w","draining":true}`),
			"GET /v1/status": respondText(`{"shards":[{"shard":"s","ready":true,"members":[{"vm":"w"}],"tasks":[{"task":"a/0","vm":"w","state":"running"}]}]}`)}, 4, "drain of VM w"},
		{"drain w --wait", map[string]http.HandlerFunc{"POST /v1/vms/w/drain": respondText(`{"vm":"w","draining":true}`),
			"GET /v1/status": respondText(`{"shards":[{"shard":"s","ready":true,"members":[{"vm":"w"}]}]}`)}, 0, "0 requests in progress, 0 tasks left"},
		{"version", nil, 0, "boragecrank "},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var h http.Handler
			if tt.routes != nil {
				h = newAPI(tt.routes)
			}
			code, stdout, stderr := run(t, h, strings.Fields(tt.args)...)
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

// Guards against a lost response that is reported as an error although the
// version was accepted, so that the operator would apply again.
func TestApplyReadsBackAfterLostResponse(t *testing.T) {
	source, _ := inventory.Load(localInventory)
	current := acceptedConfig(t, true)
	old, err := config.Decode([]byte(current))
	if err != nil {
		t.Fatal(err)
	}
	next, _ := source.Compile(old)
	b, _ := next.Encode()
	code, stdout, stderr := run(t, newAPI(map[string]http.HandlerFunc{
		"GET /v1/config": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, current) },
		"PUT /v1/config": func(http.ResponseWriter, *http.Request) {
			current = string(b)
			panic(http.ErrAbortHandler)
		},
	}), "apply", localInventory)
	if code != 0 || !strings.Contains(stdout, "accepted version 2") {
		t.Fatalf("exit code %d\n%s%s", code, stdout, stderr)
	}
}
