package telemetry

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// metricsPrefix is the prefix of the names of all metrics.
const metricsPrefix = "boragecrank"

// metricsInterval is the time between two updates of the Prometheus registry by
// tally.
const metricsInterval = time.Second

// Options select what a process reports and where.
type Options struct {
	// Process is the name of the process in logs and traces, for example
	// "entry-1".
	Process string
	// Role is the subcommand that the process runs.
	Role string
	// LogLevel is a logrus level; empty means info.
	LogLevel string
	// LogFormat is "json" or "text"; empty means json.
	LogFormat string
	// LogOutput defaults to standard error.
	LogOutput io.Writer
	// TraceExporter is "none", "stdout" or "file"; empty means none.
	TraceExporter string
	// TraceFile receives spans, one JSON object each, if the exporter is "file".
	TraceFile string
	// TraceSample is the share of requests that are traced, 0 to 1.
	TraceSample float64
}

// Telemetry bundles the logger, metrics scope and tracer of a process.
type Telemetry struct {
	Log     *Logger
	Metrics tally.Scope
	Tracer  trace.Tracer
	// MetricsHandler serves the metrics in the text format of Prometheus.
	MetricsHandler http.Handler
	registry       *prometheus.Registry
	role           string
	closers        []func(context.Context) error
}

// Labels are the label values of one series of a metric by label name.
type Labels map[string]string

// CounterFunc registers a counter whose value is read only when the metrics are
// collected. It panics if the series is already registered. It does nothing on
// telemetry from Nop.
func (t *Telemetry) CounterFunc(name, help string, labels Labels, value func() uint64) {
	t.register(prometheus.NewCounterFunc(prometheus.CounterOpts(t.opts(name, help, labels)),
		func() float64 { return float64(value()) }))
}

// GaugeFunc registers a gauge in the same way as CounterFunc.
func (t *Telemetry) GaugeFunc(name, help string, labels Labels, value func() float64) {
	t.register(prometheus.NewGaugeFunc(prometheus.GaugeOpts(t.opts(name, help, labels)), value))
}

func (t *Telemetry) opts(name, help string, labels Labels) prometheus.Opts {
	all := prometheus.Labels{"role": t.role}
	maps.Copy(all, labels)
	return prometheus.Opts{Namespace: metricsPrefix, Name: name, Help: help, ConstLabels: all}
}

func (t *Telemetry) register(c prometheus.Collector) {
	if t.registry != nil {
		t.registry.MustRegister(c)
	}
}

// Setup starts the telemetry of a process. It fails if the log level or the trace
// exporter is unknown or the trace file cannot be opened. The caller must call
// Close.
func Setup(o Options) (*Telemetry, error) {
	log, err := newLogrus(o)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{Log: NewLogger(log, Fields{"process": o.Process, "role": o.Role})}
	t.setupMetrics(o)
	if err := t.setupTraces(o); err != nil {
		return nil, err
	}
	return t, nil
}

// Nop returns telemetry that reports nothing, for tests and short commands.
func Nop() *Telemetry {
	return &Telemetry{
		Log:            Discard(),
		Metrics:        tally.NoopScope,
		Tracer:         noop.NewTracerProvider().Tracer("boragecrank"),
		MetricsHandler: http.NotFoundHandler(),
	}
}

// Close flushes and stops metrics and traces and closes the trace file. It stops
// at the first error.
func (t *Telemetry) Close(ctx context.Context) error {
	for _, closer := range t.closers {
		if err := closer(ctx); err != nil {
			return err
		}
	}
	return nil
}

func newLogrus(o Options) (*logrus.Logger, error) {
	l := logrus.New()
	if o.LogOutput != nil {
		l.SetOutput(o.LogOutput)
	}
	if o.LogFormat != "text" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	if o.LogLevel == "" {
		return l, nil
	}
	level, err := logrus.ParseLevel(o.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level %q is not known: %w", o.LogLevel, err)
	}
	l.SetLevel(level)
	return l, nil
}

func (t *Telemetry) setupMetrics(o Options) {
	registry := prometheus.NewRegistry()
	t.registry, t.role = registry, o.Role
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		Tags:                   map[string]string{"role": o.Role},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	t.Metrics = scope
	t.MetricsHandler = reporter.HTTPHandler()
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

func (t *Telemetry) setupTraces(o Options) error {
	var out io.Writer
	switch o.TraceExporter {
	case "", "none":
		t.Tracer = noop.NewTracerProvider().Tracer("boragecrank")
		return nil
	case "stdout":
		out = os.Stdout
	case "file":
		f, err := os.OpenFile(o.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("trace file %q cannot be opened: %w", o.TraceFile, err)
		}
		out = f
		// Appended last, so that the file is closed after the provider has flushed its
		// spans.
		defer func() {
			t.closers = append(t.closers, func(context.Context) error { return f.Close() })
		}()
	default:
		return fmt.Errorf("trace exporter %q is not one of none, stdout, file", o.TraceExporter)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return fmt.Errorf("trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(time.Second)),
		// The first process of a request decides about sampling; later ones follow
		// the sampling flag in the trace context.
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.TraceSample))),
	)
	t.Tracer = provider.Tracer("boragecrank", trace.WithInstrumentationAttributes(
		attribute.String("process", o.Process),
		attribute.String("role", o.Role),
	))
	t.closers = append(t.closers, provider.Shutdown)
	return nil
}

// propagator carries the trace context in HTTP headers (W3C Trace Context).
var propagator = propagation.TraceContext{}

// Extract returns ctx with the trace context of the HTTP headers.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context of ctx to the HTTP headers.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}
