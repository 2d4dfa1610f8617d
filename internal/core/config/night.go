package config

import (
	"fmt"
	"time"
)

// Night is one occurrence of the overnight window.
type Night struct {
	// Date is the local date on which the window opened, as 2006-01-02. It names
	// the night on every process, whatever the offset of its clock.
	Date string
	End  time.Time
	// Open tells whether the time asked for lies in the window.
	Open bool
}

// NightAt returns the night that a time lies in, or else the last one before
// it. It fails if the window's time zone is not known.
func (w Window) NightAt(now time.Time) (Night, error) {
	zone, err := time.LoadLocation(w.Zone)
	if err != nil {
		return Night{}, fmt.Errorf("time zone %q of the overnight window is not known: %w", w.Zone, err)
	}
	local := now.In(zone)
	hour, minute, second := local.Clock()
	timeOfDay := time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute + time.Duration(second)*time.Second
	opened := local
	if timeOfDay < w.Start {
		opened = local.AddDate(0, 0, -1)
	}
	return Night{
		Date: opened.Format(time.DateOnly),
		End:  now.Add(w.UntilEnd(timeOfDay)),
		Open: w.Contains(timeOfDay),
	}, nil
}
