package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against an accepted configuration that evacuates an unknown failure
// domain: the evacuation would be without effect, and nobody would notice.
func TestUnknownEvacuationIsNotAccepted(t *testing.T) {
	content := config.Content{Domains: []config.Domain{{Name: "Gent"}}}
	content.Rules.Evacuate = []types.FailureDomain{"Ghent"}
	next, err := config.New(1, content, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodPut, "/v1/config", bytes.NewReader(body))
	r.Header.Set("If-Match", `"0"`)
	// The entry has no table, so that accepting the configuration would panic.
	_, _, err = (&Entry{}).putConfig(r)
	e := apperr.From(err)
	if e.Kind != apperr.KindInvalid || !strings.Contains(err.Error(), "Ghent") || !strings.Contains(e.Remedy, "declared failure domain") {
		t.Fatalf("got %v", err)
	}
}
