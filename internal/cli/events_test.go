package cli

import (
	"os"
	"testing"

	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Guards against events that docs/EVENTS.md omits or describes in an outdated
// form. This package imports every package of the program, so that the registry
// has the same events as in the binary.
func TestEventsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != eventsMarkdown(telemetry.Events()) {
		t.Error("docs/EVENTS.md differs from the events that the program defines; run `make events` and commit the page")
	}
}
