// Package callauth authenticates HTTP calls between the system's processes
// with a shared key.
//
// Each call carries an HMAC-SHA256 over its method, path and body. That keeps
// out senders without the key and detects changed calls. It does not hide
// content, and a recorded call can be sent again: commands therefore carry an
// epoch and a validity of their own, and requests an ID that runs once.
package callauth

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// Header carries the authentication code as hexadecimal digits.
const Header = "Boragecrank-Auth"

// Transport signs outgoing calls.
type Transport struct {
	Key  []byte
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It reads the body into memory.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Header.Set(Header, sign(t.Key, r, body))
	signed.Body = newSingleUseBody(body)
	signed.ContentLength = int64(len(body))
	// Without GetBody the transport cannot send the call a second time on its own.
	signed.GetBody = nil
	return t.Base.RoundTrip(signed)
}

// Middleware rejects calls without a valid code. Bodies over maxBody bytes are
// rejected before they are read to the end.
func Middleware(key []byte, maxBody int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := readAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			apperr.WriteHTTP(w, apperr.Wrap(err, apperr.KindTooLarge, "call "+r.URL.Path,
				"body cannot be read within the limit", "send a smaller body"))
			return
		}
		got, err := hex.DecodeString(r.Header.Get(Header))
		if err != nil || !hmac.Equal(got, computeMAC(key, r, body)) {
			apperr.WriteHTTP(w, apperr.New(apperr.KindUnauthorized, "call "+r.URL.Path,
				"authentication code is missing or wrong", "set the same shared key on all processes"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func sign(key []byte, r *http.Request, body []byte) string {
	return hex.EncodeToString(computeMAC(key, r, body))
}

func computeMAC(key []byte, r *http.Request, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	// A zero byte separates the parts, so that they cannot be shifted.
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		mac.Write([]byte(part))
		mac.Write([]byte{0})
	}
	for _, name := range signedHeaders {
		mac.Write([]byte(r.Header.Get(name)))
		mac.Write([]byte{0})
	}
	mac.Write(body)
	return mac.Sum(nil)
}

// signedHeaders decide what a call does besides its path and body.
var signedHeaders = []string{"Boragecrank-Offer", "Boragecrank-Method", "Boragecrank-Path", "Idempotency-Key"}

func readAll(r io.ReadCloser) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	body, err := io.ReadAll(r)
	if closeErr := r.Close(); err == nil {
		err = closeErr
	}
	return body, err
}

// newSingleUseBody returns a body that net/http does not recognise as repeatable.
func newSingleUseBody(b []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}
