package inventory

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against changes that the diff omits or prints wrongly.
func TestDiff(t *testing.T) {
	old, _ := parse(validInventory).Compile(nil)
	text := strings.NewReplacer("count = 3", "count = 2\nfirst = 2", "slots = 8", "slots = 16", "memory = \"60GB\"", "memory = \"64GiB\"",
		`may_wait = ["night-allocation"]`, `overnight_end = "07:30"`, "berth-check", "berths").Replace(validInventory)
	next, report := parse(text).Compile(old)
	if !report.OK() {
		t.Fatal(report.Text())
	}
	want := `- vm "gent-01"
~ vm "gent-02": slots: 8 -> 16
~ vm "gent-02": memory: 60GB -> 68.719476736GB
~ vm "gent-03": slots: 8 -> 16
~ vm "gent-03": memory: 60GB -> 68.719476736GB
- service "berth-check"
+ service "berths"
~ job "night-allocation": priority: 0 -> 50
~ rules: overnight_end: 06:00 -> 07:30
`
	changes := Diff(old, next)
	if got := ChangesText(changes); got != want {
		t.Fatalf("got\n%swant\n%s", got, want)
	}
	data, err := ChangesJSON(changes)
	var decoded struct{ Changes []Change }
	if err != nil || json.Unmarshal(data, &decoded) != nil || !reflect.DeepEqual(decoded.Changes, changes) {
		t.Fatalf("JSON does not round trip: %s", data)
	}
	if empty, _ := ChangesJSON(Diff(old, old)); !strings.Contains(string(empty), `"changes": []`) {
		t.Fatalf("no change: %s", empty)
	}
	if added := Diff(nil, old); len(added) != 9 || added[0].Kind != Added {
		t.Fatalf("first configuration: %v", added)
	}
}

// Guards against a field of the configuration that the diff does not compare.
// The test changes each field of each object in turn and expects a change.
func TestDiffSeesEveryField(t *testing.T) {
	base := func() config.Content {
		return config.Content{
			Domains:  []config.Domain{{Name: "d", Racks: []types.Rack{"r"}, VMs: []types.VM{{ID: "v"}}}},
			Services: []types.Service{{Name: "s"}},
			Jobs:     []config.JobKind{{Kind: "j"}},
			Teams:    []config.Team{{ID: "t"}},
		}
	}
	old, err := config.New(1, base(), nil)
	if err != nil {
		t.Fatal(err)
	}
	leaves := 0
	visitLeaves(reflect.ValueOf(ptr(base())).Elem(), func(reflect.Value) { leaves++ })
	for i := range leaves {
		content := base()
		n := 0
		visitLeaves(reflect.ValueOf(&content).Elem(), func(v reflect.Value) {
			if n == i {
				mutate(v)
			}
			n++
		})
		next, err := config.New(2, content, old)
		if err != nil {
			t.Fatal(err)
		}
		if !next.SameContent(old) && len(Diff(old, next)) == 0 {
			t.Errorf("leaf %d changes the configuration but not the diff", i)
		}
	}
	// The base content has at least 45 values; fewer means that visitLeaves skips
	// some.
	if leaves < 45 {
		t.Fatalf("only %d fields were tested", leaves)
	}
}

func ptr[T any](v T) *T { return &v }

// visitLeaves visits every value that is not a struct or a non-empty slice.
func visitLeaves(v reflect.Value, visit func(reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			visitLeaves(v.Field(i), visit)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			visit(v)
			return
		}
		for i := range v.Len() {
			visitLeaves(v.Index(i), visit)
		}
	default:
		visit(v)
	}
}

func mutate(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float() + 0.25)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		mutate(v.Index(0))
	default:
		v.SetInt(v.Int() + 60e9)
	}
}
