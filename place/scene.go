package place

import (
	"math"
	"slices"
	"time"

	"bilberryshelf/fleet"
)

// Snapshot is the engines of a service at one moment, as one placing sees them. It
// is not safe for concurrent use. Make it with NewScene.
type Snapshot struct {
	engines []Engine
	median  time.Duration
}

// NewSnapshot takes engines over; Take changes them.
func NewSnapshot(engines []Engine) *Snapshot {
	return &Snapshot{engines: engines, median: median(engines)}
}

// Engine returns the engine at a position.
func (sc *Snapshot) Engine(at int) Engine { return sc.engines[at] }

// Assign records that an item goes to the engine at a position.
func (sc *Snapshot) Assign(at int, it Item) {
	sc.engines[at].Running++
	sc.engines[at].Load += it.Load
	sc.engines[at].NotStarted++
}

// median is the median pace of the engines that have one.
func median(engines []Engine) time.Duration {
	var paces []time.Duration
	for _, en := range engines {
		if en.Pace > 0 {
			paces = append(paces, en.Pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// slow tells whether an engine is outside of the fastest class.
func (sc *Snapshot) slow(en Engine) bool {
	return sc.median > 0 && float64(en.Pace) > SlowFactor*float64(sc.median)
}

// Choose returns the position of the engine for an item, or -1.
func (sc *Snapshot) Choose(it Item) int {
	foreign := !sc.hasOwnModelEngine(it)
	least := sc.minLoad(it, foreign)
	best := -1
	for at, en := range sc.engines {
		if !sc.eligible(en, it, foreign) {
			continue
		}
		if best < 0 || preferred(en, sc.engines[best], it, least) {
			best = at
		}
	}
	if best < 0 && it.MoveReason == "" {
		return sc.fallback(it, foreign)
	}
	return best
}

// hasOwnModelEngine tells whether an engine of the item's own model could take it, now or
// soon (rule 8).
func (sc *Snapshot) hasOwnModelEngine(it Item) bool {
	return slices.ContainsFunc(sc.engines, func(en Engine) bool {
		return !en.OtherModel && en.Version >= it.Oldest && !en.BackingOff && !en.Loading
	})
}

// canRun tells whether an engine may run an item at all.
func canRun(en Engine, it Item, foreign bool) bool {
	return en.open() && en.Version >= it.Oldest && (foreign || !en.OtherModel)
}

// eligible tells whether an engine of the fastest class has room for an item.
func (sc *Snapshot) eligible(en Engine, it Item, foreign bool) bool {
	return canRun(en, it, foreign) && en.freeSlots() > 0 && !sc.slow(en) && en.ID != it.Avoid
}

// minLoad is the least load of an engine that the item may go to.
func (sc *Snapshot) minLoad(it Item, foreign bool) float64 {
	least := math.Inf(1)
	for _, en := range sc.engines {
		if sc.eligible(en, it, foreign) {
			least = min(least, en.Load)
		}
	}
	return least
}

// preferred orders two engines of the fastest class (rule 4).
func preferred(lhs, rhs Engine, it Item, least float64) bool {
	local := func(en Engine) bool { return en.Distance != fleet.OtherRegion && en.Load <= least+RegionSlack }
	if local(lhs) != local(rhs) {
		return local(lhs)
	}
	near := func(en Engine) bool { return en.Groups[it.Group] > 0 && en.Load <= least+AffinitySlack }
	if near(lhs) != near(rhs) {
		return near(lhs)
	}
	if lhs.Load != rhs.Load {
		return lhs.Load < rhs.Load
	}
	return lhs.Distance < rhs.Distance
}

// fallback finds a slow engine, if every other one that could serve the item
// is out of sight; a full one is waited for (rule 3).
func (sc *Snapshot) fallback(it Item, foreign bool) int {
	best := -1
	for at, en := range sc.engines {
		if !canRun(en, it, foreign) {
			continue
		}
		if !sc.slow(en) && en.ID != it.Avoid {
			return -1 // a good one is only full
		}
		if en.freeSlots() > 0 && (best < 0 || en.Pace < sc.engines[best].Pace) {
			best = at
		}
	}
	return best
}

// minProbeQueue is the number of waiting items from which one may be risked on a
// probe: with fewer, one of them may be what the step waits for.
const minProbeQueue = 4

// Probe finds a slow engine that should be probed and returns its position, with
// that of the item in an ordered queue; ok is false if there is none (rule 9).
func (sc *Snapshot) Probe(queue []Item) (engine, item int, ok bool) {
	if len(queue) < minProbeQueue {
		return 0, 0, false
	}
	item = len(queue) - 1
	if queue[item].MoveReason != "" {
		return 0, 0, false
	}
	engine = slices.IndexFunc(sc.engines, func(en Engine) bool {
		return en.PaceStale && en.Running == 0 && sc.slow(en) && canRun(en, queue[item], false)
	})
	return engine, item, engine >= 0
}
