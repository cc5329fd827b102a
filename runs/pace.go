package runs

import (
	"math"
	"time"

	"bilberryshelf/place"
)

// longPace is the mean time between two events of an engine's runs over the last
// place.SharedPaceWindow in which it had runs. Older time counts less, exponentially. The
// zero value has no measurement.
type longPace struct {
	// time is the sum over the runs, events the number of their events in it.
	time, events float64
	// known is set once minPaceEvents were measured. It stays set for an engine that
	// then generates too little for them.
	known bool
}

// minPaceEvents is the number of events from which the mean is first used.
const minPaceEvents = 5

// minEventWeight bounds the mean of an engine that has stopped.
const minEventWeight = 0.1

// mean returns zero while too few events were measured.
func (lp longPace) mean() time.Duration {
	if !lp.known {
		return 0
	}
	return time.Duration(lp.time / max(lp.events, minEventWeight))
}

// decay reduces the weight of what was measured by the passing of time.
func (lp longPace) decay(elapsed time.Duration) longPace {
	weight := math.Exp(-float64(elapsed) / float64(place.SharedPaceWindow))
	return longPace{time: lp.time * weight, events: lp.events * weight, known: lp.known}
}

// paceSample is the state of a run when its events were last counted.
type paceSample struct {
	at     time.Time
	events int
}

// updateLongPace counts the events of the runs since the last call. Without runs the mean
// is kept.
func (en *engine) updateLongPace(now time.Time) {
	var elapsed time.Duration
	added := longPace{}
	for ru := range en.runs {
		last := ru.sample
		ru.sample = paceSample{at: now, events: ru.eventCount()}
		if last.events == 0 {
			continue // reading the prompt is no part of the pace
		}
		elapsed = max(elapsed, now.Sub(last.at))
		added.time += float64(now.Sub(last.at))
		added.events += float64(ru.sample.events - last.events)
	}
	en.longPace = en.longPace.decay(elapsed)
	en.longPace.time += added.time
	en.longPace.events += added.events
	en.longPace.known = en.longPace.known || en.longPace.events >= minPaceEvents
}

// slowdown returns the slowdown that the head of the stream reported, zero if it reported
// none or there is no event.
func (ru *run) slowdown() int {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if len(ru.events) == 0 {
		return 0
	}
	return ru.events[0].Slowdown
}
