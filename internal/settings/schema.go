package settings

import "github.com/boragecrank/boragecrank/internal/tomlcheck"

// Tables of a settings file.
const (
	tableRoot        = ""
	tableListen      = "listen"
	tablePlatform    = "platform"
	tableCredentials = "credentials"
	tableLimits      = "limits"
	tableDrain       = "drain"
	tableLog         = "log"
	tableTrace       = "trace"
	tableMetrics     = "metrics"
)

// Schema lists the tables and keys of settings files.
var Schema = tomlcheck.Schema{
	{
		Name: tableRoot,
		Doc:  "Identity of the process. These keys come before the first table.",
		Fields: []tomlcheck.Field{
			{Key: "role", Type: tomlcheck.Choice, Required: true, Choices: []string{string(RoleEntry), string(RoleWorker)}, Doc: "Role of the process."},
			{Key: "id", Type: tomlcheck.Name, Required: true, Doc: "Name of the VM. For a worker the name in the inventory; a replacement VM takes the name of the VM that it replaces."},
			{Key: "region", Type: tomlcheck.Name, Required: true, Doc: "Region of the VM."},
			{Key: "failure_domain", Type: tomlcheck.Name, Required: true, Doc: "Failure domain of the VM."},
			{Key: "peers", Type: tomlcheck.Addresses, Doc: "Internal addresses of processes to fetch the configuration from when the table service is unavailable. Include some in other failure domains."},
		},
	},
	{
		Name: tableListen,
		Doc:  "Addresses to listen on. `internal` and `datagrams` are also sent to other processes, so they must hold the VM's own address.",
		Fields: []tomlcheck.Field{
			{Key: "callers", Type: tomlcheck.Address, Doc: "TCP, callers' HTTP. Role entry only, required there."},
			{Key: "api", Type: tomlcheck.Address, Doc: "TCP, operators' API. Role entry only, required there."},
			{Key: "announcements", Type: tomlcheck.Address, Doc: "TCP, announcements of the upstreams on the VM. Role worker only, required there."},
			{Key: "internal", Type: tomlcheck.Address, Required: true, Doc: "TCP, requests and commands of other processes."},
			{Key: "datagrams", Type: tomlcheck.Address, Required: true, Doc: "UDP, heartbeats and digests."},
		},
	},
	{
		Name: tablePlatform,
		Doc:  "Addresses of the platform's services.",
		Fields: []tomlcheck.Field{
			{Key: "table", Type: tomlcheck.URL, Required: true, Doc: "Table service."},
			{Key: "objects", Type: tomlcheck.URL, Required: true, Doc: "Object store."},
			{Key: "runtime", Type: tomlcheck.URL, Doc: "Task runtime of the VM. Role worker only, required there."},
		},
	},
	{
		Name: tableCredentials,
		Doc:  "Sources of the credentials. The settings file itself never holds one. For each credential give the file or the environment variable, not both. White space around a credential is trimmed.",
		Fields: []tomlcheck.Field{
			{Key: "operators_token_file", Type: tomlcheck.String, Doc: "File with the token that operators present, 16 characters or more. Role entry only."},
			{Key: "operators_token_env", Type: tomlcheck.String, Doc: "Environment variable with that token. Role entry only."},
			{Key: "shared_key_file", Type: tomlcheck.String, Doc: "File with the key shared by all processes, 32 characters or more."},
			{Key: "shared_key_env", Type: tomlcheck.String, Doc: "Environment variable with that key."},
		},
	},
	{
		Name: tableLimits,
		Doc:  "Limits on what one process accepts.",
		Fields: []tomlcheck.Field{
			{Key: "body", Type: tomlcheck.Size, Default: "1MB", Min: "1KB", Max: "8MB", Doc: "Body of one request. Each hop holds it as a whole."},
			{Key: "response", Type: tomlcheck.Size, Default: "4MB", Min: "1KB", Max: "8MB", Doc: "Body of one response. Each hop holds the whole response before it sends the first byte."},
			{Key: "header", Type: tomlcheck.Size, Default: "32KB", Min: "1KB", Max: "1MB", Doc: "Header of one request."},
			{Key: "connections", Type: tomlcheck.Int, Default: "1024", Min: "1", Max: "100000", Doc: "Open connections of callers, and no more than `memory` allows (1302 with the default)."},
			{Key: "queue", Type: tomlcheck.Int, Default: "512", Min: "1", Max: "100000", Doc: "Requests that wait for a worker or a slot."},
			{Key: "memory", Type: tomlcheck.Size, Default: "256MB", Min: "256MB", Max: "64TB", Doc: "Memory of the process. Untrusted clients may take 5/16 of it: 1/8 for connections, 1/16 each for headers, for bodies being received and for requests being handled."},
		},
	},
	{
		Name: tableDrain,
		Doc:  "Times of a graceful shutdown.",
		Fields: []tomlcheck.Field{
			{Key: "delay", Type: tomlcheck.Duration, Default: "5s", Min: "0s", Max: "10m", Doc: "Time between failing the readiness check and refusing new connections; must be longer than the load balancer needs to detect the failed readiness check."},
			{Key: "timeout", Type: tomlcheck.Duration, Default: "30s", Min: "1s", Max: "1h", Doc: "Maximum time to wait for requests in progress. At least the longest deadline of a service."},
		},
	},
	{
		Name: tableLog,
		Doc:  "Log lines, on standard error.",
		Fields: []tomlcheck.Field{
			{Key: "level", Type: tomlcheck.Choice, Default: "info", Choices: []string{"debug", "info", "warning", "error"}, Doc: "Minimum level of the lines that are written."},
			{Key: "format", Type: tomlcheck.Choice, Default: "text", Choices: []string{"text", "json"}, Doc: "Format of the lines."},
		},
	},
	{
		Name: tableTrace,
		Doc:  "Spans of requests.",
		Fields: []tomlcheck.Field{
			{Key: "exporter", Type: tomlcheck.Choice, Default: "none", Choices: []string{"none", "stdout", "file"}, Doc: "Destination of the spans."},
			{Key: "path", Type: tomlcheck.String, Doc: "File that spans are appended to, for exporter `file`."},
			{Key: "sample", Type: tomlcheck.Number, Default: "0.01", Min: "0", Max: "1", Doc: "Share of requests that are traced."},
		},
	},
	{
		Name: tableMetrics,
		Doc:  "Counters and histograms.",
		Fields: []tomlcheck.Field{
			{Key: "listen", Type: tomlcheck.Address, Doc: "TCP, serves the metrics. Without it none are served."},
			{Key: "interval", Type: tomlcheck.Duration, Default: "10s", Min: "1s", Max: "10m", Doc: "Time between two collections."},
		},
	},
}
