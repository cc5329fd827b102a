// Package order brings an engine to the versions of weights that trainers name.
// One guard stands beside each engine and is the only one that orders it.
//
//  1. Every order bears a fence from the store's counter, which rises with each
//     start of a guard, and names how many orders the engine must have accepted
//     before, so that an order that is carried out late does nothing.
//  2. An engine serves one model of its service, its home. Homes are kept in the
//     store and spread evenly; the last engine of a model that has two more than
//     another moves there.
//  3. A version is loaded when the engine is idle. One that is not idle loads at
//     its turn: the turns of a model's engines start TurnDelay after the version
//     was named, and at most AtOnceShare of them load together. Trainers permit
//     the version before the named one, so that the step in hand goes on.
//  4. An engine whose version no longer serves the step in hand loads at once.
//  5. While an order is in progress there is no other one.
package order

import (
	"cmp"
	"slices"
	"time"
)

// Mode says what becomes of the runs in progress.
type Mode string

// The modes of an order.
const (
	// Wait lets the runs finish first.
	Wait Mode = "wait"
	// Truncate ends the streams of the runs.
	Truncate Mode = "truncate"
	// Retain lets the runs go on under the new version.
	Retain Mode = "retain"
)

// Reply is what an engine says to an order.
type Reply string

// The replies.
const (
	Begun     Reply = "begun"
	Holds     Reply = "holds"
	Conflict  Reply = "conflict"
	Fenced    Reply = "fenced"
	Invalid   Reply = "invalid"
	Elsewhere Reply = "elsewhere"
)

// Report is the state of an engine.
type Report struct {
	Instance string
	Born     int64
	// Versions maps a model to the version of its weights.
	Versions map[string]uint64
	// Busy tells that an order is in progress.
	Busy bool
	// Accepted counts the orders that the engine accepted since its start.
	Accepted uint64
	Running  int
	Waiting  int
}

// Order brings a model to a version.
type Order struct {
	Instance string
	Model    string
	Version  uint64
	Mode     Mode
	Holder   string
	Fence    uint64
	// Accepted is the count that the engine's report must show.
	Accepted uint64
}

const (
	// TurnDelay is how long an engine that is not idle waits for its turn to
	// begin: the busiest second of a step.
	TurnDelay = 1500 * time.Millisecond
	// TurnLength is the time of one load, by the sheets.
	TurnLength = 950 * time.Millisecond
	// AtOnceShare is the part of a model's engines that load together. The sheets
	// name 2 of 12, 2 of 8 and 8 of 42.
	AtOnceShare = 0.2
	// leastAtOnce holds for few engines.
	leastAtOnce = 2
)

// Engine is one engine of the service, as the registry and the homes tell.
type Engine struct {
	ID   string
	Home string
}

// Situation is what a guard decides on.
type Situation struct {
	Self    string
	Report  Report
	Home    string
	Engines []Engine
	// Named maps a model to its newest version, NamedFor to how long ago the
	// guard learnt of it.
	Named    map[string]uint64
	NamedFor map[string]time.Duration
	// IdleFor is how long the engine has had no work; zero if it has some.
	IdleFor time.Duration
}

// idleAfter is how long an engine must be without work to count as idle: longer
// than the pause between two items of one step.
const idleAfter = 100 * time.Millisecond

// Next decides on the next order.
func Next(si Situation) (or Order, due bool) {
	named, loaded := si.Named[si.Home], si.Report.Versions[si.Home]
	if si.Report.Busy || si.Home == "" || named <= loaded { // rule 5
		return Order{}, false
	}
	or = Order{Instance: si.Report.Instance, Model: si.Home, Version: named, Mode: Retain, Accepted: si.Report.Accepted}
	switch {
	case loaded+1 < named: // rule 4
		return or, true
	case si.IdleFor >= idleAfter:
		or.Mode = Wait
		return or, true
	default: // rule 3
		return or, si.NamedFor[si.Home] >= TurnDelay+turn(si)
	}
}

// turn is when an engine's turn comes, by its place among those of its home.
func turn(si Situation) time.Duration {
	var peers []string
	for _, en := range si.Engines {
		if en.Home == si.Home {
			peers = append(peers, en.ID)
		}
	}
	slices.Sort(peers)
	at := max(slices.Index(peers, si.Self), 0)
	together := max(leastAtOnce, int(AtOnceShare*float64(len(peers))))
	return time.Duration(at/together) * TurnLength
}

// Home decides which model an engine serves (rule 2). Homes of engines that
// chose none yet are empty.
func Home(models []string, engines []Engine, self, present string) string {
	if len(models) == 0 {
		return ""
	}
	models = slices.Sorted(slices.Values(models))
	engines = slices.SortedFunc(slices.Values(engines), func(lhs, rhs Engine) int { return cmp.Compare(lhs.ID, rhs.ID) })
	if present == "" || !slices.Contains(models, present) {
		at := slices.IndexFunc(engines, func(en Engine) bool { return en.ID == self })
		if at < 0 {
			return ""
		}
		return models[at%len(models)]
	}
	counts := map[string]int{}
	last := ""
	for _, en := range engines {
		if en.Home == "" {
			return present // someone has yet to choose
		}
		counts[en.Home]++
		if en.Home == present {
			last = en.ID
		}
	}
	least := slices.MinFunc(models, func(lhs, rhs string) int { return cmp.Compare(counts[lhs], counts[rhs]) })
	if counts[present]-counts[least] >= 2 && last == self {
		return least
	}
	return present
}
