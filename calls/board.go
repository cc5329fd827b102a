package calls

import (
	"slices"
	"sync"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

const (
	// firstRest is how long a target rests after a failure, doubled for each
	// failure in a row up to lastRest.
	firstRest = 300 * time.Millisecond
	lastRest  = 4 * time.Second
	// fullRest is how long a target that refused for lack of room is left out.
	fullRest = 60 * time.Millisecond
	// nearLoad is the share of its slots up to which a target in the caller's own
	// failure domain or region goes before others: bytes between them are paid for.
	nearLoad = 0.7
	// warmFor is how long a connection to a target is surely kept; a target that
	// was asked within it goes first up to warmLoad, since a new connection is paid
	// for and takes a slot for a moment.
	warmFor  = 3 * time.Second
	warmLoad = 0.5
	// answerMemory is the weight of a new answer time in the mean.
	answerMemory = 0.2
	// slowTarget is how many times the mean of the service a target's mean answer
	// time may be before others are preferred.
	slowTarget = 2.5
	// comeBackLeast and comeBackMost bound the time to come back.
	comeBackLeast = 50 * time.Millisecond
	comeBackMost  = 2 * time.Second
)

// score is what is known of one target from its answers.
type score struct {
	mine     int
	reported int
	mineThen int
	failures int
	until    time.Time
	answer   time.Duration
	// used is when the target last answered.
	used time.Time
}

// Board keeps the targets of plain services with what their answers told. It is
// safe for concurrent use. The zero value knows no target.
type Board struct {
	mutex    sync.Mutex
	services map[string][]fleet.Target
	scores   map[string]*score
}

// Update takes the targets as they are known now, and returns the ids of those
// that are gone.
func (bo *Board) Update(all []fleet.Target) (gone []string) {
	services, scores := map[string][]fleet.Target{}, map[string]*score{}
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	for _, ta := range all {
		sc := bo.scores[ta.ID]
		if sc == nil {
			sc = &score{}
		}
		scores[ta.ID] = sc
		if !ta.Draining {
			services[ta.Service] = append(services[ta.Service], ta)
		}
	}
	for id := range bo.scores {
		if scores[id] == nil {
			gone = append(gone, id)
		}
	}
	bo.services, bo.scores = services, scores
	return gone
}

// choose draws a target (rule 1).
func (bo *Board) choose(now time.Time, service string, tried []string, draw func(int) int) (fleet.Target, bool) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	var classes [classCount][]fleet.Target
	mean := bo.meanAnswer(service)
	for _, ta := range bo.services[service] {
		if slices.Contains(tried, ta.ID) {
			continue
		}
		cl := bo.class(now, ta, mean)
		classes[cl] = append(classes[cl], ta)
	}
	for _, from := range classes {
		if len(from) > 0 {
			return bo.lighter(from[draw(len(from))], from[draw(len(from))]), true
		}
	}
	return fleet.Target{}, false
}

// The classes of targets, best first.
const (
	warm = iota
	near
	region
	far
	resting
	classCount
)

func (bo *Board) class(now time.Time, ta fleet.Target, mean time.Duration) int {
	sc, load := bo.scores[ta.ID], bo.load(ta)
	slow := mean > 0 && float64(sc.answer) > slowTarget*float64(mean)
	switch {
	case slow || now.Before(sc.until):
		return resting
	case ta.Distance == fleet.OtherRegion:
		return far
	case now.Sub(sc.used) < warmFor && sc.mine == 0 && load < warmLoad: // one that is asked right now has no connection to spare
		return warm
	case ta.Distance == fleet.SameDomain && load < nearLoad:
		return near
	case load < nearLoad:
		return region
	default:
		return far
	}
}

func (bo *Board) lighter(lhs, rhs fleet.Target) fleet.Target {
	if bo.load(rhs) < bo.load(lhs) {
		return rhs
	}
	return lhs
}

// load is the load that the target told, corrected by what was sent and ended
// since, as a share of its slots.
func (bo *Board) load(ta fleet.Target) float64 {
	sc := bo.scores[ta.ID]
	running := max(sc.reported-sc.mineThen+sc.mine, sc.mine)
	return float64(running) / float64(max(ta.Slots, 1))
}

// meanAnswer is the mean answer time over the targets of a service.
func (bo *Board) meanAnswer(service string) time.Duration {
	var (
		sum   time.Duration
		count time.Duration
	)
	for _, ta := range bo.services[service] {
		if sc := bo.scores[ta.ID]; sc.answer > 0 {
			sum, count = sum+sc.answer, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

func (bo *Board) begin(id string) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	if sc := bo.scores[id]; sc != nil {
		sc.mine++
	}
}

// end records what came of an attempt. An attempt that was dropped here says
// nothing of the target.
func (bo *Board) end(now time.Time, id string, ou outcome, dropped bool) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	sc := bo.scores[id]
	if sc == nil {
		return
	}
	then := sc.mine
	sc.mine--
	switch {
	case ou.err == nil:
		sc.failures, sc.used = 0, now
		sc.answer += time.Duration(answerMemory * float64(ou.took-sc.answer))
		if ou.answer.Slots > 0 {
			sc.reported, sc.mineThen = ou.answer.Running+ou.answer.Waiting, then // the answered request is still counted
		}
	case dropped:
	case ou.err.Code == core.CodeFull:
		sc.until = now.Add(fullRest)
	default:
		sc.until = now.Add(min(firstRest<<min(sc.failures, 6), lastRest)) // rule 6
		sc.failures++
	}
}

// comeBack is when a place should be free: the mean answer time, spread so that
// refused callers do not return together.
func (bo *Board) comeBack(now time.Time, service string, draw func(int) int) time.Duration {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	wait := max(bo.meanAnswer(service), comeBackLeast)
	for _, ta := range bo.services[service] {
		if left := bo.scores[ta.ID].until.Sub(now); left > 0 && left < lastRest {
			wait = max(wait, min(left, comeBackMost))
		}
	}
	return min(wait+time.Duration(draw(int(wait))), comeBackMost)
}
