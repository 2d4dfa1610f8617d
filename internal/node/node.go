// Package node implements the parts that every process of the system has: an
// identity, the configuration in effect, a datagram socket, and an HTTP server
// and client for authenticated calls between processes.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/confsync"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/traffic"
	"github.com/boragecrank/boragecrank/internal/udp"
	"github.com/boragecrank/boragecrank/internal/wire/callauth"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const (
	// MaxCallBody bounds the body of a call between processes in bytes: the
	// largest body of a caller's request or of an upstream's response, plus room
	// for JSON.
	MaxCallBody = 9 << 20
	// maxCallHeader bounds the header of a call in bytes: the largest header that
	// settings allow for callers (1 MB) and the system's own fields.
	maxCallHeader = 1<<20 + 64<<10
	// internalShare is the share of the process's connections for this listener. The
	// callers' listener may use all, up to its own setting.
	internalShare = 0.5
	// callHandleFactor covers the copy of a body that is decoded or sent on.
	callHandleFactor = 1
	// fetchTimeout bounds one fetch of the configuration from a peer.
	fetchTimeout = 3 * time.Second
	// ageNeverConfirmed is the age, in milliseconds, that a datagram carries for
	// a version that was never confirmed.
	ageNeverConfirmed = 1<<32 - 1
)

// Options describe a process.
type Options struct {
	// Name is the VM's name in a worker and the entry's name in an entry.
	Name          string
	Role          string
	Region        types.Region
	FailureDomain types.FailureDomain
	// Internal is the IP address and port for calls (TCP) and datagrams (UDP).
	Internal string
	// Key is the secret that all processes of the system share.
	Key []byte
	// Peers are internal addresses to fetch the configuration from at start.
	Peers     []string
	Telemetry *telemetry.Telemetry
	// Guard protects the process from untrusted clients; nil means none, for tests.
	Guard *httpserve.Guard
}

// Node is the part of a running process that is common to all roles.
type Node struct {
	Options
	Incarnation types.Incarnation
	Clock       clock.Func
	Config      *confsync.Syncer
	Socket      *udp.Socket
	Actors      *actors.System
	// Calls signs and sends calls to other processes.
	Calls *http.Client
	// Traffic counts the bytes of calls and of the platform's services.
	Traffic *Traffic
	// Mux serves authenticated calls; roles register their services before Serve.
	Mux    *http.ServeMux
	server *httpserve.Server
	state  func() *wirepb.StateResponse
	// domainsByHash maps the hashes of VM names to failure domains.
	domainsByHash   atomic.Pointer[map[uint64]types.FailureDomain]
	fetchInProgress atomic.Bool
}

// New binds the datagram socket and returns a node that has not started yet;
// Serve starts it.
func New(o Options) (*Node, error) {
	socket, err := udp.Listen(o.Internal, o.Key, o.Telemetry)
	if err != nil {
		return nil, err
	}
	n := &Node{
		Options:     o,
		Incarnation: NewIncarnation(),
		Clock:       clock.Now,
		Config:      confsync.New(o.Region, clock.Now, o.Telemetry.Log),
		Socket:      socket,
		Actors:      actors.NewSystem(),
		Mux:         http.NewServeMux(),
		Traffic:     &Traffic{},
	}
	n.Calls = newCallClient(o.Key, &n.Traffic.Calls)
	n.registerTrafficMetrics()
	n.Config.Watch(n.indexVMNames)
	service := wirepb.NewConfigServiceServer(configService{n})
	n.Mux.Handle(service.PathPrefix(), service)
	return n, nil
}

// newCallClient returns a client that keeps connections per peer. Its transport,
// callauth.Transport, never repeats a call.
func newCallClient(key []byte, bytes *traffic.Counter) *http.Client {
	base := &http.Transport{
		DialContext:         bytes.Dialer((&net.Dialer{Timeout: time.Second}).DialContext),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     60 * time.Second,
	}
	return &http.Client{Transport: &callauth.Transport{Key: key, Base: base}}
}

// Serve starts the server for calls and a goroutine that handles datagrams, and
// returns. Shutdown stops both.
func (n *Node) Serve(handle udp.Handler) error {
	limits := httpserve.DefaultLimits()
	limits.Wrap = n.Traffic.Calls.Conn
	// The read and write limits are long because some calls carry requests that
	// run long at an upstream.
	limits.Read, limits.Write = 2*time.Minute, 2*time.Minute
	limits.HeaderBytes = maxCallHeader
	limits.Guard, limits.Name, limits.Share = n.Guard, "internal", internalShare
	limits.BodyBytes, limits.HandleFactor, limits.Refuse = MaxCallBody, callHandleFactor, httpserve.RefuseCall
	server, err := httpserve.Listen(n.Internal, callauth.Middleware(n.Key, MaxCallBody, n.Mux), limits)
	if err != nil {
		return err
	}
	n.server = server
	go func() {
		// Receive returns when Shutdown closes the socket, so its error carries
		// no information.
		_ = n.Socket.Receive(handle)
	}()
	return nil
}

// SetState sets the function that returns the role-specific part of the
// process's state.
func (n *Node) SetState(f func() *wirepb.StateResponse) { n.state = f }

