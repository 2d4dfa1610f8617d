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

// maxResponseBytes bounds a response of the platform.
const maxResponseBytes = 64 << 20

// maxErrorText bounds the text of an error response that is kept.
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

// read posts a call that changes nothing, so a lost answer is ErrUnavailable
// like every other failure to get one.
func (e endpoint) read(ctx context.Context, op string, in, out any) error {
	return e.call(ctx, op, in, out, ErrUnavailable)
}

// write posts a call that may change something. Its error is ErrUnavailable if
// the call surely had no effect, ErrNotFound, ErrUncertain if no answer came,
// or a plain error if the service rejected the call.
func (e endpoint) write(ctx context.Context, op string, in, out any) error {
	return e.call(ctx, op, in, out, ErrUncertain)
}

// call posts in and decodes the response into out. The error wraps ambiguousErr if
// the service may have received the request and sent no usable response.
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

// newRequest builds a POST that net/http cannot repeat: it has no GetBody, so a
// reused connection that turns out closed fails the call instead of sending
// the write a second time. The flag is set once a connection is in use.
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

// statusError classifies an answer other than 200. A status of 500 and above
// may come from a gateway that had passed the call on, except for 503.
func (e endpoint) statusError(op string, ambiguousErr error, status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))
	switch {
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("%s%s: %w: %s", e.base, op, ErrUnavailable, text)
	case status == http.StatusNotFound:
		return fmt.Errorf("%s%s: %w: %s", e.base, op, ErrNotFound, text)
	case status >= 400 && status < 500:
		return fmt.Errorf("%s%s: rejected with status %d: %s", e.base, op, status, text)
	default:
		return fmt.Errorf("%s%s: %w: status %d: %s", e.base, op, ambiguousErr, status, text)
	}
}
