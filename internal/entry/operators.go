package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/confsync"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const (
	// maxOperatorBodyBytes bounds the body of any operator's call. The largest
	// body is an applied configuration; one of 950 VMs takes about 300 KB.
	maxOperatorBodyBytes = 8 << 20
	// operatorTimeout bounds one call of an operator.
	operatorTimeout = 10 * time.Second
)

// operatorsHandler serves the operators' API. Every call under /v1/ requires the
// token.
func (e *Entry) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.tel.MetricsHandler)
	mux.HandleFunc("GET /v1/config", e.authorized(e.getConfig))
	mux.HandleFunc("PUT /v1/config", e.authorized(e.putConfig))
	mux.HandleFunc("GET /v1/processes", e.authorized(e.getProcesses))
	mux.HandleFunc("GET /v1/status", e.authorized(e.getStatus))
	mux.HandleFunc("POST /v1/jobs", e.authorized(e.postJob))
	mux.HandleFunc("GET /v1/jobs", e.authorized(e.getJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", e.authorized(e.getJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.authorized(e.deleteJob))
	mux.HandleFunc("POST /v1/vms/{vm}/drain", e.authorized(e.drainVM))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		apperr.WriteHTTP(w, apperr.New(apperr.KindNotFound, "path "+r.URL.Path, "is not part of the operators' API with method "+r.Method,
			"use the boragecrank command of the same release"))
	})
	return mux
}

// handler serves one call and returns the value to send as JSON.
type handler func(r *http.Request) (status int, body any, err error)

// authorized returns an HTTP handler that checks the token in constant time
// before it calls h.
func (e *Entry) authorized(h handler) http.HandlerFunc {
	want := sha256.Sum256(e.opts.Token)
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// Hashes have a fixed length, so that the time of the comparison does not
		// reveal the length of the token.
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			apperr.WriteHTTP(w, apperr.New(apperr.KindUnauthorized, "operator's call", "the token is missing or wrong",
				"send the token of the settings as `Authorization: Bearer TOKEN`, or give it to a command with --token-file"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxOperatorBodyBytes)
		status, body, err := h(r.WithContext(ctx))
		if err != nil {
			apperr.WriteHTTP(w, err)
			return
		}
		writeJSON(w, status, body)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		apperr.WriteHTTP(w, err)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// If this fails, the client has disconnected.
	_, _ = w.Write(b)
}

// readJSON decodes a body and rejects unknown fields.
func readJSON(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return apperr.Wrap(err, apperr.KindInvalid, "request body", "is not the expected JSON", "see docs/OPERATIONS.md for the form")
	}
	return nil
}

// getConfig returns the configuration in effect in the form of config.Encode.
func (e *Entry) getConfig(*http.Request) (int, any, error) {
	c := e.node.Config.Current()
	if c == nil {
		return 0, nil, apperr.New(apperr.KindNotFound, "configuration", "none has been accepted yet", "apply one with `boragecrank apply`")
	}
	b, err := c.Encode()
	return http.StatusOK, json.RawMessage(b), err
}

// ApplyResult is the answer to an applied configuration.
type ApplyResult struct {
	Version types.Version `json:"version"`
	// Changed is always true: the command does not send a configuration with
	// the same content as the accepted one.
	Changed bool `json:"changed"`
}

// putConfig accepts a new configuration. The If-Match header carries the version
// that the configuration was edited from.
func (e *Entry) putConfig(r *http.Request) (int, any, error) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return 0, nil, apperr.New(apperr.KindInvalid, "header If-Match", "is not the version that was edited", "use `boragecrank apply`, which sets it")
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil, apperr.Wrap(err, apperr.KindTooLarge, "configuration", "cannot be read within the limit", "send at most 8 MB")
	}
	next, err := config.Decode(data)
	if err != nil {
		return 0, nil, apperr.Wrap(err, apperr.KindInvalid, "configuration", "is not valid", "use `boragecrank apply`, which compiles it from the inventory")
	}
	if err := next.CheckEvacuation(); err != nil {
		return 0, nil, apperr.Wrap(err, apperr.KindInvalid, "configuration", "evacuates an unknown failure domain",
			"use the name of a declared failure domain; `boragecrank evacuate` and `boragecrank apply` list them")
	}
	if next.Version() != types.Version(base)+1 {
		return 0, nil, apperr.New(apperr.KindInvalid, "configuration", "its version does not follow the version that was edited", "use `boragecrank apply`")
	}
	ctx := r.Context()
	if err := confsync.Accept(ctx, e.opts.Table, types.Version(base), next); err != nil {
		return 0, nil, err
	}
	if err := e.node.Config.Load(ctx, e.opts.Config); err == nil {
		e.announceVersion()
	}
	return http.StatusOK, ApplyResult{Version: next.Version(), Changed: true}, nil
}

// announceVersion immediately sends the version in effect to the owners and
// relays of all shards, which forward it to their workers. Relays forward it
// because a dead owner is replaced only after more than 6 s. A process that
// misses the notice learns the version from the next message.
func (e *Entry) announceVersion() {
	m := &datagram.VersionNotice{Header: e.node.Header()}
	for _, address := range e.directory.ownersAndRelays() {
		e.node.Socket.Send(m, address)
	}
}

