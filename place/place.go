// Package place assigns the items of batch jobs to engines, and decides which
// running items should move to another engine.
//
// The workload: a step of a few hundred items arrives at once, about twice as
// many as the engines have slots. A tenth of the items is several times as long
// as the others, and the trainer waits for nine tenths of the groups, so the step
// lasts as long as its long items. An engine that becomes slow or stops sending
// events during the step delays all items that run on it.
//
//  1. The queue is sorted: first the items of groups that the trainer waits for in
//     any case, then the longest by the trainer's estimate, then by group, so that
//     items with the same prompt are adjacent.
//  2. An engine runs at most as many items as it has slots. An engine that is
//     in backoff, is emptied, loads weights, or holds older weights than the item
//     permits gets none. One that limits its rate counts as full without a permit; permits
//     are claimed for the items that it could run.
//  3. An engine is slow if its pace exceeds SlowFactor times the median; the
//     others are fast. Except as a probe (rule 9), a slow engine gets an item only if
//     no fast one can run it. If a fast one could but is full, the item waits for it.
//  4. Among the fast engines, those in the owner's region are preferred unless
//     their load exceeds the lowest by more than RegionSlack: a run in another
//     region ends later by the latency of the link, and the step with it. Next
//     are engines that have read the same prompt, within AffinitySlack, then the
//     least loaded, then those in the owner's failure domain. Before all that, an
//     engine whose memory holds its runs to their ends is preferred: one that runs
//     out of memory puts its newest run back, in the middle of the text. And an item
//     that is long or moves goes to a quick engine, among them to one in the owner's
//     region, and to one with the newest weights, which need not load soon.
//  5. An engine that refused an item gets one item at a time until a run has
//     produced an event.
//  6. Loading weights stops an engine's runs for about a second. So once no item
//     waits, engines with weights older than the announced version are emptied:
//     they get no new items, their runs end within EmptyPatience or move to other
//     engines. At most MaxConcurrentLoads are emptied at once, first those whose
//     runs end soonest, and only while the others have free slots for their runs.
//     An engine whose runs take longer is emptied only while less than FreshShare
//     of the engines have the announced version: trainers accept the one before
//     it, and a long run that moves may delay its step. The guard of an engine
//     loads the weights when the engine is idle. The next engine is emptied
//     shortly before a load ends, which keeps the weight store busy. An engine
//     that was emptied and did not load is skipped for a while.
//  7. A run should move to a fast engine when its own engine is emptied or loads
//     weights, when it has produced no event for StallTimeout, or when its engine is
//     slow, if it then ends earlier by MinMoveGain and would not end in time otherwise:
//     a move costs a connection and reading the text again. The
//     text generated so far is kept. The run is queued by rule 1 and continues on
//     its engine until the item is assigned to another one, at most until it has
//     produced no event for AbandonTimeout.
//     On a shared host, slow periods of some hundred ms are usual and no reason to move.
//     The pace of such an engine, in all rules, is its mean over SharedPaceWindow; a run
//     leaves it as slow only for an engine that is faster by SlowFactor and on which it ends
//     earlier by MinMoveGain and the cost of the move. Its timeouts are longer by the slowdown that is usual there.
//  8. Engines that serve another model are used only if no engine of the item's
//     own model can serve it: the owners of that model's jobs plan with their
//     slots and empty them for loads. While a model is short of engines, the caller
//     treats all engines as its own.
//  9. A slow engine without a recent measurement is probed with the shortest
//     waiting item, so that no long item is used to measure it.
//  10. A text continues only on an engine of the software version that began it: what two
//     versions generate does not fit together. It begins anew on any engine if no
//     engine of that version serves any more, or none of them took the item within
//     ContinuePatience.
package place

import (
	"cmp"
	"slices"
	"time"

	"bilberryshelf/fleet"
)

const (
	// SlowFactor is the multiple of the median pace above which an engine is slow.
	// Differences in batch size cause smaller ratios.
	SlowFactor = 1.7
	// AffinitySlack is the load, in prompts, by which an engine that has read the
	// prompt may exceed the least loaded engine and still be preferred. Reading a
	// prompt costs a few ms; a larger batch costs more.
	AffinitySlack = 3
	// RegionSlack is the same for an engine in the owner's region, which saves two
	// trips over the link between regions. It is about the load of one long run.
	RegionSlack = 6
	// QuickFactor is the multiple of the pace that a quarter of the engines reach, up to
	// which an engine is quick. Engines of a service differ in speed by a quarter and
	// more, load adds a tenth.
	QuickFactor = 1.15
	// LongRun is the expected time from which a run is long: its engine, not the order of
	// the queue, decides when its step ends.
	LongRun = 2500 * time.Millisecond
	// ContinuePatience is how long an item waits for an engine that can continue its text.
	// Most texts are generated anew in about that time.
	ContinuePatience = time.Second
)

