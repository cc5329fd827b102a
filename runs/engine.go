package runs

import (
	"context"
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
	versions map[string]uint64
	groups   map[string]int
	pace     time.Duration
	pacedAt  time.Time
	until    time.Time
	cuts     int
}

func newEngine(ta fleet.Target) *engine {
	return &engine{target: ta, runs: map[*run]bool{}, versions: map[string]uint64{}, groups: map[string]int{}}
}

func (en *engine) version(model string) uint64 {
	return max(en.target.Models[model], en.versions[model])
}

func (en *engine) view(now time.Time, model string) place.Engine {
	return place.Engine{
		ID: en.target.ID, Domain: en.target.Domain, Slots: en.target.Slots, Running: en.running,
		Version: en.version(model), Pace: en.pace, Resting: now.Before(en.until), Groups: en.groups,
	}
}

// rest leaves the engine out for a while after a cut.
func (en *engine) rest(now time.Time) {
	en.until = now.Add(min(cutRest<<min(en.cuts, 5), cutRestMost))
	en.cuts++
}

// Update takes the targets as the registry knows them now.
func (ow *Owner) Update(all []fleet.Target) {
	ow.Loop.Post(func() {
		if ow.engines == nil {
			return
		}
		listed := map[string]bool{}
		for _, ta := range all {
			if len(ta.Models) == 0 {
				continue
			}
			listed[ta.ID] = true
			en := ow.engines[ta.ID]
			if en == nil || en.target.Born != ta.Born || en.target.Addr != ta.Addr {
				en = newEngine(ta)
				ow.engines[ta.ID] = en
			}
			en.target = ta
		}
		for id, en := range ow.engines {
			if !listed[id] {
				delete(ow.engines, id)
				en.abandon()
			}
		}
		ow.place()
	})
}

// abandon ends the runs on an engine that is gone.
func (en *engine) abandon() {
	for ru := range en.runs {
		ru.leaving = true
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
	// leaving tells that the loop ended the run to go on elsewhere.
	leaving bool
	began   time.Time

	mutex  sync.Mutex
	events []Event
	first  time.Time
	last   time.Time
	closed bool
}

func (ru *run) add(now time.Time, ev Event) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return
	}
	if len(ru.events) == 0 {
		ru.first = now
	}
	ru.events, ru.last = append(ru.events, ev), now
}

// take ends the run for the loop and returns its events; later ones are dropped.
func (ru *run) take() []Event {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return nil
	}
	ru.closed = true
	return ru.events
}

// progress tells when the last event came, and the mean time between events
// since the first; zero if there is none yet.
func (ru *run) progress() (last time.Time, pace time.Duration, version uint64) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if len(ru.events) == 0 {
		return ru.began, 0, 0
	}
	if gaps := len(ru.events) - 1; gaps > 0 {
		pace = ru.last.Sub(ru.first) / time.Duration(gaps)
	}
	return ru.last, pace, ru.events[len(ru.events)-1].Version
}

// recent returns the pace over the events since the last call, and resets it.
func (ru *run) recent() (sum time.Duration, count int) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	count = len(ru.events) - 1
	if count < 1 {
		return 0, 0
	}
	sum = ru.last.Sub(ru.first)
	return sum, count
}
