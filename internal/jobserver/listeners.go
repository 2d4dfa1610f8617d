package jobserver

import (
	"github.com/boragecrank/boragecrank/internal/entryapi"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/platform"
)

// Shares of the connections of a process by listener. Those of one role, with
// MetricsShare, add up to 1 at most. On the smallest VMs in use (152 MB, 810
// connections) each listener takes the 64 connections of one client.
const (
	callerShare       = 0.625
	readyShare        = 0.125
	entryCallShare    = 0.125
	announcementShare = 0.25
	internalShare     = 0.5
	metricsShare      = 0.125
)

const (
	// jobHandleFactor covers the decoding of a job: 64 steps, and dependencies of 8
	// bytes for each 2 bytes of the body, whose list doubles while it grows.
	jobHandleFactor = 8
	// forwardFactor covers the encoded job and the request of a forwarded submission.
	forwardFactor = 2
	// announcementHandleFactor and callHandleFactor cover the decoded message and
	// its conversion.
	announcementHandleFactor = 4
	callHandleFactor         = 3
	// maxCallBytes is the maximum size of a call from the owner to an agent: 4,000
	// starts with the largest payload. An agent with less memory takes less.
	maxCallBytes = 16 << 20
	// probeBodyBytes is the maximum size of a body that is not used.
	probeBodyBytes = 4 << 10
	// metricsRequestBytes covers the collection and compression of the metrics.
	metricsRequestBytes = 1 << 20
)

func (o Options) listenerLimits(name string, share float64) httpserve.Limits {
	l := httpserve.DefaultLimits()
	l.Guard, l.Name, l.Share = o.Guard, name, share
	l.BodyBytes = probeBodyBytes
	return l
}

// MetricsLimits returns the limits of the listener for metrics of a process with this
// guard.
func MetricsLimits(g *httpserve.Guard) httpserve.Limits {
	l := Options{Guard: g}.listenerLimits("metrics", metricsShare)
	l.RequestBytes = metricsRequestBytes
	return l
}

func (e *entry) callerLimits() httpserve.Limits {
	l := e.listenerLimits("callers", callerShare)
	l.BodyBytes, l.HandleFactor = platform.DefaultBodyBytes, jobHandleFactor
	l.Operator, l.Refuse = e.operatorLimits, platform.RefuseRequest
	if e.PassSubmissions {
		l.HandleFactor += forwardFactor
	}
	return l
}

func (e *entry) readyLimits() httpserve.Limits {
	l := e.listenerLimits("ready", readyShare)
	l.Operator = func() httpserve.OperatorLimits {
		o := e.operatorLimits()
		o.BodyBytes = 0
		return o
	}
	return l
}

func (e *entry) operatorLimits() httpserve.OperatorLimits {
	if o := e.limits.Load(); o != nil {
		return *o
	}
	return httpserve.OperatorLimits{}
}

// entryCallLimits returns the limits of the listener for calls of other entries.
func (e *entry) entryCallLimits() httpserve.Limits {
	l := entryapi.ServerLimits()
	l.Guard, l.Name, l.Share, l.BodyBytes, l.HandleFactor = e.Guard, "internal", entryCallShare, probeBodyBytes, callHandleFactor
	if e.PassSubmissions {
		// The other entry's caller has sent the body to it, and may send many: they count
		// here as they do there.
		l.BodyBytes, l.HandleFactor = entryapi.MaxRequestBytes(), jobHandleFactor
	}
	return l
}

func (o Options) announcementLimits() httpserve.Limits {
	l := o.listenerLimits("announcements", announcementShare)
	l.BodyBytes, l.HandleFactor = platform.MaxAnnouncementBytes, announcementHandleFactor
	return l
}

func (o Options) callLimits() httpserve.Limits {
	l := o.listenerLimits("internal", internalShare)
	l.BodyBytes, l.HandleFactor = maxCallBytes, callHandleFactor
	return l
}
