package loan

import "time"

// LeadEstimator watches how long the work under one loan takes, to tell how long before
// the loan's end new work must stop. The zero value has seen nothing.
type LeadEstimator struct {
	longest time.Duration
}

// decayDivisor is the part of the longest time that each Forget takes off; called
// every second, half of it is forgotten in 47 minutes.
const decayDivisor = 4096

// Observe takes in how long a piece of work took.
func (wo *LeadEstimator) Observe(took time.Duration) { wo.longest = max(wo.longest, took) }

// Decay is called at a steady pace, so that one long piece of work does not
// count for ever.
func (wo *LeadEstimator) Decay() { wo.longest -= wo.longest / decayDivisor }

// LeadTime is how long before the end new work stops: the longest time that was
// seen lately.
func (wo *LeadEstimator) LeadTime() time.Duration { return wo.longest }
