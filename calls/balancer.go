package calls

import (
	"slices"
	"sync"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

const (
	// initialBackoff is how long a target is avoided after a failure. It doubles with
	// each consecutive failure, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fullBackoff is how long a target is avoided after it refused a request because
	// it was full.
	fullBackoff = 60 * time.Millisecond
	// maxLocalLoad is the share of used slots up to which a target in the entry's own
	// failure domain or region is preferred: traffic between domains costs money.
	maxLocalLoad = 0.7
	// keepAlive is the time for which an idle connection to a target is certain to stay
	// open. A target used within it is preferred up to maxWarmLoad, since a new
	// connection costs money and briefly occupies a slot.
	keepAlive   = 3 * time.Second
	maxWarmLoad = 0.5
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// slowRatio is the ratio of a target's mean latency to the mean of its service
	// above which other targets are preferred.
	slowRatio = 2.5
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// faultyAfter is the number of consecutive failures from which a target in backoff is not
	// used while a sound one exists, and soundFor is how long a response shows that a target is
	// sound.
	faultyAfter = 3
	soundFor    = 10 * time.Second
	// versionRetention bounds the memory of software versions that are gone.
	versionRetention = 10 * time.Minute
)

// targetStats holds the load, latency and failures of one target, as learned from its
// responses. inFlight counts the requests of this entry only.
type targetStats struct {
	inFlight         int
	reported         int
	inFlightAtReport int
	failures         int
	backoffUntil     time.Time
	latency          time.Duration
	// lastUsed is the time of the last successful response.
	lastUsed  time.Time
	slowdowns slowdowns
}

// Balancer chooses among the targets of a service by distance, load, latency and
// recent failures. It is safe for concurrent use. The zero value has no targets.
type Balancer struct {
	mutex    sync.Mutex
	services map[string][]fleet.Target
	stats    map[string]*targetStats
	// goneSince maps the software versions that served to when their last target that takes
	// work was gone, zero while there is one. servedSince maps a service to when it had
	// targets first.
	goneSince   map[Origin]time.Time
	servedSince map[string]time.Time
	demands     map[string]*demand
}

// goneFor returns for how long no target of a software version has taken work, zero if one
// does. It is not known while the service has no targets at all.
func (ba *Balancer) goneFor(now time.Time, origin Origin) (gone time.Duration, known bool) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	since, found := ba.goneSince[origin]
	switch {
	case found && since.IsZero():
		return 0, true
	case found:
		return now.Sub(since), true
	case ba.servedSince[origin.Service].IsZero():
		return 0, false
	default:
		return now.Sub(ba.servedSince[origin.Service]), true
	}
}

// recordVersions records since when which software versions take no work. It keeps a version
// for versionRetention.
func (ba *Balancer) recordVersions(now time.Time) {
	if ba.goneSince == nil {
		ba.goneSince, ba.servedSince = map[Origin]time.Time{}, map[string]time.Time{}
	}
	serving := map[Origin]bool{}
	for service, targets := range ba.services {
		if ba.servedSince[service].IsZero() {
			ba.servedSince[service] = now
		}
		for _, ta := range targets {
			serving[Origin{service, ta.Software}] = true
		}
	}
	for origin := range serving {
		ba.goneSince[origin] = time.Time{}
	}
	for origin, since := range ba.goneSince {
		switch {
		case serving[origin]:
		case since.IsZero():
			ba.goneSince[origin] = now
		case now.Sub(since) > versionRetention:
			delete(ba.goneSince, origin)
		}
	}
}

// Update replaces the list of targets and returns the ids of those that are no
// longer in it.
func (ba *Balancer) Update(now time.Time, all []fleet.Target) (removed []string) {
	services, stats := map[string][]fleet.Target{}, map[string]*targetStats{}
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	for _, ta := range all {
		ts := ba.stats[ta.ID]
		if ts == nil {
			ts = &targetStats{}
		}
		stats[ta.ID] = ts
		if !ta.Draining {
			services[ta.Service] = append(services[ta.Service], ta)
		}
	}
	for id := range ba.stats {
		if stats[id] == nil {
			removed = append(removed, id)
		}
	}
	ba.services, ba.stats = services, stats
	ba.recordVersions(now)
	return removed
}

// pickTarget returns the less loaded of two random targets of the best class that has
// any, without those already tried (rule 1).
//
// Accepts restricts the targets; nil accepts all.
//
// Permits returns whether a target limits its rate and the number of permits at hand.
// Without a permit such a target is not chosen but returned as limited.
func (ba *Balancer) pickTarget(now time.Time, service string, accepts func(fleet.Target) bool, tried []string, permits func(fleet.Target) (bool, int), intN func(int) int) (
	ta fleet.Target, limited []fleet.Target, found bool,
) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	var classes [classCount][]fleet.Target
	mean, avoid := ba.meanLatency(service), ba.hasSound(now, service, accepts)
	for _, ta := range ba.services[service] {
		if slices.Contains(tried, ta.ID) || (accepts != nil && !accepts(ta)) || (avoid && ba.stats[ta.ID].faulty(now)) {
			continue
		}
		cl := ba.class(now, ta, mean)
		if isLimited, count := permits(ta); isLimited && count == 0 {
			limited = append(limited, ta)
			continue
		} else if isLimited {
			cl = max(cl, remoteOrBusy)
		}
		classes[cl] = append(classes[cl], ta)
	}
	for _, from := range classes {
		if len(from) > 0 {
			return ba.better(now, from[intN(len(from))], from[intN(len(from))]), limited, true
		}
	}
	return fleet.Target{}, limited, false
}

