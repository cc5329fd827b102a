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
//     the least loaded first, LoadsTogether of them at once, while the others
//     have room for their runs. Their guards load them when they are
//     idle. The next engine is emptied a little before a load ends, so that the
//     weight store is never idle; one that did not load when it was empty is
//     passed over for a while.
//  7. A run should leave its engine for one of the fastest class when its own
//     engine is outside of the class, is emptied or loads weights, or when it has
//     made no event for Stall. What it generated so far is kept. It takes its
//     place in the queue of rule 1 and stays where it is until it has its turn.
//  8. Engines that serve another model are used only while none of the own model
//     can take the item: their owner counts on their slots and empties them.
//  9. A slow engine that nothing was measured on for a while is probed with the
//     shortest of the waiting items, so that no long one finds out that it is
//     still slow.
package place

import (
	"cmp"
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
	// Pace is the time for an event as it was last measured; zero if it never was.
	Pace time.Duration
	// PaceStale tells that the pace was measured a while ago.
	PaceStale bool
	// BackingOff engines refused or failed a moment ago.
	BackingOff bool
	// Probing engines refused the last item; Unproven counts the runs since that
	// have no event yet.
	Probing    bool
	NotStarted int
	// Loading engines load weights, since LoadingFor; Home is the model that the
	// engine serves, Foreign tells that it is another one than the items'.
	Loading    bool
	LoadingFor time.Duration
	Model      string
	OtherModel bool
	// Emptying engines take no items, so that they may load weights. PassedOver
	// ones were emptied a while ago and did not load.
	Emptying bool
	Skipped  bool
	// Groups counts the runs of each group that the engine has read the prompt
	// of.
	Groups map[string]int
}

func (en Engine) freeSlots() int { return en.Slots - en.Running }

// open tells whether an engine takes items at all.
func (en Engine) open() bool {
	probed := en.Probing && en.NotStarted > 0 // rule 5
	return !probed && !en.BackingOff && !en.Loading && !en.Emptying
}

// Item is one item that waits for an engine, or for another one.
type Item struct {
	// Index names the item to the caller.
	Index int
	Group string
	// Required marks groups that the trainer waits for whatever else is complete.
	Required bool
	// RemainingTokens is the estimated output in tokens, less what is generated.
	RemainingTokens int
	// Load is what the item adds to an engine's load.
	Load float64
	// Oldest is the oldest permitted version.
	Oldest uint64
	// Avoid is the engine that the item left or should leave; empty for none.
	Avoid string
	// MoveReason is why the item should leave the engine on which it runs; empty for
	// an item that runs nowhere.
	MoveReason Reason
}

// SortItems sorts items, first to run first (rule 1).
func SortItems(items []Item) {
	slices.SortStableFunc(items, func(lhs, rhs Item) int {
		if lhs.Required != rhs.Required {
			if lhs.Required {
				return -1
			}
			return 1
		}
		if order := cmp.Compare(rhs.RemainingTokens, lhs.RemainingTokens); order != 0 {
			return order
		}
		return cmp.Compare(lhs.Group, rhs.Group)
	})
}

// RunLoad is the load of a run that has made so many tokens and is expected to
// make so many in all: the prompt, and what it keeps on the average of its time.
func RunLoad(prompt, made, expected int) float64 {
	return 1 + max(float64(made), float64(expected)/2)/float64(max(prompt, minPromptTokens))
}

// minPromptTokens bounds the weight of long outputs behind short prompts, in tokens.
const minPromptTokens = 500
