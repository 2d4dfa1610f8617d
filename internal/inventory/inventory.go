// Package inventory reads the operators' inventory and rules.
//
// Parse decodes TOML files and finds syntax errors, unknown keys, wrong types and
// values out of range. Compile resolves names, checks that services and jobs fit
// the VMs and the quotas, and returns a configuration. Load reads the files and
// runs both. All report every fault that they find, and Compile returns a
// configuration only if there is no finding.
package inventory

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// Finding is one fault with file, line, object, key, problem and remedy.
type Finding = tomlcheck.Finding

// Report is a list of findings.
type Report = tomlcheck.Report

// Source is a set of decoded inventory files.
type Source struct {
	doc    *tomlcheck.Document
	report *Report
}

// Load reads and parses inventory files. For a directory it reads all files in it
// that end in .toml. The report also holds the findings of Compile(nil), so that
// one call reports all faults. The source is never nil; if a file cannot be read,
// Compile reports that again.
func Load(paths ...string) (*Source, *Report) {
	files, report := tomlcheck.ReadFiles(paths)
	s := Parse(files)
	report.Merge(s.report)
	s.report = report
	_, all := s.Compile(nil)
	return s, all
}

// Parse reads inventory files that are already in memory.
func Parse(files []tomlcheck.File) *Source {
	doc, report := Schema.Decode(files)
	return &Source{doc: doc, report: report}
}

// Compile checks the content and returns the configuration that succeeds
// previous: its version is one higher, VMs keep their shards, and evacuations by
// command continue. If previous is nil, the version is 1. If the report is not OK, the configuration is nil.
func (s *Source) Compile(previous *config.Config) (*config.Config, *Report) {
	return s.newCompiler().finish(previous)
}

// newCompiler returns a compiler that has checked the content.
func (s *Source) newCompiler() *compiler {
	c := newCompiler(s.doc)
	c.report.Merge(s.report)
	c.compile()
	c.report.Sort()
	return c
}

// finish returns the configuration that succeeds previous, or nil if there is a
// fault.
func (c *compiler) finish(previous *config.Config) (*config.Config, *Report) {
	if !c.report.OK() {
		return nil, c.report
	}
	version := types.Version(1)
	if previous != nil {
		version = previous.Version() + 1
	}
	config.KeepEvacuations(&c.content, previous)
	for i := range c.content.Domains {
		config.AssignShards(&c.content.Domains[i], previous)
	}
	cfg, err := config.New(version, c.content, previous)
	if err != nil {
		c.report.Add(tomlcheck.Pos{File: "inventory"}, "", "", err.Error(), "report this as a bug")
		return nil, c.report
	}
	return cfg, c.report
}

// compiler converts records into the content of a configuration.
type compiler struct {
	doc     *tomlcheck.Document
	report  *Report
	content config.Content

	domains map[string]*declaration
	racks   map[string]*declaration
	vms     map[string]*declaration
	teams   map[string]*declaration
	// workloads holds services and jobs, which share one namespace.
	workloads map[string]*declaration

	rackDomain map[string]string
	// vmsIncomplete is set if a fault hides VMs or their capacity. Whether services
	// and jobs fit the VMs is not checked then.
	vmsIncomplete bool
}

// declaration is an object that the inventory declares.
type declaration struct {
	record *tomlcheck.Record
	name   string
	// sizeInvalid is set for a service or job whose cores, memory or accelerators
	// are invalid. Checks that depend on these amounts are skipped.
	sizeInvalid bool
}

func newCompiler(doc *tomlcheck.Document) *compiler {
	return &compiler{
		doc:        doc,
		report:     &Report{},
		domains:    make(map[string]*declaration),
		racks:      make(map[string]*declaration),
		vms:        make(map[string]*declaration),
		teams:      make(map[string]*declaration),
		workloads:  make(map[string]*declaration),
		rackDomain: make(map[string]string),
	}
}