// Process is the state of one process, with the configuration version in effect
// there.
type Process struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"`
	Address string        `json:"address"`
	Version types.Version `json:"version"`
	// Behind is set if the version is lower than the one in effect at this entry.
	Behind bool `json:"behind"`
	// ConfirmedMS is the age of the last confirmation in milliseconds, or -1 if
	// there is none.
	ConfirmedMS int64  `json:"confirmed_ms_ago"`
	Draining    bool   `json:"draining"`
	Error       string `json:"error,omitempty"`
}

// getProcesses returns the state of all known processes, which it queries in
// parallel.
func (e *Entry) getProcesses(r *http.Request) (int, any, error) {
	addresses := e.processAddresses(r.Context())
	current := e.node.Config.Version()
	results := make(chan Process)
	for name, address := range addresses {
		go func() { results <- e.readProcessState(r.Context(), name, address) }()
	}
	list := make([]Process, 0, len(addresses))
	for range addresses {
		p := <-results
		p.Behind = p.Version < current
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return http.StatusOK, list, nil
}

func (e *Entry) readProcessState(ctx context.Context, name, address string) Process {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	p := Process{Name: name, Address: address}
	s, err := e.node.ConfigPeer(address).State(ctx, &wirepb.StateRequest{})
	if err != nil {
		p.Error = "the process does not answer"
		return p
	}
	p.Role, p.Version = s.GetRole(), types.Version(s.GetVersion())
	p.ConfirmedMS, p.Draining = s.GetConfirmedAgeMs(), s.GetDraining()
	return p
}

// processAddresses returns the call addresses of all workers that shard owners
// list, and of all entries.
func (e *Entry) processAddresses(ctx context.Context) map[string]string {
	out := make(map[string]string)
	for _, s := range e.shardStatuses(ctx) {
		for _, m := range s.GetMembers() {
			if m.GetAddress() != "" {
				out[m.GetVm()] = m.GetAddress()
			}
		}
	}
	rows, err := e.entryRows(ctx)
	if err != nil {
		// Without the table, the list contains no other entry.
		out[e.node.Name] = e.node.Address().String()
		return out
	}
	for _, row := range rows {
		out[row.Name] = row.Address
	}
	return out
}

// shardStatuses returns the state of all shards whose owner answers, in the order
// of their IDs.
func (e *Entry) shardStatuses(ctx context.Context) []*wirepb.ShardStatusResponse {
	ownerAddresses := e.directory.ownerAddresses()
	results := make(chan *wirepb.ShardStatusResponse)
	for id, address := range ownerAddresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			resp, err := e.node.OwnerPeer(address.String()).ShardStatus(ctx, &wirepb.ShardStatusRequest{Shard: string(id)})
			if err != nil {
				resp = nil
			}
			results <- resp
		}()
	}
	var list []*wirepb.ShardStatusResponse
	for range ownerAddresses {
		if resp := <-results; resp != nil {
			list = append(list, resp)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].GetShard() < list[j].GetShard() })
	return list
}

// Status is the state of all shards as one entry sees them.
type Status struct {
	Entry   string                        `json:"entry"`
	Version types.Version                 `json:"version"`
	Shards  []*wirepb.ShardStatusResponse `json:"shards"`
}

// DrainResult is the answer to a drain call.
type DrainResult struct {
	VM                 types.VMID `json:"vm"`
	Draining           bool       `json:"draining"`
	RequestsInProgress int32      `json:"requests_in_progress"`
}

// getStatus returns the state of all shards, with their members and tasks.
func (e *Entry) getStatus(r *http.Request) (int, any, error) {
	return http.StatusOK, Status{
		Entry:   e.node.Name,
		Version: e.node.Config.Version(),
		Shards:  e.shardStatuses(r.Context()),
	}, nil
}

// drainVM makes the worker of a VM refuse new work.
func (e *Entry) drainVM(r *http.Request) (int, any, error) {
	vm := types.VMID(r.PathValue("vm"))
	cfg := e.node.Config.Current()
	if cfg == nil {
		return 0, nil, apperr.New(apperr.KindUnavailable, "entry "+e.node.Name, "has no configuration yet", "try again")
	}
	if _, ok := cfg.VM(vm); !ok {
		return 0, nil, apperr.New(apperr.KindNotFound, "VM "+string(vm), "is not in the inventory", "use the name of a VM in the inventory")
	}
	address := e.router.address(vm)
	if address == "" {
		return 0, nil, apperr.New(apperr.KindUnreachable, "VM "+string(vm), "its worker is unknown to this entry", "check that it runs; it gets no work while it is unknown")
	}
	state, err := e.node.ConfigPeer(address).State(r.Context(), &wirepb.StateRequest{})
	if err != nil {
		return 0, nil, apperr.Wrap(err, apperr.KindUnreachable, "VM "+string(vm), "its worker does not answer", "check that it runs; a dead worker gets no work")
	}
	resp, err := e.node.WorkerPeer(address).Drain(r.Context(), &wirepb.DrainRequest{Draining: true, Incarnation: state.GetIncarnation()})
	if err != nil {
		return 0, nil, apperr.Wrap(err, apperr.KindUnreachable, "VM "+string(vm), "its worker does not answer", "try again")
	}
	return http.StatusOK, DrainResult{VM: vm, Draining: true, RequestsInProgress: resp.GetRequestsInProgress()}, nil
}
