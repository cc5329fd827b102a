package fleet

import (
	"sync"
	"time"
)

// departureRetention is how long a departure is kept after its target was last
// listed. It is far above the time within which a target that left, or its
// registration, could still show up.
const departureRetention = 10 * time.Minute

// Departures holds the targets that announced in a response that they are leaving.
// It is safe for concurrent use. The zero value is empty and ready to use; a nil
// *Departures is empty.
//
//  1. A departure ends new work on the target at once, whatever the registry says
//     about it: the registry lags, may be unavailable, and some targets never write
//     to it that they leave. Runs in progress continue.
//  2. It holds for one incarnation. A later incarnation with the same id, which the
//     registry lists with another start time, gets work again.
type Departures struct {
	// OnAnnounced is called the first time that an incarnation announces its
	// departure, before the response is used. It may be nil; set it before use.
	OnAnnounced func(ta Target)

	mutex sync.Mutex
	// lastListed maps a departing incarnation to the time when it was last listed.
	lastListed map[Incarnation]time.Time
}

// Announce records that a target announced its departure.
func (de *Departures) Announce(now time.Time, ta Target) {
	if de == nil || !de.add(now, ta.Incarnation()) || de.OnAnnounced == nil {
		return
	}
	de.OnAnnounced(ta)
}

// add records a departure and reports whether it is new.
func (de *Departures) add(now time.Time, in Incarnation) bool {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	if de.lastListed == nil {
		de.lastListed = map[Incarnation]time.Time{}
	}
	_, known := de.lastListed[in]
	de.lastListed[in] = now
	return !known
}

// Departing reports whether a target announced its departure.
func (de *Departures) Departing(ta Target) bool {
	if de == nil {
		return false
	}
	de.mutex.Lock()
	defer de.mutex.Unlock()
	_, found := de.lastListed[ta.Incarnation()]
	return found
}

// Mark sets Draining for the listed targets that announced their departure. It
// forgets the others after departureRetention.
func (de *Departures) Mark(now time.Time, all []Target) {
	de.mutex.Lock()
	defer de.mutex.Unlock()
	for at := range all {
		if _, found := de.lastListed[all[at].Incarnation()]; found {
			de.lastListed[all[at].Incarnation()], all[at].Draining = now, true
		}
	}
	for in, listed := range de.lastListed {
		if now.Sub(listed) > departureRetention {
			delete(de.lastListed, in)
		}
	}
}
