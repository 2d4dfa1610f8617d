package localrun

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// defaultRules is the default content of the rules file.
const defaultRules = `[rules]
urgent = ["berth-check"]
may_wait = ["night-allocation"]
tail_latency_weight = 10
eviction_weight = 1
urgent_start_limit = "2.3s"
request_deadline = "2s"
retry_budget = 0.1
batch_run_right = "30s"
overnight_start = "20:00"
overnight_end = "06:00"
time_zone = "Europe/Brussels"
guards = true
`

// defaultWork is the default content of the file of teams, services and jobs. The
// quotas cover the capacity of 1000 VMs of 16 cores and 60GB, so that they do not
// limit placement.
const defaultWork = `[[team]]
name = "bookings"
quota_cores = 20000
quota_memory = "60TB"

[[service]]
name = "berth-check"
team = "bookings"
replicas = 1
cores = 1
memory = "1GB"
deadline = "2s"

[[job]]
name = "night-allocation"
team = "bookings"
tasks = 1
cores = 4
memory = "8GB"
run_time = "1s"
`

func (d *Deployment) inventoryDir() string { return filepath.Join(d.opts.Dir, "inventory") }

// InventoryDir returns the directory of the inventory files.
func (d *Deployment) InventoryDir() string { return d.inventoryDir() }

// writeInventory creates the inventory directory and its files, with the given
// number of workers in each failure domain, 3 to a rack.
func (d *Deployment) writeInventory(workers int) error {
	if err := os.MkdirAll(d.inventoryDir(), 0o700); err != nil {
		return err
	}
	rules, work := d.opts.Rules, d.opts.Work
	if rules == "" {
		rules = defaultRules
	}
	if work == "" {
		work = defaultWork
	}
	files := map[string]string{"rules.toml": rules, "work.toml": work, "vms.toml": d.vmInventory(workers)}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(d.inventoryDir(), name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

const vmsPerRack = 3

func (d *Deployment) vmInventory(workers int) string {
	var b strings.Builder
	for domain := 1; domain <= d.opts.Domains; domain++ {
		fmt.Fprintf(&b, "[[failure_domain]]\nname = \"domain-%d\"\nregion = \"Flanders\"\n\n", domain)
		for first := 1; first <= workers; first += vmsPerRack {
			rack := fmt.Sprintf("d%d-r%d", domain, first/vmsPerRack+1)
			count := min(vmsPerRack, workers-first+1)
			fmt.Fprintf(&b, "[[rack]]\nname = %q\nfailure_domain = \"domain-%d\"\n\n", rack, domain)
			fmt.Fprintf(&b, "[[vm]]\nname = \"d%d-%%03d\"\nfirst = %d\ncount = %d\nrack = %q\ncores = 16\nmemory = \"60GB\"\nslots = 8\nconnections = 64\n\n",
				domain, first, count, rack)
		}
	}
	return b.String()
}

// peerList returns the internal addresses of the entries except one as a TOML
// array. An except of 0 excludes none.
func (d *Deployment) peerList(except int) string {
	var list []string
	for i := 1; i <= d.opts.Entries; i++ {
		if i != except {
			list = append(list, fmt.Sprintf("\"127.%d.0.%d:7001\"", d.opts.Octet, i))
		}
	}
	return "[" + strings.Join(list, ", ") + "]"
}

// commonSettings returns the TOML sections that entries and workers share. name is
// the name of the process. stopTimeout in package e2e depends on the drain delay
// and timeout.
func (d *Deployment) commonSettings(name string) string {
	s := "\n[drain]\ndelay = \"1s\"\ntimeout = \"30s\"\n\n[log]\nformat = \"json\"\n"
	if d.opts.Trace {
		s += fmt.Sprintf("\n[trace]\nexporter = \"file\"\npath = %q\nsample = 1\n", d.TraceFile(name))
	}
	return s
}

// TraceFile returns the path of the file to which a process writes its spans.
func (d *Deployment) TraceFile(name string) string {
	return filepath.Join(d.opts.Dir, name+".trace")
}

// writeEntrySettings writes the settings file of an entry and returns its path.
// The entries are spread over the failure domains in turn.
func (d *Deployment) writeEntrySettings(entry int) (string, error) {
	name := EntryName(entry)
	internal := fmt.Sprintf("127.%d.0.%d:7001", d.opts.Octet, entry)
	content := fmt.Sprintf(`role = "entry"
id = %q
region = "Flanders"
failure_domain = "domain-%d"
peers = %s

[listen]
callers = %q
api = %q
internal = %q
datagrams = %q

[platform]
table = "http://%s"
objects = "http://%s"

[credentials]
operators_token_env = "BORAGECRANK_OPERATORS_TOKEN"
shared_key_env = "BORAGECRANK_SHARED_KEY"
%s`, name, (entry-1)%d.opts.Domains+1, d.peerList(entry), d.CallerAddr(entry), d.OperatorAddr(entry), internal, internal,
		d.PlatformAddr(), d.PlatformAddr(), d.commonSettings(name))
	return d.writeSettings(name, content)
}

func (d *Deployment) writeWorkerSettings(domain, worker int) (string, error) {
	name := WorkerName(domain, worker)
	internal := fmt.Sprintf("127.%d.%d.%d:7001", d.opts.Octet, domain, worker)
	content := fmt.Sprintf(`role = "worker"
id = %q
region = "Flanders"
failure_domain = "domain-%d"
peers = %s

[listen]
announcements = %q
internal = %q
datagrams = %q

[platform]
table = "http://%s"
objects = "http://%s"
runtime = "http://%s"

[credentials]
shared_key_env = "BORAGECRANK_SHARED_KEY"
%s`, name, domain, d.peerList(0), d.announcementAddr(domain, worker), internal, internal,
		d.PlatformAddr(), d.PlatformAddr(), d.PlatformAddr(), d.commonSettings(name))
	return d.writeSettings(name, content)
}

func (d *Deployment) writeSettings(name, content string) (string, error) {
	file := filepath.Join(d.opts.Dir, name+".toml")
	return file, os.WriteFile(file, []byte(content), 0o600)
}