func (c *compiler) compile() {
	c.compileDomains()
	c.compileRacks()
	c.compileVMs()
	c.compileTeams()
	c.compileServices()
	c.compileJobs()
	c.compileRules()
	c.checkWorkloadsFit()
	c.checkQuotas()
}

// declare adds an object to the namespace. It reports a duplicate as a finding
// and returns false.
func (c *compiler) declare(namespace map[string]*declaration, noun, name string, r *tomlcheck.Record) bool {
	if old, ok := namespace[name]; ok {
		r.Add(c.report, "name", noun+" "+quote(name)+" is already declared at "+old.record.KeyPos("name").String(),
			"rename one of the two or remove it")
		return false
	}
	namespace[name] = &declaration{record: r, name: name}
	return true
}

// declareNamed declares a record under the value of its key "name". It returns
// false if the name is invalid or a duplicate.
func (c *compiler) declareNamed(namespace map[string]*declaration, noun string, r *tomlcheck.Record) bool {
	return r.Valid("name") && c.declare(namespace, noun, r.String("name"), r)
}

// checkReference reports whether the namespace has the name. If not, it adds a
// finding, unless a fault may hide the declaration. table is the table that
// declares such objects; the remedy names it.
func (c *compiler) checkReference(namespace map[string]*declaration, noun, table, name, key string, r *tomlcheck.Record) bool {
	if _, ok := namespace[name]; ok {
		return true
	}
	if c.declarationsMayBeHidden(table) {
		return false
	}
	remedy := "declare it with [[" + table + "]] or correct the name"
	if near := tomlcheck.Nearest(name, namesOf(namespace)); near != "" {
		remedy = "did you mean " + quote(near) + "?"
	}
	r.Add(c.report, key, noun+" "+quote(name)+" is not declared", remedy)
	return false
}

// declarationsMayBeHidden reports whether a fault may hide declarations of the
// table. An undeclared name is then not reported, because it may be a consequence
// of that fault, which has its own finding.
func (c *compiler) declarationsMayBeHidden(table string) bool {
	if c.doc.Incomplete() {
		return true
	}
	for _, r := range c.doc.All(table) {
		if !r.Valid("name") {
			return true
		}
	}
	return false
}

func (c *compiler) compileRules() {
	r := c.doc.One(tableRules)
	c.content.Rules = config.Rules{
		Weights: config.Weights{
			TailLatency: r.Float("tail_latency_weight"),
			Evictions:   r.Float("eviction_weight"),
		},
		UrgentStartLimit: r.Duration("urgent_start_limit"),
		RequestDeadline:  r.Duration("request_deadline"),
		RetryBudget:      r.Float("retry_budget"),
		BatchRunRight:    r.Duration("batch_run_right"),
		Overnight: config.Window{
			Start: r.Duration("overnight_start"),
			End:   r.Duration("overnight_end"),
			Zone:  r.String("time_zone"),
		},
		Guards:   r.Bool("guards"),
		Evacuate: c.declaredDomains(r, "evacuate"),
	}
	c.checkRules(r)
	c.applyUrgency(r)
	c.applyPriorities()
	c.applyDeadlines()
}

// minOvernight is the minimum length of the overnight window. In a shorter window,
// the time for which batch work continues without a confirmation by its shard's
// owner (batch_run_right) might not end early enough for the work to resume in
// the same window.
const minOvernight = 30 * time.Minute

func (c *compiler) checkRules(r *tomlcheck.Record) {
	rules := c.content.Rules
	if r.Valid("overnight_start") && r.Valid("overnight_end") && rules.Overnight.Length() < minOvernight {
		r.Add(c.report, "overnight_end", "the overnight window is "+rules.Overnight.Length().String()+" long",
			"make it at least "+minOvernight.String())
	}
	if r.Valid("tail_latency_weight") && r.Valid("eviction_weight") && rules.Weights == (config.Weights{}) {
		r.Add(c.report, "eviction_weight", "both weights are 0", "give at least one of them a weight above 0")
	}
}
