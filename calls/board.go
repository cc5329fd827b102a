package calls

import (
	"slices"
	"sync"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

const (
	// initialBackoff is how long a target rests after a failure, doubled for each
	// failure in a row up to lastRest.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fullBackoff is how long a target that refused for lack of room is left out.
	fullBackoff = 60 * time.Millisecond
	// maxLocalLoad is the share of its slots up to which a target in the caller's own
	// failure domain or region goes before others: bytes between them are paid for.
	maxLocalLoad = 0.7
	// keepAlive is how long a connection to a target is surely kept; a target that
	// was asked within it goes first up to warmLoad, since a new connection is paid
	// for and takes a slot for a moment.
	keepAlive   = 3 * time.Second
	maxWarmLoad = 0.5
	// latencyWeight is the weight of a new answer time in the mean.
	latencyWeight = 0.2
	// slowRatio is how many times the mean of the service a target's mean answer
	// time may be before others are preferred.
	slowRatio = 2.5
	// minRetryAfter and comeBackMost bound the time to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// targetStats is what is known of one target from its answers.
type targetStats struct {
	inFlight         int
	reported         int
	inFlightAtReport int
	failures         int
	backoffUntil     time.Time
	latency          time.Duration
	// lastUsed is when the target last answered.
	lastUsed time.Time
}

// Balancer keeps the targets of plain services with what their answers told. It is
// safe for concurrent use. The zero value knows no target.
type Balancer struct {
	mutex    sync.Mutex
	services map[string][]fleet.Target
	stats    map[string]*targetStats
}

// Update takes the targets as they are known now, and returns the ids of those
// that are gone.
func (bo *Balancer) Update(all []fleet.Target) (gone []string) {
	services, scores := map[string][]fleet.Target{}, map[string]*targetStats{}
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	for _, ta := range all {
		sc := bo.stats[ta.ID]
		if sc == nil {
			sc = &targetStats{}
		}
		scores[ta.ID] = sc
		if !ta.Draining {
			services[ta.Service] = append(services[ta.Service], ta)
		}
	}
	for id := range bo.stats {
		if scores[id] == nil {
			gone = append(gone, id)
		}
	}
	bo.services, bo.stats = services, scores
	return gone
}

// pickTarget draws a target (rule 1).
func (bo *Balancer) pickTarget(now time.Time, service string, tried []string, draw func(int) int) (fleet.Target, bool) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	var classes [classCount][]fleet.Target
	mean := bo.meanLatency(service)
	for _, ta := range bo.services[service] {
		if slices.Contains(tried, ta.ID) {
			continue
		}
		cl := bo.class(now, ta, mean)
		classes[cl] = append(classes[cl], ta)
	}
	for _, from := range classes {
		if len(from) > 0 {
			return bo.lessLoaded(from[draw(len(from))], from[draw(len(from))]), true
		}
	}
	return fleet.Target{}, false
}

// The classes of targets, best first.
const (
	warm = iota
	sameDomain
	sameRegion
	remoteOrBusy
	degraded
	classCount
)

func (bo *Balancer) class(now time.Time, ta fleet.Target, mean time.Duration) int {
	sc, load := bo.stats[ta.ID], bo.load(ta)
	slow := mean > 0 && float64(sc.latency) > slowRatio*float64(mean)
	switch {
	case slow || now.Before(sc.backoffUntil):
		return degraded
	case ta.Distance == fleet.OtherRegion:
		return remoteOrBusy
	case now.Sub(sc.lastUsed) < keepAlive && sc.inFlight == 0 && load < maxWarmLoad: // one that is asked right now has no connection to spare
		return warm
	case ta.Distance == fleet.SameDomain && load < maxLocalLoad:
		return sameDomain
	case load < maxLocalLoad:
		return sameRegion
	default:
		return remoteOrBusy
	}
}

func (bo *Balancer) lessLoaded(lhs, rhs fleet.Target) fleet.Target {
	if bo.load(rhs) < bo.load(lhs) {
		return rhs
	}
	return lhs
}

// load is the load that the target told, corrected by what was sent and ended
// since, as a share of its slots.
func (bo *Balancer) load(ta fleet.Target) float64 {
	sc := bo.stats[ta.ID]
	running := max(sc.reported-sc.inFlightAtReport+sc.inFlight, sc.inFlight)
	return float64(running) / float64(max(ta.Slots, 1))
}

// meanLatency is the mean answer time over the targets of a service.
func (bo *Balancer) meanLatency(service string) time.Duration {
	var (
		sum   time.Duration
		count time.Duration
	)
	for _, ta := range bo.services[service] {
		if sc := bo.stats[ta.ID]; sc.latency > 0 {
			sum, count = sum+sc.latency, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

func (bo *Balancer) begin(id string) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	if sc := bo.stats[id]; sc != nil {
		sc.inFlight++
	}
}

// end records what came of an attempt. An attempt that was dropped here says
// nothing of the target.
func (bo *Balancer) end(now time.Time, id string, ou outcome, dropped bool) {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	sc := bo.stats[id]
	if sc == nil {
		return
	}
	then := sc.inFlight
	sc.inFlight--
	switch {
	case ou.err == nil:
		sc.failures, sc.lastUsed = 0, now
		sc.latency += time.Duration(latencyWeight * float64(ou.took-sc.latency))
		if ou.response.Slots > 0 {
			sc.reported, sc.inFlightAtReport = ou.response.Running+ou.response.Waiting, then // the answered request is still counted
		}
	case dropped:
	case ou.err.Code == core.CodeFull:
		sc.backoffUntil = now.Add(fullBackoff)
	default:
		sc.backoffUntil = now.Add(min(initialBackoff<<min(sc.failures, 6), maxBackoff)) // rule 6
		sc.failures++
	}
}

// retryAfter is when a place should be free: the mean answer time, spread so that
// refused callers do not return together.
func (bo *Balancer) retryAfter(now time.Time, service string, draw func(int) int) time.Duration {
	bo.mutex.Lock()
	defer bo.mutex.Unlock()
	wait := max(bo.meanLatency(service), minRetryAfter)
	for _, ta := range bo.services[service] {
		if left := bo.stats[ta.ID].backoffUntil.Sub(now); left > 0 && left < maxBackoff {
			wait = max(wait, min(left, maxRetryAfter))
		}
	}
	return min(wait+time.Duration(draw(int(wait))), maxRetryAfter)
}
