// Package place chooses the engines on which the items of batch jobs run, and
// the runs that should go on at another engine.
//
// The load pattern: a step of a few hundred items arrives at once, about twice
// as many as the engines have slots. A tenth of the items is several times as
// long as the others, and the trainer waits for nine tenths of the groups, so
// the step lasts as long as its long items. An engine that turns slow or dark
// in the middle holds whatever runs there.
//
//  1. Items of groups that the trainer is sure to wait for go first, then the
//     longest by the trainer's estimate, then by group, so that items with the
//     same prompt follow each other.
//  2. An engine takes no more items than it has slots. One that is resting,
//     leaving, or holds older weights than the item permits takes none.
//  3. Among the engines with room the fastest class goes first: those within
//     SlowFactor of the median pace. An engine outside of it takes items only
//     if no other has room and the wait for one would be longer.
//  4. Inside the class, an engine of the owner's region goes first unless it is
//     more loaded than the least loaded by more than RegionSlack: a run that
//     begins beyond the link ends later by its time, and a step lasts as long as
//     its long items. Then one that read the same prompt goes first, within
//     AffinitySlack; then the load decides; then the failure domain of the owner.
//  5. An engine that refused an item takes one at a time until one has begun.
//  6. Loading weights stops an engine's runs for about a second. So once no item
//     waits, engines whose weights are behind the named version are emptied,
//     the ones with the fewest runs first, LoadsTogether of them at once, while
//     the others have room for their runs. Their guards load them when they are
//     idle.
//  7. A run leaves its engine for one of the fastest class with room when its
//     own engine is outside of the class, is emptied or loads weights, or when
//     it has made no event for Stall. What it generated so far is kept.
package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bilberryshelf/fleet"
)

const (
	// SlowFactor is how many times the median pace an engine may take for an
	// event before it counts as slow. Batches of different fill differ by less.
	SlowFactor = 1.7
	// AffinitySlack is by how many prompts an engine may be more loaded than the
	// least loaded and still be chosen for a prompt that it has read. Reading one
	// costs some ms, a loaded batch more.
	AffinitySlack = 3
	// RegionSlack is the same for an engine in the owner's region, which saves the
	// time of the link twice: about the load of one long run.
	RegionSlack = 6
	// Stall is how long a run may make no event: about ten events at the usual
	// pace.
	Stall = 400 * time.Millisecond
	// FirstStall is the same before the first event, when a prompt is read and
	// the engine may be loading weights.
	FirstStall = 700 * time.Millisecond
)

// Engine is what the owner knows of an engine.
type Engine struct {
	ID string
	// Distance is how far the engine is from the owner.
	Distance fleet.Distance
	Slots    int
	Running  int
	// Load is the tokens that the runs keep, in prompts: an engine's step takes
	// longer the more there are.
	Load float64
	// Version is the version of the model's weights.
	Version uint64
	// Pace is the time for an event; zero if not known.
	Pace time.Duration
	// Resting engines refused or failed a moment ago.
	Resting bool
	// Probing engines refused the last item; Unproven counts the runs since that
	// have no event yet.
	Probing  bool
	Unproven int
	// Loading engines load weights; Home is the model that the engine serves.
	Loading bool
	Home    string
	// Emptying engines take no items, so that they may load weights.
	Emptying bool
	// Groups counts the runs of each group that the engine has read the prompt
	// of.
	Groups map[string]int
}

func (en Engine) free() int { return en.Slots - en.Running }

// Item is one item that waits for an engine.
type Item struct {
	// Index names the item to the caller.
	Index int
	Group string
	// Sure marks groups that the trainer waits for whatever else is complete.
	Sure bool
	// Size is the estimated output in tokens, less what is generated.
	Size int
	// Load is what the item adds to an engine's load.
	Load float64
	// Oldest is the oldest permitted version.
	Oldest uint64
	// Avoid is the engine that the item left; empty for none.
	Avoid string
}

// Order sorts waiting items, first to run first (rule 1).
func Order(items []Item) {
	slices.SortStableFunc(items, func(lhs, rhs Item) int {
		if lhs.Sure != rhs.Sure {
			if lhs.Sure {
				return -1
			}
			return 1
		}
		if order := cmp.Compare(rhs.Size, lhs.Size); order != 0 {
			return order
		}
		return cmp.Compare(lhs.Group, rhs.Group)
	})
}

