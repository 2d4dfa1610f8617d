package tomlcheck

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var testSchema = Schema{
	{Doc: "Root.", Fields: []Field{
		{Key: "id", Type: Name, Required: true, Doc: "An ID."},
		{Key: "peers", Type: Addresses, Doc: "Peers."},
	}},
	{Name: "log", Doc: "Log.", Fields: []Field{
		{Key: "level", Type: Choice, Default: "info", Choices: []string{"info", "error"}, Doc: "A level."},
		{Key: "wait", Type: Duration, Default: "5s", Min: "1s", Max: "1m", Doc: "A time."},
		{Key: "share", Type: Number, Min: "0", Max: "1", Doc: "A share."},
		{Key: "at", Type: TimeOfDay, Doc: "A time of day."},
		{Key: "zone", Type: Zone, Doc: "A zone."},
		{Key: "table", Type: URL, Doc: "A URL."},
	}},
	{Name: "vm", Array: true, Label: "name", Doc: "VM.", Fields: []Field{
		{Key: "name", Type: Name, Required: true, Doc: "A name."},
		{Key: "cores", Type: Cores, Doc: "Cores."},
		{Key: "memory", Type: Size, Doc: "Memory."},
		{Key: "racks", Type: Names, Doc: "Racks."},
	}},
}

func decode(text string) (*Document, *Report) {
	return testSchema.Decode([]File{{Name: "f", Data: []byte(text)}})
}

// Guards against sizes that are converted to a wrong number of bytes.
func TestSizes(t *testing.T) {
	for text, want := range map[string]int64{
		"60GB": 60e9, "1.5 GiB": 3 << 29, "512mb": 512e6, "0B": 0, "2TiB": 2 << 40,
	} {
		if got, err := ParseSize(text); err != nil || got != want {
			t.Errorf("%s: got %d, %v, want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"", "60", "GB", "6O GB", "1e400TB", "5 apples", "9999999999TB"} {
		if got, err := ParseSize(text); err == nil {
			t.Errorf("%q was parsed as %d bytes", text, got)
		}
	}
}

// Guards against values of a file that the getters do not return.
func TestValues(t *testing.T) {
	doc, report := decode("id = \"a\"\npeers = [\n \"[::1]:7\",\n]\n" +
		"[[vm]]\nname = \"v1\"\ncores = 0.5\nracks = []\n[[vm]]\nname = 'v2'\nmemory = \"1KiB\"\n")
	if !report.OK() {
		t.Fatal(report.Text())
	}
	vms := doc.All("vm")
	if len(vms) != 2 || vms[0].Int("cores") != 500 || vms[1].Int("memory") != 1024 || vms[1].KeyPos("memory").Line != 11 {
		t.Fatalf("VMs %+v", vms)
	}
	if log := doc.One("log"); log.Duration("wait") != 5e9 || log.String("level") != "info" || log.Given("level") {
		t.Fatal("defaults are missing")
	}
	if doc.One("").Strings("peers")[0] != "[::1]:7" {
		t.Fatal("list is missing")
	}
}

// Guards against invalid values that pass the check of their type.
func TestFaultyValues(t *testing.T) {
	for _, line := range []string{
		`level = "loud"`, `wait = 5`, `wait = "5"`, `wait = "1h"`, `wait = "-5s"`, `share = nan`, `share = inf`, `share = 1.5`,
		`at = "24:00"`, `at = 20:00:00`, `zone = "Mars/Base"`, `zone = ""`, `table = "10.0.0.1:9"`, `table = "http://h:9"`,
		`table = "http://u@10.0.0.1:9"`, `table = "http://10.0.0.1:9/?q"`, `level = {a = 1}`, `level = "info"` + "\n" + `level = "info"`,
	} {
		doc, report := decode("id = \"a\"\n[log]\n" + line + "\n")
		if len(report.Findings) != 1 || report.Findings[0].Line < 3 || report.Findings[0].Remedy == "" {
			t.Errorf("%s: got %q", line, report.Text())
		}
		if key, _, _ := strings.Cut(line, " "); !strings.Contains(line, "\n") && doc.One("log").Valid(key) {
			t.Errorf("%s: the invalid value counts as valid", line)
		}
	}
	for _, line := range []string{`name = "a/b"`, `name = ""`, `cores = 0.0001`, `cores = 1e300`, `racks = ["a", "a"]`, `racks = ["a", 1]`} {
		if _, report := decode("id = \"a\"\n[[vm]]\n" + line + "\n"); report.OK() {
			t.Errorf("%s was accepted", line)
		}
	}
}

// Guards against a panic on malformed input, and against findings without a
// problem, a remedy or a line of the file.
func TestAnyInput(t *testing.T) {
	valid := "id = \"a\"\n[log]\nlevel = \"info\"\n[[vm]]\nname = \"v\"\nmemory = \"6GB\"\nracks = [\"r\"]\n"
	if _, report := decode(valid); !report.OK() {
		t.Fatal(report.Text())
	}
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(valid)
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			piece := rapid.SampledFrom([]string{"[", "]", "\"", "=", "\n", "[[", "'", "{", "}", ".", "\\", "\x00", "#", "9"}).Draw(t, "piece")
			data = append(append(append([]byte{}, data[:at]...), piece...), data[at+rapid.IntRange(0, 1).Draw(t, "drop"):]...)
		}
		_, report := testSchema.Decode([]File{{Name: "f", Data: data}})
		lines := strings.Count(string(data), "\n") + 1
		for _, f := range report.Findings {
			if f.Line > lines || f.Problem == "" || f.Remedy == "" {
				t.Fatalf("finding %+v in %d lines", f, lines)
			}
		}
	})
}

// Guards against a JSON report that tools cannot read.
func TestReportJSON(t *testing.T) {
	_, report := decode("id = 1\n")
	data, err := report.JSON()
	var decoded Report
	if err != nil || json.Unmarshal(data, &decoded) != nil || len(decoded.Findings) != 1 || decoded.Findings[0] != report.Findings[0] {
		t.Fatalf("%v\n%s", err, data)
	}
	var none *Report
	if data, _ := none.JSON(); !strings.Contains(string(data), `"findings": []`) {
		t.Fatalf("no finding: %s", data)
	}
}
