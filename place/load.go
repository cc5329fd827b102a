package place

import (
	"cmp"
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
		if en.Emptying || en.Loading {
			continue
		}
		ec.freeSlots += max(en.freeSlots(), 0)
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
		return cmp.Compare(engines[lhs].Load, engines[rhs].Load)
	})
	limit := min(MaxConcurrentLoads(ec.serving), ec.serving-1) - ec.updating
	var chosen []int
	for _, at := range ec.outdated {
		ec.freeSlots -= max(engines[at].freeSlots(), 0)
		if len(chosen) >= limit || ec.freeSlots < engines[at].Running {
			break
		}
		ec.freeSlots -= engines[at].Running
		chosen = append(chosen, at)
	}
	return chosen
}