// Address returns the internal address as bound.
func (n *Node) Address() netip.AddrPort { return n.Socket.Addr() }

// Hash returns the hash of the node's name, which identifies it in datagrams.
func (n *Node) Hash() uint64 { return datagram.HashName(n.Name) }

// Header returns the header of an outgoing datagram.
func (n *Node) Header() datagram.Header {
	age := uint32(ageNeverConfirmed)
	if ms := n.Config.AgeMS(); ms >= 0 && ms < ageNeverConfirmed {
		age = uint32(ms)
	}
	return datagram.Header{
		Sender:        n.Hash(),
		Incarnation:   uint64(n.Incarnation),
		ConfigVersion: uint64(n.Config.Version()),
		ConfigAgeMS:   age,
	}
}

// ConfigPeer returns a client for the configuration service of a peer.
func (n *Node) ConfigPeer(address string) wirepb.ConfigService {
	return wirepb.NewConfigServiceProtobufClient("http://"+address, n.Calls)
}

// WorkerPeer returns a client for the worker at an address.
func (n *Node) WorkerPeer(address string) wirepb.WorkerService {
	return wirepb.NewWorkerServiceProtobufClient("http://"+address, n.Calls)
}

// OwnerPeer returns a client for the shard owner at an address.
func (n *Node) OwnerPeer(address string) wirepb.OwnerService {
	return wirepb.NewOwnerServiceProtobufClient("http://"+address, n.Calls)
}

// FetchFrom fetches the configuration from the peer at the address if the peer
// holds a newer one.
func (n *Node) FetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return n.Config.FetchChanges(ctx, n.ConfigPeer(address))
}

// RecordPeer records, from the header of a received datagram, the sender's
// configuration version and the age of its confirmation. If the version is newer
// than the current one, RecordPeer fetches the configuration from the sender in
// the background.
func (n *Node) RecordPeer(h *datagram.Header, from netip.AddrPort) {
	age := time.Duration(h.ConfigAgeMS) * time.Millisecond
	confirmed := h.ConfigAgeMS != ageNeverConfirmed
	newer := n.Config.RecordPeer(n.failureDomainOf(h.Sender), types.Version(h.ConfigVersion), age, confirmed)
	if newer {
		n.fetchAsync(from.String())
	}
}

// fetchAsync fetches the configuration from a peer in the background. It does
// nothing while another such fetch is in progress.
func (n *Node) fetchAsync(address string) {
	if !n.fetchInProgress.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetchInProgress.Store(false)
		// If the fetch fails, the next message with a newer version starts
		// another.
		_ = n.FetchFrom(context.Background(), address)
	}()
}

// failureDomainOf returns the failure domain of the VM whose name has the hash,
// or "" if no such VM is in the inventory.
func (n *Node) failureDomainOf(hash uint64) types.FailureDomain {
	domainsByHash := n.domainsByHash.Load()
	if domainsByHash == nil {
		return ""
	}
	return (*domainsByHash)[hash]
}

// indexVMNames indexes the failure domains of the VMs in the configuration by
// the hash of the VM name.
func (n *Node) indexVMNames(c *config.Config) {
	domainsByHash := make(map[uint64]types.FailureDomain)
	for _, d := range c.Content().Domains {
		for _, vm := range d.VMs {
			domainsByHash[datagram.HashName(string(vm.ID))] = vm.FailureDomain
		}
	}
	n.domainsByHash.Store(&domainsByHash)
}

// Shutdown stops the call server gracefully, then closes the socket, stops the
// actors and closes idle connections.
func (n *Node) Shutdown(ctx context.Context) error {
	var err error
	if n.server != nil {
		err = n.server.Shutdown(ctx)
	}
	if closeErr := n.Socket.Close(); err == nil {
		err = closeErr
	}
	n.Actors.Shutdown()
	n.Calls.CloseIdleConnections()
	return err
}

// NewIncarnation returns a random incarnation other than zero.
func NewIncarnation() types.Incarnation {
	var b [8]byte
	for {
		// crypto/rand.Read never returns an error; a failure ends the program.
		_, _ = rand.Read(b[:])
		if v := binary.BigEndian.Uint64(b[:]); v != 0 {
			return types.Incarnation(v)
		}
	}
}

// NewRequestID returns a random request ID.
func NewRequestID() types.RequestID {
	var id types.RequestID
	_, _ = rand.Read(id[:])
	return id
}

// configService serves ConfigService on behalf of a node.
type configService struct {
	n *Node
}

// Fetch implements wirepb.ConfigService.
func (c configService) Fetch(ctx context.Context, r *wirepb.FetchRequest) (*wirepb.FetchResponse, error) {
	return c.n.Config.Fetch(ctx, r)
}

// State implements wirepb.ConfigService.
func (c configService) State(context.Context, *wirepb.StateRequest) (*wirepb.StateResponse, error) {
	resp := &wirepb.StateResponse{}
	if c.n.state != nil {
		resp = c.n.state()
	}
	resp.Process = c.n.Name
	resp.Role = c.n.Role
	resp.Incarnation = uint64(c.n.Incarnation)
	resp.Version = uint64(c.n.Config.Version())
	resp.ConfirmedAgeMs = c.n.Config.AgeMS()
	return resp, nil
}
