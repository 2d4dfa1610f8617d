package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/httpserve"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/worker"
)

const (
	// announceInterval is how often an upstream renews its announcement.
	announceInterval = time.Second
	// announceTimeout limits the request of one announcement.
	announceTimeout = 2 * time.Second
	// upstreamDrainTime is how long a stopping upstream, after it has withdrawn
	// its announcement, still accepts requests that were admitted before.
	upstreamDrainTime = 500 * time.Millisecond
)

// devCommand returns the command with stand-ins for development and tests.
func devCommand() *cli.Command {
	return &cli.Command{
		Name:     "dev",
		Category: "Development",
		Usage:    "stand-ins for the platform and an upstream; not for production",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "serve an in-memory table, object store and task runtimes",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port"},
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of injected faults"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					p := standin.New(standin.Options{FaultSeed: c.Uint64("seed")})
					return serveUntilDone(ctx, c.String("listen"), standin.NewHandler(p))
				},
			},
			{
				Name:  "upstream",
				Usage: "serve simulated bookings and announce the upstream to the worker on this VM",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Required: true, Usage: "IP address and port"},
					&cli.StringFlag{Name: "worker", Required: true, Usage: "address for announcements of the worker on this VM"},
					&cli.StringFlag{Name: "service", Required: true, Usage: "name of the service in the inventory"},
					&cli.IntFlag{Name: "slots", Value: 8, Usage: "requests at once"},
					&cli.IntFlag{Name: "connections", Value: 64, Usage: "open connections"},
					&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond, Usage: "time that a booking takes"},
				},
				Action: runUpstream,
			},
		},
	}
}

func serveUntilDone(ctx context.Context, address string, h http.Handler) error {
	server, err := httpserve.Listen(address, h, httpserve.DefaultLimits())
	if err != nil {
		return err
	}
	<-ctx.Done()
	// Requests in progress have 30 s to end.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	return server.Shutdown(ctx)
}

// runUpstream serves bookings and renews its announcement every second. When the
// context ends, it withdraws the announcement before it shuts the server down.
func runUpstream(ctx context.Context, c *cli.Command) error {
	up := standin.NewUpstream(standin.UpstreamOptions{ServiceTime: c.Duration("service-time")})
	server, err := httpserve.Listen(c.String("listen"), up, httpserve.DefaultLimits())
	if err != nil {
		return err
	}
	a := worker.Announcement{
		Service:     types.ServiceName(c.String("service")),
		Address:     server.Addr().String(),
		Slots:       c.Int("slots"),
		Connections: c.Int("connections"),
	}
	url := fmt.Sprintf("http://%s/v1/upstreams/%d-%d", c.String("worker"), os.Getpid(), time.Now().UnixNano())
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		// The worker may not be running yet; the next tick retries.
		_ = sendAnnouncement(ctx, http.MethodPut, url, a)
		select {
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	// The withdrawal and the requests in progress have 30 s to end.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 30*time.Second)
	defer cancel()
	if err := sendAnnouncement(ctx, http.MethodDelete, url, nil); err == nil {
		time.Sleep(upstreamDrainTime)
	}
	return server.Shutdown(ctx)
}

func sendAnnouncement(ctx context.Context, method, url string, body any) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return apperr.New(apperr.KindRefused, "worker at "+url, "refused the announcement with "+resp.Status, "read the worker's log")
	}
	return nil
}
