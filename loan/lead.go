package loan

import "time"

// LeadEstimator estimates from the durations of the requests under one loan how
// long before the loan's end new requests must be refused. The zero value has no
// observations.
type LeadEstimator struct {
	longest time.Duration
}

// decayDivisor sets the decay rate: each call of Decay subtracts 1/decayDivisor of
// the longest duration. Called every second, that halves it in 47 minutes.
const decayDivisor = 4096

// Observe records the duration of a finished request.
func (le *LeadEstimator) Observe(took time.Duration) { le.longest = max(le.longest, took) }

// Decay reduces the estimate. It must be called at regular intervals, so that one
// long request does not determine the estimate forever.
func (le *LeadEstimator) Decay() { le.longest -= le.longest / decayDivisor }

// LeadTime returns how long before the end of the loan new requests must be
// refused: the longest observed duration, less its decay.
func (le *LeadEstimator) LeadTime() time.Duration { return le.longest }
