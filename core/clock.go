package core

import "time"

// Clock returns the current time and provides timers. The fake clock of the
// clockwork package implements it.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once the wait has passed.
func (SystemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }
