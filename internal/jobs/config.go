package jobs

import (
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Route maps callers' requests to a queue.
type Route struct {
	Queue string
	Host  string
	// Prefix is the path prefix of the route.
	Prefix string
	// Timeout bounds a request; 0 means that the queue sets none.
	Timeout time.Duration
}

// Limits bound callers' requests. A limit of 0 means the entry's default.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version types.Version
	Routes  []Route
	Queues  map[string]workflow.Queue
	Limits  Limits
}

// Route returns the route of the host with the longest prefix of the path, and
// false if there is none.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}
