package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a timeline that misses lines of the job, shows other jobs or is
// out of order.
func TestExplain(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	entry := write("entry.log", `{"event":730,"job":"a1","msg":"job accepted","process":"entry-1","time":"2026-01-01T00:00:01Z"}
{"event":730,"job":"b2","msg":"job accepted","process":"entry-1","time":"2026-01-01T00:00:02Z"}
not a line
{"event":342,"failure_domain":"z1","msg":"evacuation is in effect","process":"entry-1","time":"2026-01-01T00:00:06Z"}
{"event":659,"job":"a1","msg":"task finds no VM","process":"entry-1","reason":"map[failure domain z1 is evacuated:1]","time":"2026-01-01T00:00:08Z"}
{"event":653,"job":"a1","msg":"job is over","process":"entry-1","reason":"failed","time":"2026-01-01T00:00:09Z"}
{"event":540,"msg":"jobs taken over","process":"entry-2","time":"2026-01-01T00:01:09Z"}
`)
	agent := write("agent.log", `  3.1 side-1 {"event":645,"kind":"start","msg":"order answered","process":"side-1","result":"no-room","task":"a1/0/0/1","time":"2026-01-01T00:00:03Z"}
{"event":645,"kind":"start","msg":"order answered","process":"side-1","task":"a12/0/0/1","time":"2026-01-01T00:00:04Z"}
{"event":641,"msg":"worker does not listen","process":"side-1","time":"2026-01-01T00:00:05Z"}
`)
	var out bytes.Buffer
	if err := explain(&out, "a1", []string{agent, entry}); err != nil {
		t.Fatal(err)
	}
	var order []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		fields := strings.Fields(strings.TrimPrefix(line, "* "))
		order = append(order, fields[2])
	}
	if got := strings.Join(order, " "); got != "730 645 641 342 659 653" || !strings.Contains(out.String(), "z1 is evacuated") {
		t.Errorf("events %s, want 730 645 641 342 659 653, with the reason of 659\n%s", got, out.String())
	}
	if err := explain(&out, "zz", []string{entry}); err == nil {
		t.Error("explain succeeded for an unknown job")
	}
}
