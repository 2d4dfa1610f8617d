package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 64 << 20

// maxErrorText is the maximum number of bytes of an error response that are
// copied into the error.
const maxErrorText = 512

// endpoint posts JSON to one service of the platform.
type endpoint struct {
	base   string
	client *http.Client
}

func newEndpoint(baseURL, path string, client *http.Client) endpoint {
	if client == nil {
		client = http.DefaultClient
	}
	return endpoint{base: strings.TrimRight(baseURL, "/") + path, client: client}
}

// read posts a call that changes nothing. A missing response is therefore
// ErrUnavailable, whether or not the service received the call.
func (e endpoint) read(ctx context.Context, op string, in, out any) error {
	return e.call(ctx, op, in, out, ErrUnavailable)
}

// write posts a call that may change something. The error is ErrUnavailable if
// the call certainly had no effect, ErrUncertain if no usable response came,
// ErrNotFound, or an unclassified error if the service refused the call.
func (e endpoint) write(ctx context.Context, op string, in, out any) error {
	return e.call(ctx, op, in, out, ErrUncertain)
}

// call posts in and decodes the response into out, unless out is nil. The error
// wraps ambiguousErr if the service may have received the request but sent no
// usable response.
func (e endpoint) call(ctx context.Context, op string, in, out any, ambiguousErr error) error {
	req, sent, err := e.newRequest(ctx, op, in)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		if !sent.Load() {
			ambiguousErr = ErrUnavailable
		}
		return e.wrapError(op, ambiguousErr, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return e.wrapError(op, ambiguousErr, err)
	}
	if len(body) > maxResponseBytes {
		return e.wrapError(op, ambiguousErr, fmt.Errorf("response exceeds %d bytes", maxResponseBytes))
	}
	if resp.StatusCode != http.StatusOK {
		return e.statusError(op, ambiguousErr, resp.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return e.wrapError(op, ambiguousErr, err)
	}
	return nil
}

// newRequest builds a POST that net/http cannot retry: without GetBody, a reused
// connection that turns out to be closed fails the call, and the write is not
// sent a second time. The returned flag is set once the request has a connection.
func (e endpoint) newRequest(ctx context.Context, op string, in any) (*http.Request, *atomic.Bool, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, nil, fmt.Errorf("%s%s: %w", e.base, op, err)
	}
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, e.base+op, bytes.NewReader(data))
	if err != nil {
		return nil, nil, fmt.Errorf("%s%s: %w", e.base, op, err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, sent, nil
}

func (e endpoint) wrapError(op string, kind, cause error) error {
	return fmt.Errorf("%s%s: %w: %w", e.base, op, kind, cause)
}

// statusError classifies a response with a status other than 200. A status of
// 500 or above, except 503, may come from a gateway that had already forwarded
// the call, so the error then wraps ambiguousErr.
func (e endpoint) statusError(op string, ambiguousErr error, status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))
	switch {
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("%s%s: %w: %s", e.base, op, ErrUnavailable, text)
	case status == http.StatusNotFound:
		return fmt.Errorf("%s%s: %w: %s", e.base, op, ErrNotFound, text)
	case status >= 400 && status < 500:
		return fmt.Errorf("%s%s: refused with status %d: %s", e.base, op, status, text)
	default:
		return fmt.Errorf("%s%s: %w: status %d: %s", e.base, op, ambiguousErr, status, text)
	}
}
