package runcall

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against offers that make a worker panic, or that do not survive a round trip
// through String and ParseOffer.
func FuzzParseOffer(f *testing.F) {
	f.Add(Offer{ID: types.RequestID{1}, Incarnation: 1 << 63, ConfigVersion: 3, Echo: time.Second, Budget: 2, Timeout: 3}.String())
	f.Add("")
	f.Add(";;;;;")
	f.Add("00000000000000000000000000000000;ffffffffffffffff;0;9223372036854775807;-1;0")
	f.Fuzz(func(t *testing.T, s string) {
		o, err := ParseOffer(s)
		if err != nil {
			return
		}
		if o.Echo < 0 || o.Budget < 0 || o.Timeout < 0 {
			t.Fatalf("%q has a negative time: %+v", s, o)
		}
		again, err := ParseOffer(o.String())
		if err != nil || again != o {
			t.Fatalf("%q: parsed as %+v, written as %q and parsed again as %+v, error %v", s, o, o.String(), again, err)
		}
	})
}

// Guards against reports that make an entry panic, or that do not survive a round trip
// through String and ParseReport.
func FuzzParseReport(f *testing.F) {
	f.Add(Report{Incarnation: 1 << 63, ConfigVersion: 3, Clock: time.Second, InFlight: 2, Draining: true}.String())
	f.Add("")
	f.Add(";;;;")
	f.Add("ffffffffffffffff;0;9223372036854775807;9223372036854775807;2")
	f.Fuzz(func(t *testing.T, s string) {
		r, err := ParseReport(s)
		if err != nil {
			return
		}
		if r.Clock < 0 || r.InFlight < 0 {
			t.Fatalf("%q has a negative number: %+v", s, r)
		}
		again, err := ParseReport(r.String())
		if err != nil || again != r {
			t.Fatalf("%q: parsed as %+v, written as %q and parsed again as %+v, error %v", s, r, r.String(), again, err)
		}
	})
}
