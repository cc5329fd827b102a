package poison

import (
	"sync"
	"time"
)

// DefaultLapse is how long a loss is remembered, as poison-lapse of the product's
// settings.
const DefaultLapse = 10 * time.Minute

// MostDeaths is how many deaths a request may cause at LeastTargets different
// targets, MostAtOne at fewer: an innocent one is at as many deaths in a row only by
// rare chance, and one bad target does not soon condemn.
const (
	MostDeaths   = 3
	LeastTargets = 2
	MostAtOne    = 6
)

// DeathWithin is how long after a loss its target must be found dead: a registry
// drops a silent target after some 4 s, by the platform's page.
const DeathWithin = 8 * time.Second

// mostKept bounds the requests that losses are kept of, at some 200 bytes each.
const mostKept = 10000

// mostOpen bounds the losses of one target that wait for its death: the requests
// that it runs and queues.
const mostOpen = 64

// Loss is a target that ended the connection while it ran a request.
type Loss struct {
	Digest uint64
	// Target is the target that was lost, Attempt tells its losses apart.
	Target  string
	Attempt uint64
	// Until is when the loss lapses.
	Until time.Time
}

// Tally counts the targets that requests crashed, where nobody can make a suspect
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
type Tally struct {
	// Lapse is how long a death counts; zero means DefaultLapse.
	Lapse time.Duration

	mutex  sync.Mutex
	losses map[uint64]map[site]time.Time
	// open holds the losses of targets that are not known to be dead.
	open map[string][]openLoss
}

// site tells the losses of one request apart.
type site struct {
	target  string
	attempt uint64
}

type openLoss struct {
	loss Loss
	at   time.Time
}

// Lost records a loss that was seen here.
func (ta *Tally) Lost(now time.Time, digest uint64, target string, attempt uint64) {
	lapse := ta.Lapse
	if lapse <= 0 {
		lapse = DefaultLapse
	}
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	if ta.open == nil {
		ta.open = map[string][]openLoss{}
	}
	if len(ta.open[target]) < mostOpen {
		lo := Loss{Digest: digest, Target: target, Attempt: attempt, Until: now.Add(lapse)}
		ta.open[target] = append(ta.open[target], openLoss{loss: lo, at: now})
	}
}

// Lives records an answer of a target (rule 1).
func (ta *Tally) Lives(target string) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	delete(ta.open, target)
}

// Died records that a target was found dead, and returns the losses that count
// from now on.
func (ta *Tally) Died(now time.Time, target string) []Loss {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	var counted []Loss
	for _, op := range ta.open[target] {
		if now.Sub(op.at) <= DeathWithin {
			counted = append(counted, op.loss)
			ta.count(op.loss)
		}
	}
	delete(ta.open, target)
	return counted
}

// Take records a loss that counts at another tally (rule 3).
func (ta *Tally) Take(lo Loss) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	ta.count(lo)
}

func (ta *Tally) count(lo Loss) {
	if ta.losses == nil {
		ta.losses = map[uint64]map[site]time.Time{}
	}
	if ta.losses[lo.Digest] == nil {
		ta.makeRoom()
		ta.losses[lo.Digest] = map[site]time.Time{}
	}
	ta.losses[lo.Digest][site{target: lo.Target, attempt: lo.Attempt}] = lo.Until
}

// makeRoom forgets the losses of any one request when there are too many.
func (ta *Tally) makeRoom() {
	if len(ta.losses) < mostKept {
		return
	}
	for digest := range ta.losses {
		delete(ta.losses, digest)
		return
	}
}

// Condemned tells whether a request may cost no more targets (rule 2).
func (ta *Tally) Condemned(now time.Time, digest uint64) bool {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	count, targets := 0, map[string]bool{}
	for pl, until := range ta.losses[digest] {
		if now.Before(until) {
			count++
			targets[pl.target] = true
		}
	}
	return count >= MostAtOne || (count >= MostDeaths && len(targets) >= LeastTargets)
}

// Sweep forgets losses that lapsed, and returns those that counted.
func (ta *Tally) Sweep(now time.Time) []Loss {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
	for target, open := range ta.open {
		if now.Sub(open[len(open)-1].at) > DeathWithin {
			delete(ta.open, target)
		}
	}
	var lapsed []Loss
	for digest, losses := range ta.losses {
		for pl, until := range losses {
			if now.Before(until) {
				continue
			}
			delete(losses, pl)
			lapsed = append(lapsed, Loss{Digest: digest, Target: pl.target, Attempt: pl.attempt, Until: until})
		}
		if len(losses) == 0 {
			delete(ta.losses, digest)
		}
	}
	return lapsed
}
