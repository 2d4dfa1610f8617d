package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// maxLogLine is the maximum length of a log line in bytes. Reading a log with a
// longer line fails.
const maxLogLine = 1 << 20

// explainCommand returns the command that merges the logs of many processes into
// the timeline of a job.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the timeline of a job from the logs of all processes", ArgsUsage: "JOB FILE...",
		Description: "Reads structured logs, in any order and with any text before the JSON object, and prints in order of time\n" +
			"the events of the job, marked with *, and the events of the same period about processes, configurations, dependencies, owners, evacuations, VMs and queues over their limit.",
		Action: func(_ context.Context, c *cli.Command) error {
			args := c.Args().Slice()
			if len(args) < 2 {
				return apperr.New(apperr.KindUsage, "explain", "needs a job and one or more files", "run `boragecrank explain JOB FILE...`")
			}
			return explain(c.Root().Writer, args[0], args[1:])
		},
	}
}

// logLine is one logged event. details holds the remaining fields as text.
type logLine struct {
	time, process, message string
	event                  int
	details                string
	matchesJob             bool
}

func explain(w io.Writer, job string, files []string) error {
	var lines []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return apperr.Wrap(err, apperr.KindInvalid, "log "+name, "cannot be opened", "check the path")
		}
		read, err := readLog(f, job)
		_ = f.Close()
		if err != nil {
			return apperr.Wrap(err, apperr.KindInvalid, "log "+name, "cannot be read", "check the file")
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	first := slices.IndexFunc(lines, func(l logLine) bool { return l.matchesJob })
	if first < 0 {
		return apperr.New(apperr.KindNotFound, fmt.Sprintf("job %q", job), "is in none of the logs", "check the ID, and that the logs of its entry are among the files")
	}
	last := len(lines) - 1
	for !lines[last].matchesJob {
		last--
	}
	for _, l := range lines[first : last+1] {
		marker := " "
		if l.matchesJob {
			marker = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s %-16s %d %s %s\n", marker, l.time, l.process, l.event, l.message, l.details); err != nil {
			return err
		}
	}
	return nil
}

// isContextEvent reports whether an event is shown in addition to those of the
// job: events about the process, its configuration, its dependencies, membership,
// evacuations and shard ownership (100 to 599), and about workers and VMs that are reached,
// lost or quarantined (640, 641, 654, 655, 657), and about the forecast of queues (663 to
// 665, 740, 741).
func isContextEvent(event int) bool {
	switch event {
	case 640, 641, 654, 655, 657, 663, 664, 665, 740, 741:
		return true
	}
	return event >= 100 && event < 600
}

func readLog(r io.Reader, job string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[begin:]), &fields) != nil {
			continue // not a structured line
		}
		l := parseLogLine(fields, job)
		if l.matchesJob || isContextEvent(l.event) {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLogLine(fields map[string]any, job string) logLine {
	text := func(key string) string {
		s, _ := fields[key].(string)
		return s
	}
	number, _ := fields["event"].(float64)
	l := logLine{time: text("time"), process: text("process"), message: text("msg"), event: int(number)}
	task := text("task")
	l.matchesJob = text("job") == job || strings.HasPrefix(task, job+"/")
	for _, name := range []string{"time", "process", "msg", "event", "level", "role", "job"} {
		delete(fields, name)
	}
	details := make([]string, 0, len(fields))
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		details = append(details, fmt.Sprintf("%s=%v", key, fields[key]))
	}
	l.details = strings.Join(details, " ")
	return l
}
