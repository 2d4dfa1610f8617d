package config

import (
	"testing"
	"time"
)

// Guards against a night whose date changes at midnight, which would start its
// jobs twice, and against jobs started outside the window.
func TestNightAt(t *testing.T) {
	w := Window{Start: 20 * time.Hour, End: 6 * time.Hour, Zone: "Europe/Brussels"}
	day := Window{Start: time.Hour, End: 5 * time.Hour, Zone: "Africa/Kigali"}
	tests := []struct {
		window Window
		now    string
		date   string
		open   bool
		end    string
	}{
		{w, "2026-12-04T18:59:59Z", "2026-12-03", false, "2026-12-05T05:00:00Z"},
		{w, "2026-12-04T19:00:00Z", "2026-12-04", true, "2026-12-05T05:00:00Z"},
		{w, "2026-12-04T23:30:00Z", "2026-12-04", true, "2026-12-05T05:00:00Z"},
		{w, "2026-12-05T04:59:59Z", "2026-12-04", true, "2026-12-05T05:00:00Z"},
		{w, "2026-12-05T05:00:00Z", "2026-12-04", false, ""},
		{day, "2026-12-04T22:59:59Z", "2026-12-04", false, ""},
		{day, "2026-12-04T23:00:00Z", "2026-12-05", true, "2026-12-05T03:00:00Z"},
	}
	for _, tt := range tests {
		now, err := time.Parse(time.RFC3339, tt.now)
		if err != nil {
			t.Fatal(err)
		}
		night, err := tt.window.NightAt(now)
		if err != nil {
			t.Fatal(err)
		}
		if night.Date != tt.date || night.Open != tt.open {
			t.Errorf("%s: night %s, open %v; want %s, %v", tt.now, night.Date, night.Open, tt.date, tt.open)
		}
		if tt.end != "" && night.End.UTC().Format(time.RFC3339) != tt.end {
			t.Errorf("%s: night ends at %s, want %s", tt.now, night.End.UTC().Format(time.RFC3339), tt.end)
		}
	}
	if _, err := (Window{Zone: "Nowhere/Else"}).NightAt(time.Now()); err == nil {
		t.Error("unknown time zone was accepted")
	}
}
