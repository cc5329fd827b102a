package fleet

import (
	"sync"
	"time"
)

const (
	// maxPause is the longest time between two ticks of a process that runs: several
	// intervals of its ticks.
	maxPause = time.Second
	// OutdatedLimit is the longest time for which targets count as outdated after a pause, in
	// case the registry does not answer: two watches of it.
	OutdatedLimit = 3 * time.Second
	// confirmations that are required after a pause: the response to the first watch may
	// have been sent before or during the pause.
	confirmations = 2
)

// BootClock returns the time since the start of the machine, suspensions included.
type BootClock interface {
	SinceBoot() time.Duration
}

// Freshness tells whether the list of targets is older than this process believes, because
// the process was paused or its machine suspended. Meanwhile a target may have started again
// under its id with other software, which nothing but the registry tells. It is safe for
// concurrent use; a nil *Freshness is never outdated.
//
//  1. A process was paused if it has not ticked for more than maxPause.
//  2. Its targets are outdated until the registry has confirmed them by calls made since, but
//     for OutdatedLimit at most.
type Freshness struct {
	Boot BootClock

	mutex    sync.Mutex
	tickedAt time.Duration
	// pausedAt is when the last pause was noticed, zero if there was none; confirmed counts
	// the confirmations since.
	pausedAt  time.Duration
	confirmed int
}

// Tick records that the process runs. It must be called several times per maxPause.
func (fr *Freshness) Tick() {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	fr.tick()
}

func (fr *Freshness) tick() {
	now := fr.Boot.SinceBoot()
	if fr.tickedAt > 0 && now-fr.tickedAt > maxPause {
		fr.pausedAt, fr.confirmed = now, 0
	}
	fr.tickedAt = now
}

// Confirm records that the registry answered.
func (fr *Freshness) Confirm() {
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	fr.tick()
	fr.confirmed++
}

// Outdated reports whether the targets are outdated.
func (fr *Freshness) Outdated() bool {
	if fr == nil {
		return false
	}
	fr.mutex.Lock()
	defer fr.mutex.Unlock()
	fr.tick()
	return fr.pausedAt > 0 && fr.confirmed < confirmations && fr.tickedAt-fr.pausedAt < OutdatedLimit
}
