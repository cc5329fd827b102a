package core

import "time"

// Clock tells the time and wakes a waiter. The fake clock of clockwork fits.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that fires once the span has passed.
func (SystemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }
