package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// concurrentLoadShare is the share of a service's engines that can load weights
// at once before the weight store slows down. The sheets give 2 loads for 8 and
// for 12 engines, and 8 for 42.
const concurrentLoadShare = 0.2

// MaxConcurrentLoads returns how many engines of a service may load weights at
// once, given the number of its engines.
func MaxConcurrentLoads(engines int) int {
	return max(1, int(concurrentLoadShare*float64(engines)+0.5))
}

// NextLoadDelay is the time from the start of a load until the next engine is
// emptied. A load takes 0.9 s by the sheets. Emptying an engine and detecting
// that it is idle takes up to 0.3 s.
const NextLoadDelay = 600 * time.Millisecond

const (
	// EmptyPatience is how long the runs of an engine that is emptied may take to end
	// before they move. Most items take less.
	EmptyPatience = 1500 * time.Millisecond
	// FreshShare is the share of a model's engines that must have the announced version
	// before the next step needs it.
	FreshShare = 0.5
)

// updating reports whether an engine counts towards MaxConcurrentLoads.
func (en Engine) updating() bool {
	if en.Loading {
		return en.LoadingFor < NextLoadDelay
	}
	return en.Emptying
}

// engineCounts summarizes the state of a model's engines during an update to a
// new version.
type engineCounts struct {
	// outdated holds the positions of the engines that may be emptied next.
	outdated []int
	// serving counts the engines that hold a permitted version, updating those of
	// them that count towards MaxConcurrentLoads.
	updating, serving int
	// fresh counts the engines that have the announced version or are about to.
	fresh int
	// freeSlots is the number of free slots of engines that accept items.
	freeSlots int
}

func countEngines(engines []Engine, model string, minVersion, announced uint64) engineCounts {
	var ec engineCounts
	for at, en := range engines {
		if en.Model != model || en.Version < minVersion {
			continue
		}
		ec.serving++
		if en.updating() {
			ec.updating++
		}
		if en.Version >= announced || en.Emptying || en.Loading {
			ec.fresh++
		}
		if en.Emptying || en.Loading {
			continue
		}
		ec.freeSlots += max(en.idleSlots(), 0)
		if en.Version < announced && !en.Skipped {
			ec.outdated = append(ec.outdated, at)
		}
	}
	return ec
}

// ChooseForLoad returns the positions of the engines to empty next, so that they
// can load the announced version (rule 6).
func ChooseForLoad(engines []Engine, model string, minVersion, announced uint64) []int {
	ec := countEngines(engines, model, minVersion, announced)
	slices.SortStableFunc(ec.outdated, func(lhs, rhs int) int {
		// An engine that is two versions behind can't serve the newer steps.
		if farBehind := func(at int) bool { return engines[at].Version+1 < announced }; farBehind(lhs) != farBehind(rhs) {
			if farBehind(lhs) {
				return -1
			}
			return 1
		}
		if order := cmp.Compare(engines[lhs].BusyFor, engines[rhs].BusyFor); order != 0 {
			return order
		}
		return cmp.Compare(engines[lhs].Load, engines[rhs].Load)
	})
	enough := int(math.Ceil(FreshShare * float64(ec.serving)))
	limit := min(MaxConcurrentLoads(ec.serving), ec.serving-1) - ec.updating
	var chosen []int
	for _, at := range ec.outdated {
		ec.freeSlots -= max(engines[at].idleSlots(), 0)
		if len(chosen) >= limit || ec.freeSlots < engines[at].Running {
			break
		}
		if engines[at].BusyFor > EmptyPatience && ec.fresh+len(chosen) >= enough {
			break
		}
		ec.freeSlots -= engines[at].Running
		chosen = append(chosen, at)
	}
	return chosen
}
