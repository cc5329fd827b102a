package runs

import (
	"context"
	"slices"
	"sync"
	"time"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

// engine is what the owner knows of an engine beyond the registry.
type engine struct {
	target  fleet.Target
	running int
	runs    map[*run]bool
	// versions holds what answers told, where it is newer than the registry.
	versions     map[string]uint64
	groups       map[string]int
	pace         time.Duration
	paceAt       time.Time
	backoffUntil time.Time
	cuts         int
	// refusals counts the refusals in a row.
	refusals int
	// emptiedAt is when the engine began to be emptied; zero when it is not.
	// passedUntil is how long it is passed over since it did not load.
	emptiedAt time.Time
	skipUntil time.Time
}

func newEngine(ta fleet.Target) *engine {
	return &engine{target: ta, runs: map[*run]bool{}, versions: map[string]uint64{}, groups: map[string]int{}}
}

func (en *engine) version(model string) uint64 {
	return max(en.target.Models[model], en.versions[model])
}

func (en *engine) view(now time.Time, model string) place.Engine {
	return place.Engine{
		ID: en.target.ID, Distance: en.target.Distance, Slots: en.target.Slots, Running: en.running,
		Version: en.version(model), Pace: en.pace, PaceStale: now.Sub(en.paceAt) > maxPaceAge, BackingOff: now.Before(en.backoffUntil), Groups: en.groups,
		Load: en.load(), Probing: en.refusals > 0, NotStarted: en.notStarted(), Emptying: !en.emptiedAt.IsZero(), Skipped: now.Before(en.skipUntil),
	}
}

// load is the tokens that the runs keep, in prompts.
func (en *engine) load() float64 {
	sum := 0.0
	for ru := range en.runs {
		sum += ru.item.load(ru.eventCount())
	}
	return sum
}

// notStarted counts the runs without an event.
func (en *engine) notStarted() int {
	count := 0
	for ru := range en.runs {
		if _, _, version := ru.progress(); version == 0 {
			count++
		}
	}
	return count
}

// backOffRefused leaves the engine out for a while after a refusal.
func (en *engine) backOffRefused(now time.Time) {
	en.refusals++
	en.backoffUntil = now.Add(min(refusedBackoff<<min(en.refusals-1, 3), maxRefusedBackoff))
}

// backOffCut leaves the engine out for a while after a cut.
func (en *engine) backOffCut(now time.Time) {
	en.backoffUntil = now.Add(min(cutBackoff<<min(en.cuts, 5), maxCutBackoff))
	en.cuts++
}

// Update takes the targets as the registry knows them now.
func (ow *Owner) Update(all []fleet.Target) {
	ow.Loop.Post(func() {
		listed := map[string]bool{}
		for _, ta := range all {
			if len(ta.Models) == 0 {
				continue
			}
			listed[ta.ID] = true
			en := ow.engines[ta.ID]
			if en == nil || en.target.StartedAt != ta.StartedAt || en.target.Addr != ta.Addr {
				en = newEngine(ta)
				ow.engines[ta.ID] = en
			}
			en.target = ta
		}
		for id, en := range ow.engines {
			if !listed[id] {
				delete(ow.engines, id)
				en.cancelRuns()
			}
		}
		ow.place()
	})
}

// cancelRuns ends the runs on an engine that is gone.
func (en *engine) cancelRuns() {
	for ru := range en.runs {
		ru.superseded = true
		ru.cancel()
	}
}

// run is an item on an engine. The goroutine that reads the stream adds events;
// the loop takes them.
type run struct {
	engine *engine
	job    *job
	item   *item
	cancel context.CancelFunc
	// superseded tells that the loop ended the run to go on elsewhere.
	superseded bool
	startedAt  time.Time

	mutex  sync.Mutex
	events []Event
	// times holds when the last events came, in a ring.
	times  [maxPaceGaps + 1]time.Time
	closed bool
}

// paceEvents is the number of gaps between events that a pace is taken from:
// few enough to see a slower engine within a quarter of a second. paceLeast is
// the fewest: while other texts are read, one gap is several times as long.
const (
	maxPaceGaps = 4
	minPaceGaps = 3
)

func (ru *run) add(now time.Time, ev Event) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return
	}
	ru.times[len(ru.events)%len(ru.times)] = now
	ru.events = append(ru.events, ev)
}

// finish ends the run for the loop and returns its events; later ones are dropped.
func (ru *run) finish() []Event {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return nil
	}
	ru.closed = true
	return ru.events
}

// eventCount counts the events that there are.
func (ru *run) eventCount() int {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	return len(ru.events)
}

// snapshot returns the events that there are, and goes on.
func (ru *run) snapshot() []Event {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	return slices.Clone(ru.events)
}

// progress tells when the last event came, the mean time between the last
// events, zero if there are fewer than paceLeast gaps, and the version of the
// last one.
func (ru *run) progress() (last time.Time, pace time.Duration, version uint64) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	count := len(ru.events)
	if count == 0 {
		return ru.startedAt, 0, 0
	}
	last = ru.times[(count-1)%len(ru.times)]
	if gaps := min(count-1, maxPaceGaps); gaps >= minPaceGaps {
		pace = last.Sub(ru.times[(count-1-gaps)%len(ru.times)]) / time.Duration(gaps)
	}
	return last, pace, ru.events[count-1].Version
}
