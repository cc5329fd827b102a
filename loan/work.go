package loan

import "time"

// Work watches how long the work under one loan takes, to tell how long before
// the loan's end new work must stop. The zero value has seen nothing.
type Work struct {
	longest time.Duration
}

// forgetPart is the part of the longest time that each Forget takes off; called
// every second, half of it is forgotten in 47 minutes.
const forgetPart = 4096

// Seen takes in how long a piece of work took.
func (wo *Work) Seen(took time.Duration) { wo.longest = max(wo.longest, took) }

// Forget is called at a steady pace, so that one long piece of work does not
// count for ever.
func (wo *Work) Forget() { wo.longest -= wo.longest / forgetPart }

// Lead is how long before the end new work stops: the longest time that was
// seen lately.
func (wo *Work) Lead() time.Duration { return wo.longest }
