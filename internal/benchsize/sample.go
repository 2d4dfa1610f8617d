// Package benchsize measures the resource usage of the control processes. It
// starts deployments of several sizes from the built binary, reads memory,
// processor time, traffic and table calls of each process, and fits the usage
// as a function of the size. The command is in internal/benchsize/cmd and is
// not part of the shipped binary.
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
	// clockTick is the unit of processor times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// statUserTimeField is the index of utime among the fields of
	// /proc/PID/stat after the command name. The next field is stime.
	statUserTimeField = 11
	// datagramHeaderBytes is the size of the UDP and IPv4 headers of a
	// datagram, in bytes.
	datagramHeaderBytes = 28
)

// Target is a process to be measured.
type Target struct {
	Name string
	PID  int
	// Metrics is the URL of the metrics of the process.
	Metrics string
}

// Sample is the state of a process at one time. Counters count from the start
// of the process.
type Sample struct {
	At time.Time
	// Resident is VmRSS, and Anonymous is the part of it that is not mapped
	// from files (RssAnon), both in bytes.
	Resident, Anonymous uint64
	// Processor is the user and system time since the start of the process.
	Processor time.Duration
	// Series holds the metrics. seriesName gives the form of the keys.
	Series map[string]float64
}

// ReadSample samples a process. It reads the metrics first, so that the
// processor time of serving them does not count towards the interval that
// follows.
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

// parseMetrics adds the counters and gauges of a text in the Prometheus format
// to a map. It omits the label role, which all series of a process share.
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

// seriesName returns the key of a series: the name without the product's prefix,
// followed by the labels in the format of package fmt, which sorts them by name.
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

// readProcessorTime returns the user and system time of all threads.
func readProcessorTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name, in parentheses, may contain spaces.
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