// Median is the median pace of the engines that have one.
func Median(engines []Engine) time.Duration {
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

// Slow tells whether an engine is outside of the fastest class.
func Slow(en Engine, median time.Duration) bool {
	return median > 0 && float64(en.Pace) > SlowFactor*float64(median)
}

// Choose returns the position of the engine for an item, or -1.
func Choose(engines []Engine, it Item) int {
	median := Median(engines)
	least := lightest(engines, it, median)
	best := -1
	for at, en := range engines {
		if !fits(en, it) || Slow(en, median) || en.ID == it.Avoid {
			continue
		}
		if best < 0 || before(en, engines[best], it, least) {
			best = at
		}
	}
	if best < 0 {
		return lastResort(engines, it, median)
	}
	return best
}

func fits(en Engine, it Item) bool { return open(en) && en.free() > 0 && en.Version >= it.Oldest }

// open tells whether an engine takes items at all.
func open(en Engine) bool {
	probed := en.Probing && en.Unproven > 0 // rule 5
	return !probed && !en.Resting && !en.Loading && !en.Emptying
}

// lightest is the least load of an engine that the item may go to.
func lightest(engines []Engine, it Item, median time.Duration) float64 {
	least := math.Inf(1)
	for _, en := range engines {
		if fits(en, it) && !Slow(en, median) {
			least = min(least, en.Load)
		}
	}
	return least
}

// before orders two engines of the fastest class (rule 4).
func before(lhs, rhs Engine, it Item, least float64) bool {
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

// lastResort finds a slow engine, if every other one that could serve the item
// is out of sight; a full one is waited for (rule 3).
func lastResort(engines []Engine, it Item, median time.Duration) int {
	best := -1
	for at, en := range engines {
		if en.Version < it.Oldest || !open(en) {
			continue
		}
		if !Slow(en, median) && en.ID != it.Avoid {
			return -1 // a good one is only full
		}
		if en.free() > 0 && (best < 0 || en.Pace < engines[best].Pace) {
			best = at
		}
	}
	return best
}

// Run is an item in progress.
type Run struct {
	Engine string
	Oldest uint64
	// Silent is how long ago the last event came, or the start.
	Silent time.Duration
	// Started tells whether an event has come.
	Started bool
}

// Leave tells whether a run should go on at another engine (rule 7).
func Leave(engines []Engine, ru Run) bool {
	median := Median(engines)
	at := slices.IndexFunc(engines, func(en Engine) bool { return en.ID == ru.Engine })
	stall := FirstStall
	if ru.Started {
		stall = Stall
	}
	wants := ru.Silent > stall || (at >= 0 && (engines[at].Emptying || engines[at].Loading || Slow(engines[at], median)))
	if !wants {
		return false
	}
	for _, en := range engines {
		if en.ID != ru.Engine && fits(en, Item{Oldest: ru.Oldest}) && !Slow(en, median) {
			return true
		}
	}
	return false
}

// loadShare is the loads that the weight store serves together at full speed,
// over the engines of a service, by the sheets: 2 of 8 and of 12, 8 of 42.
const loadShare = 0.2

// LoadsTogether is how many of a number of engines load at once.
func LoadsTogether(engines int) int { return max(1, int(loadShare*float64(engines)+0.5)) }

// Empty chooses the engines to be emptied next (rule 6).
func Empty(engines []Engine, model string, oldest, named uint64) []int {
	var behind []int
	away, room, serving := 0, 0, 0
	for at, en := range engines {
		if en.Home != model || en.Version < oldest {
			continue
		}
		serving++
		if en.Emptying || en.Loading {
			away++
			continue
		}
		room += max(en.free(), 0)
		if en.Version < named {
			behind = append(behind, at)
		}
	}
	slices.SortStableFunc(behind, func(lhs, rhs int) int {
		// An engine two versions behind serves no newer step.
		if needy := func(at int) bool { return engines[at].Version+1 < named }; needy(lhs) != needy(rhs) {
			if needy(lhs) {
				return -1
			}
			return 1
		}
		return cmp.Compare(engines[lhs].Running, engines[rhs].Running)
	})
	together := LoadsTogether(serving)
	var chosen []int
	for _, at := range behind {
		room -= max(engines[at].free(), 0)
		if away+len(chosen) >= min(together, serving-1) || room < engines[at].Running {
			break
		}
		room -= engines[at].Running
		chosen = append(chosen, at)
	}
	return chosen
}

// Weight is the load of a run that has made so many tokens and is expected to
// make so many in all: the prompt, and what it keeps on the average of its time.
func Weight(prompt, made, expected int) float64 {
	return 1 + max(float64(made), float64(expected)/2)/float64(max(prompt, leastPrompt))
}

// leastPrompt bounds the weight of long outputs behind short prompts, in tokens.
const leastPrompt = 500