// hasSound reports whether a target of a service has not failed since its last response, which
// was not long ago. It may be full.
func (ba *Balancer) hasSound(now time.Time, service string, accepts func(fleet.Target) bool) bool {
	return slices.ContainsFunc(ba.services[service], func(ta fleet.Target) bool {
		ts := ba.stats[ta.ID]
		return ts.failures == 0 && !ts.lastUsed.IsZero() && now.Sub(ts.lastUsed) < soundFor && (accepts == nil || accepts(ta))
	})
}

// faulty reports whether a target fails again and again, and is in backoff.
func (ts *targetStats) faulty(now time.Time) bool {
	return ts.failures >= faultyAfter && now.Before(ts.backoffUntil)
}

// The classes of targets in order of preference.
const (
	warm = iota // in the entry's region, recently used, no request in flight, low load
	sameDomain
	sameRegion
	remoteOrBusy // in another region, load not below maxLocalLoad, or with a limited rate
	degraded     // slow or in backoff
	classCount
)

func (ba *Balancer) class(now time.Time, ta fleet.Target, mean time.Duration) int {
	ts, load := ba.stats[ta.ID], ba.slowedLoad(now, ta)
	switch {
	case ts.slow(mean) || now.Before(ts.backoffUntil):
		return degraded
	case ta.Distance == fleet.OtherRegion:
		return remoteOrBusy
	case now.Sub(ts.lastUsed) < keepAlive && ts.inFlight == 0 && load < maxWarmLoad: // a target with a request in flight has no idle connection
		return warm
	case ta.Distance == fleet.SameDomain && load < maxLocalLoad:
		return sameDomain
	case load < maxLocalLoad:
		return sameRegion
	default:
		return remoteOrBusy
	}
}

// slow reports whether the mean latency exceeds that of the service by slowRatio. On a shared
// host that is no reason to avoid a target: it is used where the others have longer queues.
func (ts *targetStats) slow(mean time.Duration) bool {
	return mean > 0 && !ts.slowdowns.known() && float64(ts.latency) > slowRatio*float64(mean)
}

func (ba *Balancer) lessLoaded(lhs, rhs fleet.Target) fleet.Target {
	if ba.load(rhs) < ba.load(lhs) {
		return rhs
	}
	return lhs
}

// load returns the share of its slots that a target uses.
func (ba *Balancer) load(ta fleet.Target) float64 {
	return float64(ba.stats[ta.ID].running()) / float64(max(ta.Slots, 1))
}

// running returns the load that a target reported, corrected by the requests of this entry
// that have started and ended since.
func (ts *targetStats) running() int {
	return max(ts.reported-ts.inFlightAtReport+ts.inFlight, ts.inFlight)
}

// meanLatency returns the mean latency over the targets of a service, zero if unknown.
func (ba *Balancer) meanLatency(service string) time.Duration {
	var (
		sum   time.Duration
		count time.Duration
	)
	for _, ta := range ba.services[service] {
		if ts := ba.stats[ta.ID]; ts.latency > 0 {
			sum, count = sum+ts.latency, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

func (ba *Balancer) begin(id string) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	if ts := ba.stats[id]; ts != nil {
		ts.inFlight++
	}
}

// end records the outcome of an attempt. An attempt that this entry canceled does not
// count for or against the target.
func (ba *Balancer) end(now time.Time, id string, ou outcome, canceled bool) {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	ts := ba.stats[id]
	if ts == nil {
		return
	}
	then := ts.inFlight
	ts.inFlight--
	switch {
	case ou.err == nil:
		ts.failures, ts.lastUsed = 0, now
		ts.latency += time.Duration(latencyWeight * float64(ou.took-ts.latency))
		if ou.response.Slowdown > 0 {
			ts.slowdowns = ts.slowdowns.add(now, ou.took, ou.response.Slowdown)
		}
		if ou.response.Slots > 0 {
			ts.reported, ts.inFlightAtReport = ou.response.Running+ou.response.Waiting, then // the reported load still includes the answered request
		}
	case canceled || ou.err.Code == core.CodeTargetLimit:
	case ou.err.Code == core.CodeFull:
		ts.backoffUntil = now.Add(fullBackoff)
	default:
		ts.backoffUntil = now.Add(min(initialBackoff<<min(ts.failures, 6), maxBackoff)) // rule 6
		ts.failures++
	}
}

// retryAfter estimates when a slot becomes free: the mean latency plus jitter, so that
// refused callers do not all retry at the same time.
func (ba *Balancer) retryAfter(now time.Time, service string, intN func(int) int) time.Duration {
	ba.mutex.Lock()
	defer ba.mutex.Unlock()
	wait := max(ba.meanLatency(service), minRetryAfter)
	for _, ta := range ba.services[service] {
		if left := ba.stats[ta.ID].backoffUntil.Sub(now); left > 0 && left < maxBackoff {
			wait = max(wait, min(left, maxRetryAfter))
		}
	}
	return min(wait+time.Duration(intN(int(wait))), maxRetryAfter)
}
