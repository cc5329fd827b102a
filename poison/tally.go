package poison

import (
	"sync"
	"time"
)

// DefaultTTL is how long a loss is remembered, as poison-lapse of the product's
// settings.
const DefaultTTL = 10 * time.Minute

// MostDeaths is how many deaths a request may cause at LeastTargets different
// targets, MostAtOne at fewer: an innocent one is at as many deaths in a row only by
// rare chance, and one bad target does not soon condemn.
const (
	MaxDeaths      = 3
	MinTargets     = 2
	MaxDeathsAtOne = 6
)

// ConfirmWindow is how long after a loss its target must be found dead: a registry
// drops a silent target after some 4 s, by the platform's page.
const ConfirmWindow = 8 * time.Second

// maxRequests bounds the requests that losses are kept of, at some 200 bytes each.
const maxRequests = 10000

// maxPending bounds the losses of one target that wait for its death: the requests
// that it runs and queues.
const maxPending = 64

// Loss is a target that ended the connection while it ran a request.
type Loss struct {
	Digest uint64
	// Target is the target that was lost, Attempt tells its losses apart.
	Target  string
	Attempt uint64
	// Expires is when the loss lapses.
	Expires time.Time
}

// Counter counts the targets that requests crashed, where nobody can make a suspect
// run alone. It is safe for concurrent use. The zero value knows no loss.
//
//  1. A target that breaks off while it has a request is a loss. The loss counts
//     once the target is found dead within DeathWithin; an answer of the target
//     shows that it lives, and that only the request's answer was lost.
//  2. From MostDeaths deaths at LeastTargets targets on, or MostAtOne at one, a
//     request is condemned: it is refused at once until fewer deaths are left that
//     have not lapsed.
//  3. Deaths that others saw count like own ones, so a request that comes again
//     at another entry is known there. One that is told twice counts once.
type Counter struct {
	// TTL is how long a death counts; zero means DefaultLapse.
	TTL time.Duration

	mutex  sync.Mutex
	losses map[uint64]map[lossKey]time.Time
	// pending holds the losses of targets that are not known to be dead.
	pending map[string][]pendingLoss
}

// lossKey tells the losses of one request apart.
type lossKey struct {
	target  string
	attempt uint64
}

type pendingLoss struct {
	loss Loss
	at   time.Time
}

// RecordLoss records a loss that was seen here.
func (ta *Counter) RecordLoss(now time.Time, digest uint64, target string, attempt uint64) {
	lapse := ta.TTL
	if lapse <= 0 {
		lapse = DefaultTTL
	}
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	if ta.pending == nil {
		ta.pending = map[string][]pendingLoss{}
	}
	if len(ta.pending[target]) < maxPending {
		lo := Loss{Digest: digest, Target: target, Attempt: attempt, Expires: now.Add(lapse)}
		ta.pending[target] = append(ta.pending[target], pendingLoss{loss: lo, at: now})
	}
}

// RecordAlive records an answer of a target (rule 1).
func (ta *Counter) RecordAlive(target string) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	delete(ta.pending, target)
}

// RecordDeath records that a target was found dead, and returns the losses that count
// from now on.
func (ta *Counter) RecordDeath(now time.Time, target string) []Loss {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	var counted []Loss
	for _, op := range ta.pending[target] {
		if now.Sub(op.at) <= ConfirmWindow {
			counted = append(counted, op.loss)
			ta.count(op.loss)
		}
	}
	delete(ta.pending, target)
	return counted
}

// Add records a loss that counts at another tally (rule 3).
func (ta *Counter) Add(lo Loss) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	ta.count(lo)
}

func (ta *Counter) count(lo Loss) {
	if ta.losses == nil {
		ta.losses = map[uint64]map[lossKey]time.Time{}
	}
	if ta.losses[lo.Digest] == nil {
		ta.evictAny()
		ta.losses[lo.Digest] = map[lossKey]time.Time{}
	}
	ta.losses[lo.Digest][lossKey{target: lo.Target, attempt: lo.Attempt}] = lo.Expires
}

// evictAny forgets the losses of any one request when there are too many.
func (ta *Counter) evictAny() {
	if len(ta.losses) < maxRequests {
		return
	}
	for digest := range ta.losses {
		delete(ta.losses, digest)
		return
	}
}

// Condemned tells whether a request may cost no more targets (rule 2).
func (ta *Counter) Condemned(now time.Time, digest uint64) bool {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	count, targets := 0, map[string]bool{}
	for pl, until := range ta.losses[digest] {
		if now.Before(until) {
			count++
			targets[pl.target] = true
		}
	}
	return count >= MaxDeathsAtOne || (count >= MaxDeaths && len(targets) >= MinTargets)
}

// Sweep forgets losses that lapsed, and returns those that counted.
func (ta *Counter) Sweep(now time.Time) []Loss {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	for target, open := range ta.pending {
		if now.Sub(open[len(open)-1].at) > ConfirmWindow {
			delete(ta.pending, target)
		}
	}
	var lapsed []Loss
	for digest, losses := range ta.losses {
		for pl, until := range losses {
			if now.Before(until) {
				continue
			}
			delete(losses, pl)
			lapsed = append(lapsed, Loss{Digest: digest, Target: pl.target, Attempt: pl.attempt, Expires: until})
		}
		if len(losses) == 0 {
			delete(ta.losses, digest)
		}
	}
	return lapsed
}
