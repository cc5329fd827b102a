package poison

import (
	"sync"
	"time"
)

// DefaultTTL is the time until a loss expires, the default of the setting poison-lapse.
const DefaultTTL = 10 * time.Minute

// A request is condemned after MaxDeaths deaths at MinTargets or more different targets,
// or after MaxDeathsAtOne deaths at fewer. A harmless request is rarely present at that
// many deaths by chance, and a single faulty target needs more deaths to condemn one.
const (
	MaxDeaths      = 3
	MinTargets     = 2
	MaxDeathsAtOne = 6
)

// ConfirmWindow is the time after a loss within which its target must be found dead for
// the loss to count. The registry drops a target that stops responding after about 4 s,
// according to the platform's documentation.
const ConfirmWindow = 8 * time.Second

// maxRequests is the maximum number of requests with losses, at about 200 bytes each.
const maxRequests = 10000

// maxPending is the maximum number of pending losses of one target: the requests that
// it may run and queue.
const maxPending = 64

// Loss records that a target closed the connection while it had a request.
type Loss struct {
	Digest uint64
	// Target is the id of the lost target. Attempt distinguishes the losses of one
	// request at the same target.
	Target  string
	Attempt uint64
	// Expires is the time from which the loss no longer counts.
	Expires time.Time
}

// Counter counts the targets that each request crashed. It serves services where a
// suspect cannot be made to run alone, so List does not apply. It is safe for concurrent
// use. The zero value is empty.
//
//  1. A target that closes the connection while it has a request is a pending loss. The
//     loss counts as a death if the target is found dead within ConfirmWindow. A later
//     response of the target shows that it is alive and that only one response was lost.
//  2. After MaxDeaths deaths at MinTargets targets, or MaxDeathsAtOne at one, a request
//     is condemned: it is refused at once until enough of its deaths have expired.
//  3. Deaths seen by other entries count like local ones, so a request is refused at
//     every entry. A death that is reported twice counts once.
type Counter struct {
	// TTL is the time for which a death counts; zero means DefaultTTL.
	TTL time.Duration

	mutex  sync.Mutex
	losses map[uint64]map[lossKey]time.Time
	// pending holds, by target, the losses of targets that are not known to be dead.
	pending map[string][]pendingLoss
}

// lossKey identifies a loss among those of one request.
type lossKey struct {
	target  string
	attempt uint64
}

type pendingLoss struct {
	loss Loss
	at   time.Time
}

// RecordLoss records a loss seen by this entry. It is pending until RecordDeath.
func (co *Counter) RecordLoss(now time.Time, digest uint64, target string, attempt uint64) {
	ttl := co.TTL
	if ttl <= 0 {
		ttl = DefaultTTL
	}
	co.mutex.Lock()
	defer co.mutex.Unlock()
	if co.pending == nil {
		co.pending = map[string][]pendingLoss{}
	}
	if len(co.pending[target]) < maxPending {
		lo := Loss{Digest: digest, Target: target, Attempt: attempt, Expires: now.Add(ttl)}
		co.pending[target] = append(co.pending[target], pendingLoss{loss: lo, at: now})
	}
}

// RecordAlive records a response of a target and drops its pending losses (rule 1).
func (co *Counter) RecordAlive(target string) {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	delete(co.pending, target)
}

// RecordDeath records that a target was found dead and returns its pending losses that
// count from now on.
func (co *Counter) RecordDeath(now time.Time, target string) []Loss {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	var counted []Loss
	for _, pe := range co.pending[target] {
		if now.Sub(pe.at) <= ConfirmWindow {
			counted = append(counted, pe.loss)
			co.count(pe.loss)
		}
	}
	delete(co.pending, target)
	return counted
}

// Add records a loss that another entry has counted (rule 3).
func (co *Counter) Add(lo Loss) {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	co.count(lo)
}

func (co *Counter) count(lo Loss) {
	if co.losses == nil {
		co.losses = map[uint64]map[lossKey]time.Time{}
	}
	if co.losses[lo.Digest] == nil {
		co.evictAny()
		co.losses[lo.Digest] = map[lossKey]time.Time{}
	}
	co.losses[lo.Digest][lossKey{target: lo.Target, attempt: lo.Attempt}] = lo.Expires
}

// evictAny drops the losses of an arbitrary request if there are too many.
func (co *Counter) evictAny() {
	if len(co.losses) < maxRequests {
		return
	}
	for digest := range co.losses {
		delete(co.losses, digest)
		return
	}
}

// Condemned reports whether a request must not be sent to any more targets (rule 2).
func (co *Counter) Condemned(now time.Time, digest uint64) bool {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	count, targets := 0, map[string]bool{}
	for key, expires := range co.losses[digest] {
		if now.Before(expires) {
			count++
			targets[key.target] = true
		}
	}
	return count >= MaxDeathsAtOne || (count >= MaxDeaths && len(targets) >= MinTargets)
}

// Sweep drops expired losses and returns those that had counted.
func (co *Counter) Sweep(now time.Time) []Loss {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	for target, pending := range co.pending {
		if now.Sub(pending[len(pending)-1].at) > ConfirmWindow {
			delete(co.pending, target)
		}
	}
	var expired []Loss
	for digest, losses := range co.losses {
		for key, expires := range losses {
			if now.Before(expires) {
				continue
			}
			delete(losses, key)
			expired = append(expired, Loss{Digest: digest, Target: key.target, Attempt: key.attempt, Expires: expires})
		}
		if len(losses) == 0 {
			delete(co.losses, digest)
		}
	}
	return expired
}
