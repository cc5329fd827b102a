package runs

import (
	"context"
	"slices"
	"sync"
	"time"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

// engine is the state of an engine that the registry doesn't have.
type engine struct {
	target  fleet.Target
	running int
	runs    map[*run]bool
	// versions maps a model to the newest version seen in events, which may be newer
	// than that in the registry.
	versions map[string]uint64
	groups   map[string]int
	pace     time.Duration
	paceAt   time.Time
	// longPace is measured only on a shared host, that is once a response has reported a
	// slowdown.
	sharedHost    bool
	longPace      longPace
	longPaceAt    time.Time
	backoffUntil  time.Time
	interruptions int
	// refusals counts consecutive refusals, interruptions consecutive interruptions.
	refusals int
	// emptiedAt is when emptying began; zero if the engine is not emptied. An engine
	// that was emptied and did not load is skipped until skipUntil.
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
	vi := place.Engine{
		ID: en.target.ID, Software: en.target.Software, Distance: en.target.Distance, Slots: en.target.Slots, Running: en.running,
		Version: en.version(model), Pace: en.pace, PaceStale: now.Sub(en.paceAt) > maxPaceAge, BackingOff: now.Before(en.backoffUntil), Groups: en.groups,
		Probing: en.refusals > 0, Emptying: !en.emptiedAt.IsZero(), Skipped: now.Before(en.skipUntil),
		SharedHost: en.sharedHost, LongPace: en.longPace.mean(),
	}
	if vi.Emptying {
		vi.EmptyingFor = now.Sub(en.emptiedAt)
	}
	pace := en.pace
	if vi.SharedHost {
		pace = vi.LongPace
	}
	prompts := map[string]bool{}
	for ru := range en.runs {
		it, events := ru.item, ru.eventCount()
		if events == 0 {
			vi.NotStarted++
		}
		if group := it.item.Group; !prompts[group] {
			prompts[group] = true
			vi.Held += it.item.PromptTokens
		}
		generated := len(it.events) + events
		remaining := it.remainingAfter(generated)
		vi.Load += it.load(events)
		vi.Held += (generated + remaining) * tokensPerEvent
		vi.BusyFor = max(vi.BusyFor, time.Duration(remaining)*pace)
	}
	return vi
}

// backOffRefused extends the backoff after a refusal.
func (en *engine) backOffRefused(now time.Time) {
	en.refusals++
	en.backoffUntil = now.Add(min(refusedBackoff<<min(en.refusals-1, 3), maxRefusedBackoff))
}

// backOffInterrupted extends the backoff after an interruption.
func (en *engine) backOffInterrupted(now time.Time) {
	en.backoffUntil = now.Add(min(interruptedBackoff<<min(en.interruptions, 5), maxInterruptedBackoff))
	en.interruptions++
}

// Update replaces the known engines by those of the registry. Runs on engines that
// are no longer registered are canceled.
func (ow *Owner) Update(all []fleet.Target) {
	ow.Loop.Post(func() {
		registered := map[string]bool{}
		for _, ta := range all {
			if len(ta.Models) == 0 {
				continue
			}
			registered[ta.ID] = true
			en := ow.engines[ta.ID]
			if en == nil || !sameEngine(en.target, ta) {
				en = newEngine(ta)
				ow.engines[ta.ID] = en
			}
			en.target = ta
		}
		for id, en := range ow.engines {
			if !registered[id] {
				delete(ow.engines, id)
				en.cancelRuns()
			}
		}
		ow.place()
	})
}

// sameEngine reports whether two entries of the registry describe the same engine.
func sameEngine(lhs, rhs fleet.Target) bool {
	return lhs.StartedAt == rhs.StartedAt && lhs.Addr == rhs.Addr && lhs.Software == rhs.Software
}

// cancelRuns cancels the runs of an engine that is no longer registered.
func (en *engine) cancelRuns() {
	for ru := range en.runs {
		ru.superseded = true
		ru.cancel()
	}
}

// run is one run of an item on an engine. The goroutine that reads the stream adds
// events, the loop reads them.
type run struct {
	engine *engine
	job    *job
	item   *item
	cancel context.CancelFunc
	// superseded is set when the loop canceled the run and the item continues without
	// it.
	superseded bool
	// replaced is set when the text of the item was replaced by a stored one during the run,
	// which then says nothing about the text.
	replaced  bool
	startedAt time.Time
	// software is the version of the engine's software.
	software string
	// text counts the memory of the events; it may be nil.
	text *heldText
	// sample is what the long-run pace of the engine has counted of this run.
	sample paceSample

	mutex  sync.Mutex
	events []Event
	// times is a ring buffer with the arrival times of the last events.
	times  [paceGaps + 1]time.Time
	closed bool
}

// paceGaps is the number of gaps between events whose median is the pace of a run. While
// an engine reads the prompts or texts of other runs, one gap is several times as long;
// that does not make it slow. An engine that has become slow shows after three gaps.
const paceGaps = 5

func (ru *run) add(now time.Time, ev Event) {
	if ru.text != nil && !ru.text.grow(ev) {
		return
	}
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return
	}
	ru.times[len(ru.events)%len(ru.times)] = now
	ru.events = append(ru.events, ev)
}

// finish closes the run and returns its events. Later events are ignored, and a
// second call returns none.
func (ru *run) finish() []Event {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return nil
	}
	ru.closed = true
	return ru.events
}

// eventCount returns the number of events so far.
func (ru *run) eventCount() int {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	return len(ru.events)
}

// snapshot returns a copy of the events so far, none if they were taken or given up.
func (ru *run) snapshot() []Event {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	if ru.closed {
		return nil
	}
	return slices.Clone(ru.events)
}

// progress returns the time of the last event or, if there is none, of the start, and
// the version of the last event, zero if there is none.
func (ru *run) progress() (last time.Time, version uint64) {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	count := len(ru.events)
	if count == 0 {
		return ru.startedAt, 0
	}
	return ru.times[(count-1)%len(ru.times)], ru.events[count-1].Version
}

// pace returns the median time between the last events, zero with fewer than paceGaps
// gaps. The time since the last event replaces the oldest gap once it is longer than all
// of them.
func (ru *run) pace(now time.Time) time.Duration {
	ru.mutex.Lock()
	defer ru.mutex.Unlock()
	count := len(ru.events)
	if count <= paceGaps {
		return 0
	}
	var gaps [paceGaps]time.Duration
	for at := range gaps {
		gaps[at] = ru.times[(count-1-at)%len(ru.times)].Sub(ru.times[(count-2-at)%len(ru.times)])
	}
	if current := now.Sub(ru.times[(count-1)%len(ru.times)]); current > slices.Max(gaps[:]) {
		gaps[paceGaps-1] = current
	}
	slices.Sort(gaps[:])
	return gaps[paceGaps/2]
}
