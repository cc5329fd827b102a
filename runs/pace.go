package runs

import (
	"math"
	"time"

	"bilberryshelf/place"
)

// longPace is the mean time between two events of an engine's runs over the last
// place.SharedPaceWindow. Older time counts less, exponentially. While the engine has no
// runs the mean is kept, but its weight falls to that of minIdleWeight, so that a few runs
// show that a slow engine has recovered. The zero value has no measurement.
type longPace struct {
	// time is the weighted time, events the mean number of events of a run in it.
	time, events float64
	// known is set once minPaceEvents were measured. It stays set for an engine that
	// then generates too little for them.
	known bool
}

// minPaceEvents is the number of events from which the mean is first used.
const minPaceEvents = 5

// minIdleWeight is the weight of an earlier measurement after a time without runs: with less,
// a single slow period would make the engine slow.
const minIdleWeight = float64(place.SharedPaceWindow / 4)

// minEventWeight bounds the mean of an engine that has stopped.
const minEventWeight = 0.1

// mean returns zero while too few events were measured.
func (lp longPace) mean() time.Duration {
	if !lp.known {
		return 0
	}
	return time.Duration(lp.time / max(lp.events, minEventWeight))
}

// scale multiplies the weight of what was measured.
func (lp longPace) scale(by float64) longPace {
	return longPace{time: lp.time * by, events: lp.events * by, known: lp.known}
}

// decay returns the factor by which the passing of time reduces the weight.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(place.SharedPaceWindow))
}

// idle returns the measurement after a time without runs.
func (lp longPace) idle(elapsed time.Duration) longPace {
	if lp.time <= minIdleWeight {
		return lp
	}
	return lp.scale(max(decay(elapsed), minIdleWeight/lp.time))
}

// add adds the sums over a number of runs.
func (lp longPace) add(elapsed time.Duration, sum longPace, runs int) longPace {
	out := lp.scale(decay(elapsed))
	out.time += sum.time / float64(runs)
	out.events += sum.events / float64(runs)
	out.known = out.known || out.events >= minPaceEvents
	return out
}

// paceSample is the state of a run when its events were last counted.
type paceSample struct {
	at     time.Time
	events int
}

// updateLongPace counts the events of the runs since the last call.
func (en *engine) updateLongPace(now time.Time) {
	counted := 0
	added := longPace{}
	for ru := range en.runs {
		last := ru.sample
		ru.sample = paceSample{at: now, events: ru.eventCount()}
		if last.events == 0 {
			continue // reading the prompt is no part of the pace
		}
		counted++
		added.time += float64(now.Sub(last.at))
		added.events += float64(ru.sample.events - last.events)
	}
	elapsed := now.Sub(en.longPaceAt)
	en.longPaceAt = now
	if counted == 0 {
		en.longPace = en.longPace.idle(elapsed)
		return
	}
	en.longPace = en.longPace.add(elapsed, added, counted)
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
