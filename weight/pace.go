// Package weight spaces the loads of new weights. Every guard computes its own
// start time from the announcement, so no coordinator is needed.
//
//  1. The weight store serves Rate loads per second. The target of rank r starts
//     r/Rate after the announcement, so the store is fully used but does not
//     refuse loads.
//  2. At most Share of a service's targets load at once: the spacing is at least
//     LoadTime/(Share*Count).
//  3. A refused or failed load is retried after an exponential backoff with jitter.
//     When all targets have had their first start, the store often has free
//     capacity.
//  4. A newer announcement replaces an older one whose load has not started.
package weight

import (
	"math"
	"time"
)

// Pace describes one rollout of new weights to the targets of a service.
type Pace struct {
	// Rate is the number of loads per second that the weight store serves; zero means
	// no bound.
	Rate float64
	// Share is the largest fraction of the targets that load at once; zero means
	// no bound.
	Share float64
	// LoadTime is the duration of one load.
	LoadTime time.Duration
	// Count is the number of targets.
	Count int
}

// Spacing returns the time between two starts (rules 1 and 2).
func (pa Pace) Spacing() time.Duration {
	var spacing float64
	if pa.Rate > 0 {
		spacing = 1 / pa.Rate
	}
	if pa.Share > 0 && pa.Count > 0 {
		atOnce := math.Max(math.Floor(pa.Share*float64(pa.Count)), 1)
		spacing = math.Max(spacing, pa.LoadTime.Seconds()/atOnce)
	}
	return time.Duration(spacing * float64(time.Second))
}

// Start returns the start time of the target with the given rank.
func (pa Pace) Start(announced time.Time, rank int) time.Time {
	return announced.Add(time.Duration(rank) * pa.Spacing())
}

// Total returns the duration of a rollout without refusals and failures, until the
// last load has ended.
func (pa Pace) Total() time.Duration {
	return time.Duration(max(pa.Count-1, 0))*pa.Spacing() + pa.LoadTime
}

// Bounds of the backoff.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// Backoff returns the wait after a number of consecutive failures, which is at
// least one. The draw is a random number in [0,1); it spreads the wait between half
// of the backoff and the whole (rule 3).
func Backoff(failures int, draw float64) time.Duration {
	wait := initialBackoff
	for range failures - 1 {
		if wait *= 2; wait >= maxBackoff {
			wait = maxBackoff
			break
		}
	}
	return wait/2 + time.Duration(draw*float64(wait)/2)
}
