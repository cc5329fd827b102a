package place

import (
	"cmp"
	"slices"
	"time"
)

// concurrentLoadShare is the loads that the weight store serves together at full speed,
// over the engines of a service, by the sheets: 2 of 8 and of 12, 8 of 42.
const concurrentLoadShare = 0.2

// MaxConcurrentLoads is how many of a number of engines load at once.
func MaxConcurrentLoads(engines int) int {
	return max(1, int(concurrentLoadShare*float64(engines)+0.5))
}

// NextLoadDelay is how long a load has run when the next engine is emptied: a load
// takes 0.9 s by the sheets, and an engine is idle and known to be within 0.3 s.
const NextLoadDelay = 600 * time.Millisecond

// updating tells whether an engine has one of the places for emptied engines.
func (en Engine) updating() bool {
	if en.Loading {
		return en.LoadingFor < NextLoadDelay
	}
	return en.Emptying
}

// engineCounts counts the engines of a model by what they may do for the next version.
type engineCounts struct {
	// outdated holds the positions of engines that could be emptied.
	outdated []int
	// updating engines are emptied or load, serving ones hold a permitted version.
	updating, serving int
	// freeSlots is the number of free slots of engines that take items.
	freeSlots int
}

func countEngines(engines []Engine, model string, oldest, named uint64) engineCounts {
	var ce engineCounts
	for at, en := range engines {
		if en.Model != model || en.Version < oldest {
			continue
		}
		ce.serving++
		if en.updating() {
			ce.updating++
		}
		if en.Emptying || en.Loading {
			continue
		}
		ce.freeSlots += max(en.freeSlots(), 0)
		if en.Version < named && !en.Skipped {
			ce.outdated = append(ce.outdated, at)
		}
	}
	return ce
}

// ChooseForLoad chooses the engines to be emptied next (rule 6).
func ChooseForLoad(engines []Engine, model string, oldest, named uint64) []int {
	ce := countEngines(engines, model, oldest, named)
	slices.SortStableFunc(ce.outdated, func(lhs, rhs int) int {
		// An engine two versions behind serves no newer step.
		if needy := func(at int) bool { return engines[at].Version+1 < named }; needy(lhs) != needy(rhs) {
			if needy(lhs) {
				return -1
			}
			return 1
		}
		return cmp.Compare(engines[lhs].Load, engines[rhs].Load)
	})
	most := min(MaxConcurrentLoads(ce.serving), ce.serving-1) - ce.updating
	var chosen []int
	for _, at := range ce.outdated {
		ce.freeSlots -= max(engines[at].freeSlots(), 0)
		if len(chosen) >= most || ce.freeSlots < engines[at].Running {
			break
		}
		ce.freeSlots -= engines[at].Running
		chosen = append(chosen, at)
	}
	return chosen
}
