package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

const validSettings = `role = "entry"
id = "entry-1"
region = "Flanders"
failure_domain = "Gent"
peers = ["10.0.1.1:7001"]

[listen]
callers = "0.0.0.0:8080"
api = "10.0.0.1:8081"
internal = "10.0.0.1:7001"
datagrams = "10.0.0.1:7001"

[platform]
table = "http://10.9.0.1:9000"
objects = "http://10.9.0.2:9001"

[credentials]
operators_token_env = "TEST_OPERATORS_TOKEN"
shared_key_file = "shared.key"
`

const testKey = "0123456789abcdef0123456789abcdef"

func load(t *testing.T, text string, mode os.FileMode) (*Settings, error) {
	t.Helper()
	t.Setenv("TEST_OPERATORS_TOKEN", "token-of-the-operators\n")
	dir := t.TempDir()
	for name, content := range map[string]string{"s.toml": text, "shared.key": testKey + "\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), mode); err != nil {
			t.Fatal(err)
		}
	}
	return Load(filepath.Join(dir, "s.toml"))
}

// Guards against valid settings being refused, wrong defaults, and credentials
// that are visible in printed or encoded settings.
func TestValidSettings(t *testing.T) {
	s, err := load(t, validSettings, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.Internal.Port() != 7001 || s.Peers[0].Addr().String() != "10.0.1.1" || s.Drain.Delay != 5e9 || s.Limits.BodyBytes != 1e6 {
		t.Fatalf("settings %+v", s)
	}
	if s.Credentials.SharedKey.Value() != testKey || s.Credentials.OperatorsToken.Value() != "token-of-the-operators" {
		t.Fatal("credentials differ from their sources")
	}
	encoded, _ := json.Marshal(s)
	if text := string(encoded) + formatAll(s); strings.Contains(text, testKey) || strings.Contains(text, "token-of") {
		t.Fatal("a credential is visible in printed settings")
	}
}

func formatAll(s *Settings) string {
	return fmt.Sprintf("%v %+v %#v", *s, *s, *s)
}

// Guards against mistakes that are accepted, and findings that do not name the
// line and the remedy.
func TestMistakes(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"host name", "10.0.0.1:8081", "entry.example:8081",
			`s.toml:9: [listen]: api: "entry.example:8081" is not an IP address with a port (host names are not resolved); write api = "10.0.0.1:8080"`},
		{"host name in URL", "10.9.0.1", "table",
			`s.toml:14: [platform]: table: "http://table:9000" does not name its host by IP address (host names are not resolved); write table = "http://10.0.0.1:9000"`},
		{"unreachable address", `internal = "10.0.0.1`, `internal = "0.0.0.0`,
			`s.toml:10: [listen]: internal: 0.0.0.0:7001 is not an address that other processes can reach; write the VM's own IP address`},
		{"port used twice", "10.0.0.1:8081", "10.0.0.1:7001",
			`s.toml:10: [listen]: internal: 10.0.0.1:7001 is already used by api; choose another port`},
		{"key of the other role", "objects =", "runtime = \"http://10.0.0.1:1\"\nobjects =",
			`s.toml:15: [platform]: runtime: the key is for role worker and this process has role entry; remove it`},
		{"missing key of the role", "callers = \"0.0.0.0:8080\"\n", "",
			`s.toml:7: [listen]: callers: the key is required for role entry and is missing; add it`},
		{"credential in the file", "shared_key_file", "shared_key",
			`s.toml:19: [credentials]: shared_key: unknown key in [credentials]; use "shared_key_env"`},
		{"unset variable", `"TEST_OPERATORS_TOKEN"`, `"TEST_NONE"`,
			`s.toml:18: [credentials]: operators_token_env: environment variable TEST_NONE is not set; provide the credential there`},
		{"unknown role", `"entry"`, `"router"`,
			`s.toml:1: role: "router" is not one of entry, worker; write role = "entry"`},
		{"trace without path", "[platform]", "[trace]\nexporter = \"file\"\n[platform]",
			`s.toml:13: [trace]: path: exporter file has no path; add path = "trace.json"`},
		{"limit out of range", "[platform]", "[limits]\nbody = \"2GB\"\n[platform]",
			`s.toml:14: [limits]: body: 2GB is out of range; use a value from 1KB to 8MB`},
		{"missing table", "[platform]\ntable = \"http://10.9.0.1:9000\"\nobjects = \"http://10.9.0.2:9001\"\n", "",
			`s.toml: platform: the required table is missing; add [platform]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if strings.Count(validSettings, tt.old) != 1 {
				t.Fatalf("%q must occur exactly once in the valid settings", tt.old)
			}
			_, err := load(t, strings.Replace(validSettings, tt.old, tt.new, 1), 0o600)
			if apperr.KindOf(err) != apperr.KindInvalid {
				t.Fatalf("got %v, want kind invalid", err)
			}
			if text := tomlcheck.ReportOf(err).Text(); !strings.Contains(text, tt.want+"\n") {
				t.Fatalf("got\n%swant\n%s", text, tt.want)
			}
		})
	}
}

// Guards against a shared key that every user of the VM can read.
func TestReadableKeyIsRefused(t *testing.T) {
	_, err := load(t, validSettings, 0o644)
	if err == nil || !strings.Contains(err.Error(), "has mode 0644, which lets other users read or change it") {
		t.Fatalf("got %v", err)
	}
}
