package place

import (
	"math"
	"slices"
	"time"

	"bilberryshelf/fleet"
)

// Snapshot is the state of a service's engines for one pass over the queue. It is
// not safe for concurrent use. Create it with NewSnapshot.
type Snapshot struct {
	engines []Engine
	// median is the median pace of the engines, quickest the pace that a quarter of them
	// reach.
	median, quickest time.Duration
	// positions maps the id of an engine to its position, once it is needed.
	positions map[string]int
}

// NewSnapshot returns a Snapshot that owns the slice; Assign modifies it.
func NewSnapshot(engines []Engine) *Snapshot {
	paces := sortedPaces(engines)
	if len(paces) == 0 {
		return &Snapshot{engines: engines}
	}
	return &Snapshot{engines: engines, median: paces[(len(paces)-1)/2], quickest: paces[(len(paces)-1)/4]}
}

// Engine returns the engine at a position.
func (sn *Snapshot) Engine(at int) Engine { return sn.engines[at] }

// Assign records that the engine at a position gets an item.
func (sn *Snapshot) Assign(at int, it Item) {
	sn.engines[at].Running++
	sn.engines[at].Load += it.Load
	sn.engines[at].Held += it.Tokens
	sn.engines[at].NotStarted++
	sn.engines[at].Permits--
}

// sortedPaces returns the paces of the engines for which it was measured, in ascending order.
func sortedPaces(engines []Engine) []time.Duration {
	var paces []time.Duration
	for _, en := range engines {
		if en.pace() > 0 {
			paces = append(paces, en.pace())
		}
	}
	slices.Sort(paces)
	return paces
}

// slow reports whether an engine is slow (rule 3).
func (sn *Snapshot) slow(en Engine) bool {
	return sn.median > 0 && float64(en.pace()) > SlowFactor*float64(sn.median)
}

// Choose returns the position of the engine for an item, or -1 if the item has to
// wait.
func (sn *Snapshot) Choose(it Item) int {
	fi := sn.filter(it)
	lowest := sn.minLoad(it, fi)
	best := -1
	for at, en := range sn.engines {
		if !sn.eligible(en, it, fi) {
			continue
		}
		if best < 0 || sn.preferred(en, sn.engines[best], it, lowest) {
			best = at
		}
	}
	switch {
	case best < 0 && it.MoveReason == "":
		return sn.fallback(it, fi)
	case best >= 0 && it.MoveReason == Emptied && !sn.quick(sn.engines[best]) && sn.quickByID(it.Avoid):
		return -1
	default:
		return best
	}
}

// quickByID reports whether the engine with an id is quick.
func (sn *Snapshot) quickByID(id string) bool {
	at := sn.position(id)
	return at >= 0 && sn.quick(sn.engines[at])
}

// position returns the position of the engine with an id, or -1.
func (sn *Snapshot) position(id string) int {
	if sn.positions == nil {
		sn.positions = make(map[string]int, len(sn.engines))
		for at, en := range sn.engines {
			sn.positions[en.ID] = at
		}
	}
	if at, found := sn.positions[id]; found {
		return at
	}
	return -1
}

// hasOwnModelEngine reports whether an engine of the item's own model can serve
// it, now or once a slot is free (rule 8).
func (sn *Snapshot) hasOwnModelEngine(it Item) bool {
	return slices.ContainsFunc(sn.engines, func(en Engine) bool {
		return !en.OtherModel && en.continues(it) && en.Version >= it.MinVersion && !en.BackingOff && !en.Loading
	})
}

// filter says which engines an item may use in the absence of better ones.
type filter struct {
	// otherModel permits engines that serve another model (rule 8), stale those whose
	// version no longer serves the newest step.
	otherModel, stale bool
}

func (sn *Snapshot) filter(it Item) filter {
	fi := filter{otherModel: !sn.hasOwnModelEngine(it)}
	fi.stale = !slices.ContainsFunc(sn.engines, func(en Engine) bool { return fi.canRun(en, it) })
	return fi
}

// canRun reports whether an engine may run an item, regardless of free slots and
// pace.
func (fi filter) canRun(en Engine, it Item) bool {
	return en.accepting() && en.continues(it) && en.Version >= it.MinVersion && (fi.otherModel || !en.OtherModel) && (fi.stale || !en.Stale)
}

// continues reports whether an engine can continue the text of an item (rule 10).
func (en Engine) continues(it Item) bool { return it.Software == "" || en.Software == it.Software }

// BeginsAnew reports whether an item for which Choose found no engine gives up its text
// (rule 10).
func (sn *Snapshot) BeginsAnew(it Item) bool {
	if it.Software == "" || (it.MoveReason != "" && it.MoveReason != Stalled) {
		return false
	}
	return it.Waited >= ContinuePatience || !slices.ContainsFunc(sn.engines, func(en Engine) bool { return en.continues(it) })
}

