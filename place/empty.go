package place

import (
	"cmp"
	"slices"
	"time"
)

// loadShare is the loads that the weight store serves together at full speed,
// over the engines of a service, by the sheets: 2 of 8 and of 12, 8 of 42.
const loadShare = 0.2

// LoadsTogether is how many of a number of engines load at once.
func LoadsTogether(engines int) int { return max(1, int(loadShare*float64(engines)+0.5)) }

// NextAfter is how long a load has run when the next engine is emptied: a load
// takes 0.9 s by the sheets, and an engine is idle and known to be within 0.3 s.
const NextAfter = 600 * time.Millisecond

// away tells whether an engine has one of the places for emptied engines.
func (en Engine) away() bool {
	if en.Loading {
		return en.LoadingFor < NextAfter
	}
	return en.Emptying
}

// census counts the engines of a model by what they may do for the next version.
type census struct {
	// behind holds the positions of engines that could be emptied.
	behind []int
	// away engines are emptied or load, serving ones hold a permitted version.
	away, serving int
	// room is the number of free slots of engines that take items.
	room int
}

func count(engines []Engine, model string, oldest, named uint64) census {
	var ce census
	for at, en := range engines {
		if en.Home != model || en.Version < oldest {
			continue
		}
		ce.serving++
		if en.away() {
			ce.away++
		}
		if en.Emptying || en.Loading {
			continue
		}
		ce.room += max(en.free(), 0)
		if en.Version < named && !en.PassedOver {
			ce.behind = append(ce.behind, at)
		}
	}
	return ce
}

// Empty chooses the engines to be emptied next (rule 6).
func Empty(engines []Engine, model string, oldest, named uint64) []int {
	ce := count(engines, model, oldest, named)
	slices.SortStableFunc(ce.behind, func(lhs, rhs int) int {
		// An engine two versions behind serves no newer step.
		if needy := func(at int) bool { return engines[at].Version+1 < named }; needy(lhs) != needy(rhs) {
			if needy(lhs) {
				return -1
			}
			return 1
		}
		return cmp.Compare(engines[lhs].Load, engines[rhs].Load)
	})
	most := min(LoadsTogether(ce.serving), ce.serving-1) - ce.away
	var chosen []int
	for _, at := range ce.behind {
		ce.room -= max(engines[at].free(), 0)
		if len(chosen) >= most || ce.room < engines[at].Running {
			break
		}
		ce.room -= engines[at].Running
		chosen = append(chosen, at)
	}
	return chosen
}
