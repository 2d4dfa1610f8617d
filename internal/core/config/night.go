package config

import (
	"fmt"
	"time"
)

// Night is one occurrence of the overnight window.
type Night struct {
	// Date is the local date on which the window opened, in the format
	// 2006-01-02. It identifies the night in every process, whatever the offset
	// of its clock.
	Date string
	End  time.Time
	// Open is true if the time passed to NightAt is in the window.
	Open bool
}

// NightAt returns the night that contains the given time, or the last night
// before it. It fails if the window's time zone is unknown.
func (w Window) NightAt(now time.Time) (Night, error) {
	zone, err := time.LoadLocation(w.Zone)
	if err != nil {
		return Night{}, fmt.Errorf("unknown time zone %q of the overnight window: %w", w.Zone, err)
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
