package worker

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// maxUpstreamsPerVM is the number of upstreams that one heartbeat can carry.
	maxUpstreamsPerVM = 16
	// expiryInterval is how often announcements are checked for expiry.
	expiryInterval = 250 * time.Millisecond
)

// Announcement is the body of PUT /v1/upstreams/{id}, which an upstream sends
// every second to the worker on its VM.
type Announcement struct {
	// Service is the name of a service in the inventory.
	Service types.ServiceName `json:"service"`
	// Address is the IP address and port where the upstream serves HTTP.
	Address string `json:"address"`
	// Slots is the maximum number of concurrent requests, Connections that of
	// open connections.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
}

// localHandler serves requests from other processes on this VM.
func (w *Worker) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/upstreams/{id}", w.serveAnnounce)
	mux.HandleFunc("DELETE /v1/upstreams/{id}", w.serveLeave)
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", w.serveReady)
	mux.Handle("GET /metrics", w.tel.MetricsHandler)
	return mux
}

func (w *Worker) serveReady(rw http.ResponseWriter, _ *http.Request) {
	if w.draining.Load() || !w.node.Config.MayTakeNew() {
		apperr.WriteHTTP(rw, apperr.New(apperr.KindUnavailable, "worker "+w.node.Name,
			"takes no new work", "wait until it is ready, or use another worker"))
		return
	}
	rw.WriteHeader(http.StatusOK)
}

func (w *Worker) serveAnnounce(rw http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		apperr.WriteHTTP(rw, apperr.Wrap(err, apperr.KindInvalid, "announcement", "is not valid JSON",
			`send {"service","address","slots","connections"}`))
		return
	}
	if err := w.checkAnnouncement(a); err != nil {
		apperr.WriteHTTP(rw, err)
		return
	}
	if err := w.announce(admission.UpstreamID(r.PathValue("id")), a); err != nil {
		apperr.WriteHTTP(rw, err)
		return
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Worker) checkAnnouncement(a Announcement) error {
	object := "announcement of service " + string(a.Service)
	if _, ok := w.node.Config.Current().Service(a.Service); !ok {
		return apperr.New(apperr.KindNotFound, object, "the service is not in the inventory",
			"add the service to the inventory and apply it")
	}
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil || addr.Port() == 0 {
		return apperr.New(apperr.KindInvalid, object, "address is not an IP address with port", "write it as 127.0.0.1:8080")
	}
	if a.Slots < 1 || a.Connections < 1 {
		return apperr.New(apperr.KindInvalid, object, "slots and connections must be at least 1", "announce what the upstream can serve")
	}
	return nil
}

func (w *Worker) announce(id admission.UpstreamID, a Announcement) error {
	var isNew, full bool
	err := w.state.Do(func(s *state) {
		if _, known := s.upstreams[id]; !known && len(s.upstreams) >= maxUpstreamsPerVM {
			full = true
			return
		}
		s.upstreams[id] = upstreamInfo{url: "http://" + a.Address, service: a.Service}
		isNew = s.requests.Announce(w.node.Clock(), admission.Announcement{
			Upstream:    id,
			Service:     a.Service,
			Slots:       a.Slots,
			Connections: a.Connections,
		})
	})
	if err != nil {
		return apperr.Wrap(err, apperr.KindUnavailable, "worker "+w.node.Name, "is stopping", "announce the upstream to the next worker process on this VM")
	}
	if full {
		return apperr.New(apperr.KindLimited, "worker "+w.node.Name, "already has as many upstreams as one heartbeat can carry",
			"run at most 16 upstreams on a VM")
	}
	if isNew {
		w.tel.Log.Log(eventUpstreamJoined, nil, telemetry.Fields{"upstream": string(id), "service": string(a.Service)})
		w.triggerHeartbeat()
	}
	return nil
}

func (w *Worker) serveLeave(rw http.ResponseWriter, r *http.Request) {
	id := admission.UpstreamID(r.PathValue("id"))
	if err := w.state.Do(func(s *state) { s.requests.Leave(id) }); err != nil {
		apperr.WriteHTTP(rw, apperr.Wrap(err, apperr.KindUnavailable, "worker "+w.node.Name, "is stopping", "stop the upstream; no further call is needed"))
		return
	}
	w.gone(id)
	rw.WriteHeader(http.StatusNoContent)
}

// gone removes an upstream that takes no new requests and triggers a heartbeat.
func (w *Worker) gone(id admission.UpstreamID) {
	w.state.Enqueue(func(s *state) { delete(s.upstreams, id) })
	w.tel.Log.Log(eventUpstreamGone, nil, telemetry.Fields{"upstream": string(id)})
	w.triggerHeartbeat()
}

// sortUpstreams sorts the upstreams, so that heartbeats with the same content
// have the same encoding.
func sortUpstreams(ups []datagram.Upstream) {
	slices.SortFunc(ups, func(a, b datagram.Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Connections, b.Connections))
	})
}

// expireUpstreams periodically removes upstreams that no longer renew their
// announcements, and old request IDs and tasks from the admission state.
func (w *Worker) expireUpstreams(ctx context.Context) {
	for wait(ctx, expiryInterval) == nil {
		var gone []admission.UpstreamID
		err := w.state.Do(func(s *state) {
			now := w.node.Clock()
			gone = s.requests.Expire(now, nil)
			s.requests.Forget(now)
			s.tasks.Forget(now)
		})
		if err != nil {
			return
		}
		for _, id := range gone {
			w.gone(id)
		}
	}
}
