package cli

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/jobserver"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/platform"
)

var (
	eventJobRoleStopped = telemetry.Define(142, logrus.InfoLevel, "role stopped",
		"Field: dropped (log lines that were not written). No action.")
	eventSettingsChecked = telemetry.Define(143, logrus.InfoLevel, "settings checked",
		"The process received SIGHUP and checked its settings. It keeps the settings in use; restart it to apply changes. An error names the mistake.")
)

// jobRoleCommands returns the commands of the roles that run jobs on the users'
// platform (package platform at the root of the module). The roles of
// roleCommands, entry and worker, use the services of internal/platform instead.
func jobRoleCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "jobs-entry", Category: "Roles on the users' platform",
			Usage: "accept jobs, report their states, and own the jobs if no other entry does",
			Flags: append(jobRoleFlags(), &cli.BoolFlag{
				Name:  flagOverloadControl,
				Usage: "plan which large jobs are delayed when not all can be in time, protect size classes, and reject jobs that would be worthless when done",
			}, &cli.BoolFlag{
				Name:  flagPassSubmissions,
				Usage: "forward submissions to another entry while the store serves it but not this one, and accept those of others",
			}, &cli.BoolFlag{
				Name:  flagQuietHandover,
				Usage: "as an owner with few cores of a large deployment, hand over to a larger entry in a quiet period",
			}, &cli.BoolFlag{
				Name:  flagHeadroom,
				Usage: "let standing tasks wait for a bounded time when they would take what short work usually uses; part of --overload-control",
			}, &cli.BoolFlag{
				Name:  flagCopies,
				Usage: "start second runs of tasks that take much longer than usual, in steps that allow it",
			}),
			Action: jobRoleAction("jobs-entry", jobserver.RunEntry),
		},
		{
			Name: "jobs-agent", Category: "Roles on the users' platform",
			Usage: "carry out the orders of the owner of jobs on the upstream worker of this VM",
			Flags: jobRoleFlags(), Action: jobRoleAction("jobs-agent", jobserver.RunAgent),
		},
	}
}

const (
	flagOverloadControl = "overload-control"
	flagHeadroom        = "headroom"
	flagPassSubmissions = "pass-submissions"
	flagQuietHandover   = "quiet-handover"
	flagCopies          = "copies"
)

func jobRoleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "minimum level of log lines"},
		&cli.IntFlag{Name: "metrics-port", Usage: "port of the metrics, 0 for none"},
		&cli.FloatFlag{Name: "trace-sample", Usage: "share of requests traced to standard output, 0 to 1"},
	}
}

func jobRoleAction(role string, run func(context.Context, jobserver.Options) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		output := telemetry.NewAsyncWriter(os.Stdout)
		defer output.Close()
		options := telemetry.Options{Process: s.Name, Role: role, LogLevel: c.String("log-level"), LogOutput: output, TraceSample: c.Float("trace-sample")}
		if options.TraceSample > 0 {
			options.TraceExporter = "stdout"
		}
		tel, err := telemetry.Setup(options)
		if err != nil {
			return err
		}
		tel.CounterFunc("log_lines_dropped", "Log lines that were dropped because the output was too slow.", nil, output.Dropped)
		setMemoryLimit(s.MemoryBytes)
		guard := httpserve.NewGuard(s.MemoryBytes, s.OpenFiles, tel)
		if port := c.Int("metrics-port"); port > 0 {
			metrics, err := httpserve.Listen(net.JoinHostPort(s.Address, strconv.Itoa(port)), tel.MetricsHandler, jobserver.MetricsLimits(guard))
			if err != nil {
				return err
			}
			defer func() { _ = metrics.Close() }()
		}
		go checkSettingsOnHangup(ctx, tel.Log)
		err = run(ctx, jobserver.Options{
			Settings: s, Store: platform.NewStore(s.Store, s.MaxRowBytes), Telemetry: tel, Guard: guard,
			OverloadControl: c.Bool(flagOverloadControl), Headroom: c.Bool(flagHeadroom), Copies: c.Bool(flagCopies), PassSubmissions: c.Bool(flagPassSubmissions), QuietHandover: c.Bool(flagQuietHandover),
		})
		tel.Log.Log(eventJobRoleStopped, err, telemetry.Fields{"dropped": output.Dropped()})
		return err
	}
}

// setMemoryLimit makes the garbage collector run more often when the process comes near
// the memory of its VM. It is an additional measure: what untrusted clients may take is
// bounded by httpserve.Guard.
func setMemoryLimit(memoryBytes int64) {
	// programBytes is the resident part of the program itself, which the limit does
	// not count.
	const programBytes = 20 << 20
	if memoryBytes > 2*programBytes && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit((memoryBytes - programBytes) * 9 / 10)
	}
}

// checkSettingsOnHangup rereads the settings on SIGHUP to report mistakes in
// them. The running process keeps its settings.
func checkSettingsOnHangup(ctx context.Context, log *telemetry.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-hup:
			_, err := platform.LoadSettings()
			log.Log(eventSettingsChecked, err, nil)
		case <-ctx.Done():
			return
		}
	}
}
