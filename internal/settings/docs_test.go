package settings

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/inventory"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

var update = flag.Bool("update", false, "rewrite the key tables of docs/CONFIG.md")

const configPage = "../../docs/CONFIG.md"

// Guards against keys, types, defaults and ranges that docs/CONFIG.md omits or
// states wrongly. After a schema change run: go test ./internal/settings -update
func TestPageListsEveryKey(t *testing.T) {
	data, err := os.ReadFile(configPage)
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for name, schema := range map[string]tomlcheck.Schema{"inventory": inventory.Schema, "settings": Schema} {
		begin := "<!-- " + name + " keys: begin -->\n"
		end := "<!-- " + name + " keys: end -->"
		head, rest, ok := strings.Cut(text, begin)
		old, tail, ok2 := strings.Cut(rest, end)
		if !ok || !ok2 {
			t.Fatalf("%s lacks the begin or end marker of the %s keys", configPage, name)
		}
		want := "\n" + schema.Markdown()
		if old != want && !*update {
			t.Errorf("the %s keys in %s differ from the schema; run with -update", name, configPage)
		}
		text = head + begin + want + end + tail
	}
	if *update {
		if err := os.WriteFile(configPage, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
