package inventory

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

func quote(s string) string {
	return strconv.Quote(s)
}

func namesOf(namespace map[string]*declaration) []string {
	names := make([]string, 0, len(namespace))
	for n := range namespace {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (c *compiler) compileDomains() {
	for _, r := range c.doc.All(tableDomain) {
		if !c.declareNamed(c.domains, "failure domain", r) {
			continue
		}
		c.content.Domains = append(c.content.Domains, config.Domain{
			Name:   types.FailureDomain(r.String("name")),
			Region: types.Region(r.String("region")),
		})
	}
}

func (c *compiler) compileRacks() {
	for _, r := range c.doc.All(tableRack) {
		if !c.declareNamed(c.racks, "rack", r) || !r.Valid("failure_domain") {
			continue
		}
		domain := r.String("failure_domain")
		if !c.checkReference(c.domains, "failure domain", tableDomain, domain, "failure_domain", r) {
			continue
		}
		name := r.String("name")
		c.rackDomain[name] = domain
		d := c.domain(domain)
		d.Racks = append(d.Racks, types.Rack(name))
	}
}

func (c *compiler) domain(name string) *config.Domain {
	for i := range c.content.Domains {
		if c.content.Domains[i].Name == types.FailureDomain(name) {
			return &c.content.Domains[i]
		}
	}
	return nil
}

func (c *compiler) compileVMs() {
	for _, r := range c.doc.All(tableVM) {
		names := c.vmNames(r)
		sizeValid := r.Valid("cores") && r.Valid("memory") && r.Valid("accelerators") && !r.HasSyntaxError()
		if len(names) == 0 || !sizeValid || !c.checkVM(r) {
			c.vmsIncomplete = true
		}
		for _, name := range names {
			if !c.declare(c.vms, "VM", name, r) {
				continue
			}
			c.addVM(name, r)
		}
	}
}

// checkVM checks the keys of a VM against each other and reports whether its
// rack is declared.
func (c *compiler) checkVM(r *tomlcheck.Record) bool {
	rackKnown := r.Valid("rack") && c.checkReference(c.racks, "rack", tableRack, r.String("rack"), "rack", r)
	if r.Valid("slots") && r.Valid("connections") && r.Int("connections") < r.Int("slots") {
		r.Add(c.report, "connections",
			fmt.Sprintf("%d connections cannot carry %d slots", r.Int("connections"), r.Int("slots")),
			fmt.Sprintf("set connections to at least %d", r.Int("slots")))
	}
	return rackKnown
}

func (c *compiler) addVM(name string, r *tomlcheck.Record) {
	domain, ok := c.rackDomain[r.String("rack")]
	if !ok {
		return
	}
	d := c.domain(domain)
	d.VMs = append(d.VMs, types.VM{
		ID:            types.VMID(name),
		Region:        d.Region,
		FailureDomain: d.Name,
		Rack:          types.Rack(r.String("rack")),
		Capacity:      r.Resources(""),
		Slots:         int(r.Int("slots")),
		Connections:   int(r.Int("connections")),
	})
}

// rangePattern matches a name with exactly one number verb, %d or %01d to %09d.
var rangePattern = regexp.MustCompile(`^[^%]*%(0[1-9])?d[^%]*$`)

// vmNames returns the names of the VMs that a record declares: one name, or those
// of a range if it sets count. It returns nil if a name is invalid.
func (c *compiler) vmNames(r *tomlcheck.Record) []string {
	if !r.Valid("name") {
		return nil
	}
	name := r.String("name")
	if !r.Given("count") {
		if !tomlcheck.ValidName(name) {
			r.Add(c.report, "name", quote(name)+" is not a valid name of a VM",
				`write 1 to 63 letters, digits, '.', '_' and '-', or add count for a range such as "gent-%02d"`)
			return nil
		}
		return []string{name}
	}
	if !rangePattern.MatchString(name) {
		r.Add(c.report, "name", quote(name)+" has not exactly one number verb, which count needs",
			`write a name such as "gent-%02d"`)
		return nil
	}
	return c.rangeNames(name, r)
}

func (c *compiler) rangeNames(pattern string, r *tomlcheck.Record) []string {
	names := make([]string, 0, r.Int("count"))
	for i := range r.Int("count") {
		name := fmt.Sprintf(pattern, r.Int("first")+i)
		if !tomlcheck.ValidName(name) {
			r.Add(c.report, "name", quote(name)+" in this range is not a valid name of a VM",
				"write 1 to 63 letters, digits, '.', '_' and '-'")
			return nil
		}
		names = append(names, name)
	}
	return names
}
