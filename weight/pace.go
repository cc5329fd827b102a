// Package weight spaces the loads of new weights: every guard works out its
// own start from the announcement, so that no coordinator is needed.
//
//  1. The weight store serves Rate loads a second. The target of rank r starts
//     r/Rate after the announcement, so the store is busy but not refused.
//  2. At most Share of a service's targets swap at once: the spacing is never
//     closer than Swap/(Share*Count).
//  3. A refusal or a failure is tried again after a backoff that doubles, with
//     jitter; after the pace of the whole rollout has passed, free places in
//     the store are frequent.
//  4. A newer announcement replaces an older one that has not started.
package weight

import (
	"math"
	"time"
)

// Pace is the spacing of one rollout.
type Pace struct {
	// Rate is the loads a second that the weight store serves.
	Rate float64
	// Share is the largest part of the targets that swap at once; zero means
	// no bound.
	Share float64
	// LoadTime is how long one load takes.
	LoadTime time.Duration
	// Count is the number of targets.
	Count int
}

// Spacing is the time between two starts (rules 1 and 2).
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

// Start is when the target of a rank starts.
func (pa Pace) Start(announced time.Time, rank int) time.Time {
	return announced.Add(time.Duration(rank) * pa.Spacing())
}

// Total is how long an undisturbed rollout takes until the last swap is over.
func (pa Pace) Total() time.Duration {
	return time.Duration(max(pa.Count-1, 0))*pa.Spacing() + pa.LoadTime
}

// The constants of the backoff.
const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// Backoff is the wait after a number of failures, at least one; draw is from
// [0,1) and spreads it over half to the whole (rule 3).
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