// Engine describes an engine as the owner of a job sees it.
type Engine struct {
	ID string
	// Software is the version of the engine's software.
	Software string
	// Distance is the network distance between the engine and the owner.
	Distance fleet.Distance
	Slots    int
	Running  int
	// Load is the sum of RunLoad over the engine's runs: the tokens that they hold,
	// in prompts. The more there are, the more slowly the engine generates.
	Load float64
	// Memory is the number of tokens that the engine can keep, zero if not known. Held is
	// how many its runs are expected to keep at their ends, shared prompts counted once.
	Memory int
	Held   int
	// Version is the version of the weights that the engine holds.
	Version uint64
	// Pace is the last measured time between two events of a run; zero if it was
	// never measured.
	Pace time.Duration
	// PaceStale is set if the last measurement is not recent.
	PaceStale bool
	// SharedHost is set if the engine shares its host with others, which makes it slow for
	// some hundred ms at a time. LongPace is then its mean pace over SharedPaceWindow; zero
	// if it was never measured.
	SharedHost bool
	LongPace   time.Duration
	// BackingOff is set for a while after a refusal or a failure.
	BackingOff bool
	// Probing is set if the engine refused the last item. NotStarted counts its
	// runs without an event.
	Probing    bool
	NotStarted int
	// Loading is set while the engine loads weights, LoadingFor is the time since the
	// load began. Model is the model that the engine serves; OtherModel is set if it
	// is not the model of the items.
	Loading    bool
	LoadingFor time.Duration
	Model      string
	OtherModel bool
	// BusyFor is the expected time until the last of the engine's runs ends.
	BusyFor time.Duration
	// Stale is set if the engine's version no longer serves the newest step. It then gets
	// items only if no other engine can run them, so that it is soon idle and can load.
	Stale bool
	// Emptying is set while the engine is emptied for a load of weights; it gets no
	// items. EmptyingFor is the time since that began. Skipped is set if it was emptied
	// recently and did not load.
	Emptying    bool
	EmptyingFor time.Duration
	Skipped     bool
	// Limited is set if the engine limits the rate at which it takes items; Permits is how
	// many it takes now.
	Limited bool
	Permits int
	// Groups counts the engine's runs by group. The runs of a group share a prompt.
	Groups map[string]int
}

func (en Engine) idleSlots() int { return en.Slots - en.Running }

// freeSlots returns the number of items that the engine takes now. Without a permit it is
// as good as full: permits arrive several times per second.
func (en Engine) freeSlots() int {
	if en.Limited {
		return min(en.idleSlots(), en.Permits)
	}
	return en.idleSlots()
}

// memoryShare is the share of an engine's memory that the estimates may fill.
const memoryShare = 0.9

// holds reports whether the engine's memory is expected to hold an item beside its runs.
func (en Engine) holds(it Item) bool {
	return en.Memory == 0 || float64(en.Held+it.Tokens) <= memoryShare*float64(en.Memory)
}

// accepting reports whether an engine accepts items.
func (en Engine) accepting() bool {
	probed := en.Probing && en.NotStarted > 0 // rule 5
	return !probed && !en.BackingOff && !en.Loading && !en.Emptying
}

// Item is an item that waits for an engine, or a running one that should move.
type Item struct {
	// Index identifies the item to the caller.
	Index int
	Group string
	// Required marks the items of groups that the trainer waits for in any case.
	Required bool
	// RemainingEvents is the estimated number of events that the output still lacks.
	RemainingEvents int
	// Load is what the item adds to an engine's load, in prompts.
	Load float64
	// Tokens is what it is expected to keep at its end, the prompt included.
	Tokens int
	// MinVersion is the oldest permitted version.
	MinVersion uint64
	// Software is the version of the software that began the text; empty if it has no
	// events. Waited is how long the item has waited for an engine, or a run for an event.
	Software string
	Waited   time.Duration
	// Avoid is the engine that the item moved from or should move from, if any.
	Avoid string
	// MoveReason is why the item should move from the engine that runs it; empty for
	// an item that is not running.
	MoveReason Reason
}

// SortItems sorts the queue; the first item is placed first (rule 1).
func SortItems(items []Item) {
	slices.SortStableFunc(items, func(lhs, rhs Item) int {
		if lhs.Required != rhs.Required {
			if lhs.Required {
				return -1
			}
			return 1
		}
		if order := cmp.Compare(rhs.RemainingEvents, lhs.RemainingEvents); order != 0 {
			return order
		}
		return cmp.Compare(lhs.Group, rhs.Group)
	})
}

// RunLoad returns the load of a run in prompts: its prompt, plus the average
// number of output tokens it holds over its duration. All arguments are in
// tokens; expected is the estimated length of the whole output.
func RunLoad(prompt, generated, expected int) float64 {
	return 1 + max(float64(generated), float64(expected)/2)/float64(max(prompt, minPromptTokens))
}

// minPromptTokens limits the load of long outputs with short prompts.
const minPromptTokens = 500
