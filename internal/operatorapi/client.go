// Package operatorapi is the client of the operators' API of the entries.
//
// A client has a list of entries. If an entry does not respond, a read is retried
// at the next one. A write is retried at the next entry only if no connection to
// the previous one was established, because a write that was sent may have taken
// effect.
//
// Errors wrap an *apperr.Error (see errors.As), except for errors from encoding a
// request. They are either errors that an entry returned, or of kind unreachable,
// timeout, uncertain (a write was sent but its response is missing), usage (wrong
// options, or the address does not serve the operators' API) or internal (the
// configuration in a response cannot be decoded).
package operatorapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

const (
	// connectTimeout limits the connection attempt to one entry, so that the next
	// one is tried soon.
	connectTimeout = 2 * time.Second
	// DefaultTimeout limits one call to one entry. It is longer than the entry's own
	// limit of 10 s (operatorTimeout in package entry), so that the entry's error
	// still arrives.
	DefaultTimeout = 15 * time.Second
	// maxResponseBytes is the maximum size of a response body. The status of 950 VMs
	// and 13,000 tasks is well below it.
	maxResponseBytes = 64 << 20
)

// Options configure a client.
type Options struct {
	// Entries are the base URLs of the operators' API, in order of preference.
	Entries []string
	// Token is the operators' token.
	Token string
	// Timeout limits one call to one entry; zero means DefaultTimeout.
	Timeout time.Duration
}

// Client calls the operators' API.
type Client struct {
	entries []*url.URL
	token   string
	timeout time.Duration
	http    *http.Client
}

// New returns a client. The error is of kind usage if there is no entry, a URL
// is malformed or the token is empty.
func New(o Options) (*Client, error) {
	c := &Client{token: o.Token, timeout: o.Timeout, http: newHTTPClient()}
	if c.timeout == 0 {
		c.timeout = DefaultTimeout
	}
	for _, text := range o.Entries {
		u, err := url.Parse(strings.TrimSuffix(strings.TrimSpace(text), "/"))
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			return nil, apperr.New(apperr.KindUsage, fmt.Sprintf("entry %q", text), "is not a URL",
				"write it as http://ADDRESS:PORT, with the address and port of listen.api of an entry")
		}
		c.entries = append(c.entries, u)
	}
	if len(c.entries) == 0 {
		return nil, apperr.New(apperr.KindUsage, "entry", "no entry is given",
			"give --entry http://ADDRESS:PORT or set BORAGECRANK_ENTRY")
	}
	if c.token == "" {
		return nil, apperr.New(apperr.KindUsage, "operators' token", "none is given",
			"give --token-file FILE or set BORAGECRANK_OPERATORS_TOKEN")
	}
	return c, nil
}

// newHTTPClient returns a client that sends each request at most once. It keeps
// no idle connections, because net/http retries a request that fails on one. It
// uses no proxy and follows no redirects.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives:   true,
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			TLSHandshakeTimeout: connectTimeout,
			TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS12},
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call describes one API call.
type call struct {
	method string
	path   string
	// ifMatch is the version for the header If-Match, or empty.
	ifMatch string
	body    []byte
	// object names the object in errors that the client itself creates.
	object string
	// retryAdvice is the remedy of the error for an uncertain write.
	retryAdvice string
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

// do sends the call to the entries in order until one returns a complete response,
// and decodes that into out. It stops if ctx ends or a write may have been sent.
func (c *Client) do(ctx context.Context, call call, out any) error {
	var lastErr error
	for _, entry := range c.entries {
		resp, err := c.doOnce(ctx, entry, call)
		if err == nil {
			return resp.decode(call, entry, out)
		}
		if ctx.Err() != nil || call.isWrite() && resp.sent {
			return transportError(call, entry, resp.sent, err)
		}
		lastErr = transportError(call, entry, resp.sent, err)
	}
	if len(c.entries) == 1 {
		return lastErr
	}
	// The kind and the remedy of the last attempt stand for all attempts.
	e := apperr.From(lastErr)
	return apperr.Wrap(e.Cause, e.Kind, call.object, fmt.Sprintf("none of %d entries responds", len(c.entries)), e.Remedy)
}

// response is the result of one attempt. The fields other than sent are valid only
// if the response was complete.
type response struct {
	// sent is set as soon as there is a connection over which the request may have
	// been sent.
	sent       bool
	status     int
	retryAfter string
	body       []byte
}

// doOnce sends the call to one entry and reads the complete response.
func (c *Client) doOnce(ctx context.Context, entry *url.URL, call call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.method, entry.String()+call.path, bytes.NewReader(call.body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if call.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if call.ifMatch != "" {
		req.Header.Set("If-Match", `"`+call.ifMatch+`"`)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{sent: sent.Load()}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = fmt.Errorf("the response has more than %d bytes", maxResponseBytes)
	}
	return response{sent: true, status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), body: body}, err
}

// transportError returns the error of a call without a complete response.
func transportError(call call, entry *url.URL, sent bool, cause error) error {
	var netErr net.Error
	timeout := errors.As(cause, &netErr) && netErr.Timeout()
	location := " at entry " + entry.String()
	switch {
	case call.isWrite() && sent:
		return &apperr.Error{Kind: apperr.KindUncertain, Object: call.object, Outcome: apperr.OutcomeUnknown, Cause: cause,
			Problem: "the call was sent but its response is missing" + location, Remedy: call.retryAdvice}
	case timeout && sent:
		return apperr.Wrap(cause, apperr.KindTimeout, call.object, "no response in time"+location,
			"try again, raise --timeout, or give another entry with --entry")
	default:
		return apperr.Wrap(cause, apperr.KindUnreachable, call.object, "cannot be reached"+location,
			"check the address and that the entry runs, or give another with --entry")
	}
}

// decode decodes a response into out, or returns the typed error that it holds.
func (r response) decode(call call, entry *url.URL, out any) error {
	if r.status >= 200 && r.status < 300 {
		err := json.Unmarshal(r.body, out)
		if err == nil {
			return nil
		}
		return unexpectedResponseError(call, entry, r.status, err)
	}
	var body apperr.Body
	if err := json.Unmarshal(r.body, &body); err != nil || body.Kind == "" || body.Message == "" {
		return unexpectedResponseError(call, entry, r.status, nil)
	}
	e := &apperr.Error{Kind: body.Kind, Object: body.Object, Problem: body.Message, Remedy: body.Remedy, Outcome: body.Outcome}
	if seconds, err := strconv.Atoi(r.retryAfter); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// unexpectedResponseError returns the error of a response that no entry sends. A
// write may have taken effect nevertheless, because an intermediary such as a
// load balancer may have forwarded it before it failed.
func unexpectedResponseError(call call, entry *url.URL, status int, cause error) error {
	problem := fmt.Sprintf("%s responded with status %d, but not as an operators' API does", entry, status)
	if call.isWrite() && (status < 300 || status >= 500) {
		return &apperr.Error{Kind: apperr.KindUncertain, Object: call.object, Problem: problem, Remedy: call.retryAdvice,
			Outcome: apperr.OutcomeUnknown, Cause: cause}
	}
	return apperr.Wrap(cause, apperr.KindUsage, call.object, problem, "give the address of listen.api of an entry with --entry")
}
