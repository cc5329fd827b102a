// Package order brings an engine to the versions of weights that trainers name.
// One guard stands beside each engine and is the only one that orders it.
//
//  1. Every order bears a fence from the store's counter, which rises with each
//     start of a guard, and names how many orders the engine must have accepted
//     before, so that an order that is carried out late does nothing.
//  2. An engine serves one model of its service, its home. Homes are kept in the
//     store and spread evenly; the last engine of a model that has two more than
//     another moves there.
//  3. Loads share the weight store's bandwidth, so that more than a few together
//     all take longer. A guard loads only while it holds one of the slots, which
//     are rows of the store: place.LoadsTogether of the engines of the service.
//  4. An engine whose version no longer serves the step in hand loads at once.
//     Trainers permit the version before the named one; an engine that holds it
//     loads when it is idle and no other one is in need. The owner of the step
//     empties engines for that. A need that is not met within NeedPatience holds
//     nobody up: that engine or its row is cut off.
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
	Started       Reply = "begun"
	AlreadyLoaded Reply = "holds"
	Conflict      Reply = "conflict"
	Fenced        Reply = "fenced"
	Invalid       Reply = "invalid"
	WrongInstance Reply = "elsewhere"
)

// Report is the state of an engine.
type Report struct {
	Instance  string
	StartedAt int64
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

// Engine is one engine of the service, as the registry and the homes tell.
type Engine struct {
	ID    string
	Model string
	// Stale engines hold a version that no longer serves the step in hand, and
	// go before others.
	Stale bool
}

// Snapshot is what a guard decides on.
type Snapshot struct {
	Self    string
	Report  Report
	Model   string
	Engines []Engine
	// Named maps a model to its newest version.
	Named map[string]uint64
	// IdleFor is how long the engine has had no work; zero if it has some.
	IdleFor time.Duration
}

// minIdle is how long an engine must be without work to count as idle: longer
// than the pause between two items of one step.
const minIdle = 100 * time.Millisecond

// Next decides on the next order.
func Next(si Snapshot) (or Order, due bool) {
	named, loaded := si.Named[si.Model], si.Report.Versions[si.Model]
	if si.Report.Busy || si.Model == "" || named <= loaded { // rule 5
		return Order{}, false
	}
	or = Order{Instance: si.Report.Instance, Model: si.Model, Version: named, Mode: Wait, Accepted: si.Report.Accepted}
	if Stale(loaded, named) { // rule 4
		if si.IdleFor < minIdle {
			or.Mode = Retain
		}
		return or, true
	}
	others := slices.ContainsFunc(si.Engines, func(en Engine) bool { return en.Stale && en.ID != si.Self })
	return or, si.IdleFor >= minIdle && !others
}

// Stale tells whether a version no longer serves the step in hand.
func Stale(loaded, named uint64) bool { return loaded+1 < named }

// AssignModel decides which model an engine serves (rule 2). Homes of engines that
// chose none yet are empty.
func AssignModel(models []string, engines []Engine, self, present string) string {
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
		if en.Model == "" {
			return present // someone has yet to choose
		}
		counts[en.Model]++
		if en.Model == present {
			last = en.ID
		}
	}
	least := slices.MinFunc(models, func(lhs, rhs string) int { return cmp.Compare(counts[lhs], counts[rhs]) })
	if counts[present]-counts[least] >= 2 && last == self {
		return least
	}
	return present
}
