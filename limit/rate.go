// Package limit provides admission control: an adaptive limit of requests in flight
// with a bounded queue and early refusal, a limit of buffered bytes, and a rate meter.
package limit

import (
	"math"
	"time"
)

// Rate measures events per second with exponential decay. The zero value uses
// DefaultTimeConstant.
type Rate struct {
	// TimeConstant is the time after which the weight of an event has decayed to 1/e.
	TimeConstant time.Duration

	sum   float64
	last  time.Time
	start time.Time
}

// DefaultTimeConstant applies to a Rate without a TimeConstant.
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

// PerSecond returns the current rate. It corrects for a measurement that is shorter than
// the time constant.
func (ra *Rate) PerSecond(now time.Time) float64 {
	if ra.start.IsZero() {
		return 0
	}
	ra.decay(now)
	constant := ra.timeConstant().Seconds()
	filled := 1 - math.Exp(-now.Sub(ra.start).Seconds()/constant)
	if filled <= 0 {
		return 0
	}
	return ra.sum / (constant * filled)
}