// PermitsWanted returns the number of permits that each engine with a limited rate lacks for
// the items of a queue, by position.
func (sn *Snapshot) PermitsWanted(queue []Item) map[int]int {
	wanted := map[int]int{}
	if !slices.ContainsFunc(sn.engines, func(en Engine) bool { return en.Limited }) {
		return wanted
	}
	for _, it := range queue {
		fi := sn.filter(it)
		for at, en := range sn.engines {
			if en.Limited && fi.canRun(en, it) && !sn.slow(en) && wanted[at] < en.idleSlots()-en.Permits {
				wanted[at]++
			}
		}
	}
	return wanted
}

// eligible reports whether a fast engine has a free slot for an item.
func (sn *Snapshot) eligible(en Engine, it Item, fi filter) bool {
	return fi.canRun(en, it) && en.freeSlots() > 0 && !sn.slow(en) && en.ID != it.Avoid && sn.endsEarlier(it, en)
}

// minLoad returns the lowest load among the eligible engines.
func (sn *Snapshot) minLoad(it Item, fi filter) float64 {
	lowest := math.Inf(1)
	for _, en := range sn.engines {
		if sn.eligible(en, it, fi) {
			lowest = min(lowest, en.Load)
		}
	}
	return lowest
}

// long reports whether an item is expected to run for LongRun or more.
func (sn *Snapshot) long(it Item) bool { return time.Duration(it.RemainingEvents)*sn.median >= LongRun }

// quick reports whether an engine is about as fast as the faster ones, or its pace is not
// known.
func (sn *Snapshot) quick(en Engine) bool {
	return float64(en.pace()) <= QuickFactor*float64(sn.quickest)
}

// preferred reports whether the engine lhs is preferred to rhs; both are eligible
// (rule 4).
func (sn *Snapshot) preferred(lhs, rhs Engine, it Item, lowest float64) bool {
	critical := sn.long(it) || it.MoveReason != ""
	if critical && sn.quick(lhs) != sn.quick(rhs) {
		return sn.quick(lhs)
	}
	if lhs.holds(it) != rhs.holds(it) {
		return lhs.holds(it)
	}
	if critical {
		if near := func(en Engine) bool { return en.Distance != fleet.OtherRegion }; near(lhs) != near(rhs) {
			return near(lhs)
		}
		if lhs.Version != rhs.Version {
			return lhs.Version > rhs.Version
		}
	}
	return preferredByLoad(lhs, rhs, it, lowest)
}

// preferredByLoad is the part of rule 4 that holds for items of any length.
func preferredByLoad(lhs, rhs Engine, it Item, lowest float64) bool {
	sameRegion := func(en Engine) bool { return en.Distance != fleet.OtherRegion && en.Load <= lowest+RegionSlack }
	if sameRegion(lhs) != sameRegion(rhs) {
		return sameRegion(lhs)
	}
	hasPrompt := func(en Engine) bool { return en.Groups[it.Group] > 0 && en.Load <= lowest+AffinitySlack }
	if hasPrompt(lhs) != hasPrompt(rhs) {
		return hasPrompt(lhs)
	}
	if lhs.Load != rhs.Load {
		return lhs.Load < rhs.Load
	}
	return lhs.Distance < rhs.Distance
}

// fallback returns the position of the fastest slow engine with a free slot, or
// -1. If a fast engine could run the item but is full, the item waits for it
// (rule 3).
func (sn *Snapshot) fallback(it Item, fi filter) int {
	best := -1
	for at, en := range sn.engines {
		if !fi.canRun(en, it) {
			continue
		}
		if !sn.slow(en) && en.ID != it.Avoid {
			return -1 // the item waits for this engine, which is full
		}
		if en.freeSlots() > 0 && (best < 0 || en.pace() < sn.engines[best].pace()) {
			best = at
		}
	}
	return best
}

// minProbeQueue is the shortest queue from which an item is used as a probe. In
// a shorter queue, each item may be the one that the step waits for.
const minProbeQueue = 4

// Probe returns the position of a slow engine to probe, and the position in the
// sorted queue of the item to probe it with. It returns ok false if there is none
// (rule 9).
func (sn *Snapshot) Probe(queue []Item) (engine, item int, ok bool) {
	if len(queue) < minProbeQueue {
		return 0, 0, false
	}
	item = len(queue) - 1
	if queue[item].MoveReason != "" {
		return 0, 0, false
	}
	engine = slices.IndexFunc(sn.engines, func(en Engine) bool {
		return en.PaceStale && en.Running == 0 && sn.slow(en) && filter{}.canRun(en, queue[item])
	})
	return engine, item, engine >= 0
}
