package settings

import (
	"fmt"

	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// roleKey is a key that only processes of one role may set.
type roleKey struct {
	table string
	key   string
	role  Role
	// required is set if processes of the role must set the key.
	required bool
}

var roleKeys = []roleKey{
	{tableListen, "callers", RoleEntry, true},
	{tableListen, "api", RoleEntry, true},
	{tableListen, "announcements", RoleWorker, true},
	{tablePlatform, "runtime", RoleWorker, true},
	{tableCredentials, "operators_token_file", RoleEntry, false},
	{tableCredentials, "operators_token_env", RoleEntry, false},
}

// check runs the checks that the schema cannot express.
func (c *checker) check() {
	c.requireTable(tableListen)
	c.requireTable(tablePlatform)
	c.checkRoleKeys()
	c.checkListen()
	c.checkTrace()
}

// filePos returns the position of the settings file as a whole.
func (c *checker) filePos() tomlcheck.Pos {
	return tomlcheck.Pos{File: c.doc.One(tableRoot).Pos().File}
}

// requireTable reports the table if the file does not have it.
func (c *checker) requireTable(table string) {
	if len(c.doc.All(table)) == 0 && !c.doc.Incomplete() {
		c.report.Add(c.filePos(), "", table, "the required table is missing", "add ["+table+"]")
	}
}

func (c *checker) checkRoleKeys() {
	role := c.role()
	if role == "" {
		return
	}
	for _, k := range roleKeys {
		if len(c.doc.All(k.table)) == 0 {
			continue
		}
		r := c.doc.One(k.table)
		switch {
		case r.Given(k.key) && k.role != role:
			r.Add(c.report, k.key, fmt.Sprintf("the key is for role %s and this process has role %s", k.role, role), "remove it")
		case k.required && !r.Given(k.key) && k.role == role && !r.HasSyntaxError():
			r.Add(c.report, k.key, fmt.Sprintf("the key is required for role %s and is missing", role), "add it")
		}
	}
}

// listener is a key with an address that the process listens on.
type listener struct {
	table string
	key   string
	udp   bool
	// advertised is set if the address is sent to other processes.
	advertised bool
}

var listeners = []listener{
	{table: tableListen, key: "callers"},
	{table: tableListen, key: "api"},
	{table: tableListen, key: "announcements"},
	{table: tableListen, key: "internal", advertised: true},
	{table: tableListen, key: "datagrams", advertised: true, udp: true},
	{table: tableMetrics, key: "listen"},
}

func (c *checker) checkListen() {
	usedBy := make(map[string]string)
	for _, l := range listeners {
		r := c.doc.One(l.table)
		if !r.Valid(l.key) || r.String(l.key) == "" {
			continue
		}
		text := r.String(l.key)
		a := address(text)
		if a.Port() == 0 {
			r.Add(c.report, l.key, "port 0 is not a fixed port", "choose a port from 1 to 65535")
			continue
		}
		if l.advertised && a.Addr().IsUnspecified() {
			r.Add(c.report, l.key, text+" is not an address that other processes can reach", "write the VM's own IP address")
		}
		id := fmt.Sprintf("%v %s", l.udp, a)
		if other, ok := usedBy[id]; ok {
			r.Add(c.report, l.key, text+" is already used by "+other, "choose another port")
		}
		usedBy[id] = l.key
	}
}

func (c *checker) checkTrace() {
	r := c.doc.One(tableTrace)
	if !r.Valid("exporter") {
		return
	}
	file := r.String("exporter") == "file"
	if file && r.String("path") == "" {
		r.Add(c.report, "path", "exporter file has no path", `add path = "trace.json"`)
	}
	if !file && r.Given("path") {
		r.Add(c.report, "path", "the path is used by exporter file only", "remove it or set exporter = \"file\"")
	}
}
