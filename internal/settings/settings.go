// Package settings reads the settings of one process.
//
// A settings file holds the identity of the process, its listen addresses, the
// addresses of the platform and the limits. It refers to credentials by file or
// environment variable and never contains one.
package settings

import (
	"net/netip"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/tomlcheck"
)

// Role selects what a process does.
type Role string

// Roles that take a settings file.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// Settings are the validated settings of one process.
type Settings struct {
	Role          Role
	ID            types.VMID
	Region        types.Region
	FailureDomain types.FailureDomain
	// Peers are internal addresses to fetch the configuration from when the
	// table service is unavailable.
	Peers       []netip.AddrPort
	Listen      Listen
	Platform    Platform
	Credentials Credentials
	Limits      Limits
	Drain       Drain
	Log         Log
	Trace       Trace
	Metrics     Metrics
}

// Listen holds the addresses to listen on. Addresses that are only used by the
// other role are zero.
type Listen struct {
	Callers       netip.AddrPort
	API           netip.AddrPort
	Announcements netip.AddrPort
	Internal      netip.AddrPort
	Datagrams     netip.AddrPort
}

// Platform holds the URLs of the platform's services. Runtime is empty for an
// entry.
type Platform struct {
	Table   string
	Objects string
	Runtime string
}

// Limits bound what one process accepts. An entry uses all of them except
// ResponseBytes, which a worker uses.
type Limits struct {
	// BodyBytes is the maximum size of the body of one request.
	BodyBytes int64
	// ResponseBytes is the maximum size of the body of one response.
	ResponseBytes int64
	// HeaderBytes is the maximum size of the header of one request.
	HeaderBytes int64
	// Connections is the maximum number of open connections of callers, and separately
	// of operators. MemoryBytes may allow fewer.
	Connections int
	// Queue is the maximum number of requests of one service that wait for a worker
	// or a slot at an entry.
	Queue int
	// MemoryBytes is the memory of the process that the limits on untrusted clients
	// are derived from.
	MemoryBytes int64
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// Delay is the time between failing the readiness check and refusing new
	// connections.
	Delay time.Duration
	// Timeout bounds the wait for requests in progress.
	Timeout time.Duration
}

// Log holds level and format ("text" or "json") of the log.
type Log struct {
	Level  string
	Format string
}

// Trace configures the export of spans.
type Trace struct {
	// Exporter is "none", "stdout" or "file".
	Exporter string
	// Path is the output file of exporter "file".
	Path string
	// Sample is the share of requests that are traced, 0 to 1.
	Sample float64
}

// Metrics configures the metrics endpoint. With a zero Listen no metrics are
// served.
type Metrics struct {
	Listen   netip.AddrPort
	Interval time.Duration
}

// Load reads and checks a settings file and the credentials that it refers to.
// The error is of kind invalid and carries all findings (tomlcheck.ReportOf).
func Load(path string) (*Settings, error) {
	files, report := tomlcheck.ReadFiles([]string{path})
	if !report.OK() {
		return nil, report.Err("settings " + path)
	}
	s, report := Parse(files)
	if !report.OK() {
		return nil, report.Err("settings " + path)
	}
	return s, nil
}

// Parse checks settings files that are already in memory and reads the
// credentials. All files together form the settings of one process. The settings
// are never nil, but complete only if the report is OK: invalid keys have the
// zero value. Relative paths of credential files are relative to the directory
// of the settings file.
func Parse(files []tomlcheck.File) (*Settings, *tomlcheck.Report) {
	doc, report := Schema.Decode(files)
	c := &checker{doc: doc, report: report}
	s := c.read()
	c.check()
	s.Credentials = c.readCredentials()
	report.Sort()
	return s, report
}

// checker reads the settings from a decoded document and reports faults.
type checker struct {
	doc    *tomlcheck.Document
	report *tomlcheck.Report
}

func (c *checker) role() Role {
	return Role(c.doc.One(tableRoot).String("role"))
}

func (c *checker) read() *Settings {
	root := c.doc.One(tableRoot)
	listen := c.doc.One(tableListen)
	platform := c.doc.One(tablePlatform)
	drain := c.doc.One(tableDrain)
	log := c.doc.One(tableLog)
	trace := c.doc.One(tableTrace)
	metrics := c.doc.One(tableMetrics)
	return &Settings{
		Role:          c.role(),
		ID:            types.VMID(root.String("id")),
		Region:        types.Region(root.String("region")),
		FailureDomain: types.FailureDomain(root.String("failure_domain")),
		Peers:         addresses(root.Strings("peers")),
		Listen: Listen{
			Callers:       address(listen.String("callers")),
			API:           address(listen.String("api")),
			Announcements: address(listen.String("announcements")),
			Internal:      address(listen.String("internal")),
			Datagrams:     address(listen.String("datagrams")),
		},
		Platform: Platform{
			Table:   platform.String("table"),
			Objects: platform.String("objects"),
			Runtime: platform.String("runtime"),
		},
		Limits:  readLimits(c.doc.One(tableLimits)),
		Drain:   Drain{Delay: drain.Duration("delay"), Timeout: drain.Duration("timeout")},
		Log:     Log{Level: log.String("level"), Format: log.String("format")},
		Trace:   Trace{Exporter: trace.String("exporter"), Path: trace.String("path"), Sample: trace.Float("sample")},
		Metrics: Metrics{Listen: address(metrics.String("listen")), Interval: metrics.Duration("interval")},
	}
}

func readLimits(r *tomlcheck.Record) Limits {
	return Limits{
		BodyBytes:     r.Int("body"),
		ResponseBytes: r.Int("response"),
		HeaderBytes:   r.Int("header"),
		Connections:   int(r.Int("connections")),
		Queue:         int(r.Int("queue")),
		MemoryBytes:   r.Int("memory"),
	}
}

// address parses a validated address. It returns the zero value for an empty or
// invalid text.
func address(s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func addresses(list []string) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(list))
	for _, s := range list {
		all = append(all, address(s))
	}
	return all
}
