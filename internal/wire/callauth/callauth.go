// Package callauth authenticates HTTP calls between the system's processes
// with a shared key.
//
// Each call carries an HMAC-SHA256 over its method, request URI, signed headers
// and body. The receiver rejects calls that were modified or whose sender lacks the
// key. The package neither encrypts the content nor prevents replay of a recorded
// call. Commands therefore carry an epoch and their own period of validity, and
// requests carry an ID that is executed only once.
package callauth

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/httpserve"
)

// Header is the HTTP header that carries the authentication code in hexadecimal.
const Header = "Boragecrank-Auth"

// Transport signs outgoing calls with Key and sends them through Base.
type Transport struct {
	Key  []byte
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It reads the whole body into memory.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := readAll(r.Body)
	if err != nil {
		return nil, err
	}
	signed := r.Clone(r.Context())
	signed.Header.Set(Header, sign(t.Key, r, body))
	signed.Body = newSingleUseBody(body)
	signed.ContentLength = int64(len(body))
	// Without GetBody, the base transport cannot retry the call.
	signed.GetBody = nil
	return t.Base.RoundTrip(signed)
}

// Middleware rejects calls without a valid authentication code with the error kind
// unauthorized. Calls whose body exceeds maxBody bytes, or cannot be read, are rejected
// with the kind too large, without reading the body to its end. The handler next
// receives the whole body from memory.
func Middleware(key []byte, maxBody int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := httpserve.ReadBody(w, r, maxBody)
		if err != nil {
			apperr.WriteHTTP(w, apperr.Wrap(err, apperr.KindTooLarge, "call "+r.URL.Path,
				"body cannot be read, or exceeds the size limit", "send a smaller body"))
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
	// A zero byte ends each part, so that moving bytes from one part to the next
	// changes the code.
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

// signedHeaders are the headers that, besides the path and body, determine the
// effect of a call.
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

// newSingleUseBody returns a body of a type that net/http does not recognise, so that
// net/http cannot rewind it for a retry.
func newSingleUseBody(b []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(b)})
}
