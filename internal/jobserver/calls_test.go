package jobserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/boragecrank/boragecrank/platform/standin"
)

func (d *deployment) call(entry int, method, path string, body any) (int, string) {
	d.t.Helper()
	code, text, _ := d.callWithHeader(entry, method, path, body)
	return code, text
}

// callWithHeader returns the header of the response too.
func (d *deployment) callWithHeader(entry int, method, path string, body any) (int, string, http.Header) {
	d.t.Helper()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			d.t.Fatal(err)
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+d.entries[entry]+path, reader)
	if err != nil {
		d.t.Fatal(err)
	}
	req.Host = "jobs.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}

// accept submits a job until the entry accepts it, or cancels one, as callers do: they
// repeat a request after 503, and under the same ID after 504. While the machine is busy
// an entry may get no answer from the store in time, and refuses. A refusal with 503 must
// name a time for the retry and be true: the job is not stored.
func (d *deployment) accept(entry int, method, id string, body any) {
	d.t.Helper()
	uncertain := false
	d.await(method+" of job "+id+" to be accepted", func() bool {
		code, text, header := d.callWithHeader(entry, method, "/q/"+id, body)
		switch code {
		case http.StatusOK:
			return true
		case http.StatusServiceUnavailable:
			stored := slices.ContainsFunc(d.store.Rows("job"), func(r standin.Row) bool { return r.Key == id })
			if header.Get("Retry-After") == "" || method == http.MethodPost && stored && !uncertain {
				d.t.Fatalf("%s of job %s: 503 with Retry-After %q, job stored: %t", method, id, header.Get("Retry-After"), stored)
			}
		case http.StatusGatewayTimeout:
			uncertain = true
		default:
			d.t.Fatalf("%s of job %s: %d %s", method, id, code, text)
		}
		return false
	})
}
