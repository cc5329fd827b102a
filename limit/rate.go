// Package limit admits requests to a service: a window of requests in flight,
// a bounded queue in front of it, early refusal of what cannot be served in
// time, and the time to come back.
package limit

import (
	"math"
	"time"
)

// Rate measures events per second with an exponential memory. The zero value
// has a memory of DefaultMemory.
type Rate struct {
	// TimeConstant is the time after which an event counts for 1/e.
	TimeConstant time.Duration

	sum   float64
	last  time.Time
	start time.Time
}

// DefaultTimeConstant is the memory of a Rate that sets none.
const DefaultTimeConstant = 5 * time.Second

func (ra *Rate) timeConstant() time.Duration {
	if ra.TimeConstant <= 0 {
		return DefaultTimeConstant
	}
	return ra.TimeConstant
}

// Add counts an event.
func (ra *Rate) Add(now time.Time) {
	if ra.start.IsZero() {
		ra.start, ra.last = now, now
	}
	ra.decay(now)
	ra.sum++
}

func (ra *Rate) decay(now time.Time) {
	if gap := now.Sub(ra.last); gap > 0 {
		ra.sum *= math.Exp(-gap.Seconds() / ra.timeConstant().Seconds())
		ra.last = now
	}
}

// PerSecond is the present rate. It allows for a memory that is not full yet.
func (ra *Rate) PerSecond(now time.Time) float64 {
	if ra.start.IsZero() {
		return 0
	}
	ra.decay(now)
	memory := ra.timeConstant().Seconds()
	filled := 1 - math.Exp(-now.Sub(ra.start).Seconds()/memory)
	if filled <= 0 {
		return 0
	}
	return ra.sum / (memory * filled)
}
