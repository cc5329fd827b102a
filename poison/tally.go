package poison

import (
	"sync"
	"time"
)

// DefaultLapse is how long a loss is remembered, as poison-lapse of the product's
// settings.
const DefaultLapse = 10 * time.Minute

// MostLosses is how many losses a request may cause at LeastTargets different
// targets, MostAtOne at fewer: an innocent one meets as many crashes, resets or lost
// answers in a row only by rare chance, and one bad target does not soon condemn.
const (
	MostLosses   = 3
	LeastTargets = 2
	MostAtOne    = 6
)

// mostKept bounds the requests that losses are kept of, at some 200 bytes each.
const mostKept = 10000

// Loss is a target that ended the connection while it ran a request.
type Loss struct {
	Digest uint64
	// Target is the target that was lost, Attempt tells its losses apart.
	Target  string
	Attempt uint64
	// Until is when the loss lapses.
	Until time.Time
}

// Tally counts the targets that requests cost, where nobody can make a suspect
// run alone. It is safe for concurrent use. The zero value knows no loss.
//
//  1. From MostLosses losses at LeastTargets targets on, or MostAtOne at one, a
//     request is condemned: it is refused at once until fewer losses are left that
//     have not lapsed.
//  2. Losses that others saw count like own ones, so a request that comes again
//     at another entry is known there. One that is told twice counts once.
type Tally struct {
	// Lapse is how long a loss counts; zero means DefaultLapse.
	Lapse time.Duration

	mutex  sync.Mutex
	losses map[uint64]map[site]time.Time
}

// site tells the losses of one request apart.
type site struct {
	target  string
	attempt uint64
}

// Lost records a loss that was seen here.
func (ta *Tally) Lost(now time.Time, digest uint64, target string, attempt uint64) Loss {
	lapse := ta.Lapse
	if lapse <= 0 {
		lapse = DefaultLapse
	}
	lo := Loss{Digest: digest, Target: target, Attempt: attempt, Until: now.Add(lapse)}
	ta.Take(lo)
	return lo
}

// Take records a loss that another tally knows (rule 2).
func (ta *Tally) Take(lo Loss) {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
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

// Condemned tells whether a request may cost no more targets (rule 1).
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
	return count >= MostAtOne || (count >= MostLosses && len(targets) >= LeastTargets)
}

// Sweep forgets losses that lapsed, and returns them.
func (ta *Tally) Sweep(now time.Time) []Loss {
	ta.mutex.Lock()
	defer ta.mutex.Unlock()
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
