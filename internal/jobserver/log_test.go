package jobserver_test

import (
	"io"
	"os"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// logLines keeps the lines that the processes of a deployment log.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer. It is called once for each line.
func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

// count returns the number of lines that contain all the texts.
func (l *logLines) count(texts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		missing := false
		for _, text := range texts {
			missing = missing || !strings.Contains(line, text)
		}
		if !missing {
			n++
		}
	}
	return n
}

// newTelemetry returns telemetry for a process of which only the log is kept. The log
// is also written to standard error if BORAGECRANK_TEST_LOG is set.
func (d *deployment) newTelemetry(process string) *telemetry.Telemetry {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{})
	l.SetOutput(&d.log)
	if os.Getenv("BORAGECRANK_TEST_LOG") != "" {
		l.SetOutput(io.MultiWriter(&d.log, os.Stderr))
	}
	t := telemetry.Nop()
	t.Log = telemetry.NewLogger(l, telemetry.Fields{"process": process})
	return t
}
