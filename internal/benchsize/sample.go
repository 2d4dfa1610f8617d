// Package benchsize measures what control costs: it starts deployments of
// several sizes from the built binary, reads memory, processor time, traffic
// and table calls of each process, and fits slopes. The command is in
// internal/benchsize/cmd and is not part of the shipped binary.
package benchsize

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"

	"github.com/boragecrank/boragecrank/internal/localrun"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// statUserTimeField is the position of utime in /proc/PID/stat after the
	// command's name, counted from 0; stime follows.
	statUserTimeField = 11
	// datagramHeaderBytes are the bytes of the UDP and IPv4 headers.
	datagramHeaderBytes = 28
)

// Target is one process to be measured.
type Target struct {
	Name string
	PID  int
	// Metrics is the URL of its metrics.
	Metrics string
}

// Sample is the state of a process at one time. Counters are since its start.
type Sample struct {
	At time.Time
	// Resident is VmRSS, and Anonymous the part that is not mapped from files,
	// in bytes.
	Resident, Anonymous uint64
	Processor           time.Duration
	// Series holds the metrics by name and sorted labels.
	Series map[string]float64
}

// ReadSample samples a process. The metrics are read first, so that reading them is
// not charged to the interval that begins here.
func ReadSample(ctx context.Context, d *localrun.Deployment, t Target) (Sample, error) {
	text, err := d.Get(ctx, t.Metrics)
	if err != nil {
		return Sample{}, err
	}
	s := Sample{Series: make(map[string]float64)}
	if err := parseMetrics(text, s.Series); err != nil {
		return Sample{}, err
	}
	if err := readStatus(t.PID, &s); err != nil {
		return Sample{}, err
	}
	s.Processor, err = readProcessorTime(t.PID)
	s.At = time.Now()
	return s, err
}

// parseMetrics adds counters and gauges in the text format of Prometheus.
func parseMetrics(text []byte, into map[string]float64) error {
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return err
	}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			labels := make(map[string]string, len(m.GetLabel()))
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			delete(labels, "role")
			into[seriesName(name, labels)] = m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return nil
}

// seriesName returns the key of a series without the prefix of the product.
func seriesName(name string, labels map[string]string) string {
	return fmt.Sprintf("%s%v", strings.TrimPrefix(name, "boragecrank_"), maps.Clone(labels))
}

func readStatus(pid int, s *Sample) error {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseUint(fields[1], 10, 64)
		switch fields[0] {
		case "VmRSS:":
			s.Resident = kilobytes << 10
		case "RssAnon:":
			s.Anonymous = kilobytes << 10
		}
	}
	if s.Resident == 0 {
		return fmt.Errorf("process %d has no VmRSS", pid)
	}
	return nil
}

// readProcessorTime returns user and system time of all threads.
func readProcessorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may contain spaces.
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(fields) < statUserTimeField+2 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	user, err := strconv.ParseInt(fields[statUserTimeField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[statUserTimeField+1], 10, 64)
	return time.Duration(user+system) * clockTick, err
}
