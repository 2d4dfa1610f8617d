package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// rulesOfEarlierRelease is the rules part of content(0) as the release before
// evacuations encoded it.
const rulesOfEarlierRelease = `{"Weights":{"TailLatency":0,"Evictions":0},"UrgentStartLimit":0,"RequestDeadline":0,` +
	`"RetryBudget":0,"BatchRunRight":0,"Overnight":{"Start":0,"End":0,"Zone":""},"Guards":false}`

// Guards against a new field that changes the encoding of configurations without
// an evacuation: stored hashes would no longer match, and processes of the
// earlier release would reject the part.
func TestRulesWithoutEvacuationKeepTheirEncoding(t *testing.T) {
	in := content(0)
	in.Rules.Evacuate = []types.FailureDomain{}
	c, err := New(1, in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p, _ := c.Part(PartRules); string(p.Body) != rulesOfEarlierRelease {
		t.Fatalf("rules part is\n%s\nwant\n%s", p.Body, rulesOfEarlierRelease)
	}
}

// Guards against an evacuation that is lost on the way to a process, ships other
// parts than the rules, or leaves traces after its end.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	first, _ := New(1, content(0), nil)
	second, err := first.WithEvacuation("d1", false)
	if err != nil || second.Version() != 2 {
		t.Fatalf("begin: version %v, error %v", second, err)
	}
	d := Difference(first, second)
	if len(d.Parts) != 1 || d.Parts[0].Name != PartRules {
		t.Fatalf("delta contains %d parts, want only the rules", len(d.Parts))
	}
	held, err := first.Apply(d)
	if err != nil || !held.Evacuated("d1") || held.Evacuated("d0") || held.ShardDomain("d1-s00") != "d1" {
		t.Fatalf("evacuation did not arrive: %+v, error %v", held.Rules(), err)
	}
	if again, err := held.WithEvacuation("d1", false); err != nil || again != held {
		t.Fatalf("repeated evacuation: %v, want no new version", err)
	}
	both, _ := held.WithEvacuation("d0", false)
	if r := both.Rules(); len(r.EvacuatedDomains()) != 2 {
		t.Fatalf("two failure domains: %v", r.EvacuatedDomains())
	}
	one, _ := both.WithEvacuation("d1", true)
	if one.Evacuated("d1") || !one.Evacuated("d0") {
		t.Fatalf("after the end of one of two evacuations: %v", one.Rules().EvacuateByCommand)
	}
	none, _ := one.WithEvacuation("d0", true)
	if !none.SameContent(first) {
		t.Fatal("the configuration after the end differs from the one before the evacuation")
	}
}

// Guards against an evacuation without effect because of a misspelt name, and
// against an end that the next apply would undo.
func TestEvacuationErrors(t *testing.T) {
	in := content(0)
	in.Rules.Evacuate = []types.FailureDomain{"d2"}
	c, _ := New(1, in, nil)
	var unknown *UnknownDomainError
	if _, err := c.WithEvacuation("d9", false); !errors.As(err, &unknown) || !strings.Contains(err.Error(), "d0, d1, d2") {
		t.Fatalf("unknown failure domain: %v", err)
	}
	var declared *DeclaredEvacuationError
	if _, err := c.WithEvacuation("d2", true); !errors.As(err, &declared) {
		t.Fatalf("end of a declared evacuation: %v", err)
	}
	in.Rules.Evacuate = []types.FailureDomain{"d9"}
	c, err := New(2, in, c)
	if err != nil || c.CheckEvacuation() == nil {
		t.Fatalf("configuration that evacuates an unknown failure domain: %v", err)
	}
}

// Guards against an apply that ends an evacuation by command, or keeps one of a
// failure domain that no longer exists.
func TestApplyKeepsEvacuationsByCommand(t *testing.T) {
	first, _ := New(1, content(0), nil)
	second, _ := first.WithEvacuation("d1", false)
	third, _ := second.WithEvacuation("d2", false)
	next := content(0)
	next.Domains = next.Domains[:2]
	next.Rules.EvacuateByCommand = []types.FailureDomain{"d0"}
	KeepEvacuations(&next, third)
	if got := next.Rules.EvacuateByCommand; len(got) != 1 || got[0] != "d1" {
		t.Fatalf("kept %v, want d1", got)
	}
}
