// Package order loads the weight versions that trainers announce into the engines.
// Each engine has one guard next to it, and only that guard sends it load orders.
//
//  1. Every order carries a fencing token from the store's counter, which is
//     higher after each start of a guard, and the number of orders that the engine
//     must have accepted before. The engine rejects a delayed order, since its
//     count is outdated.
//  2. Each engine is assigned one model of its service. The assignments are kept
//     in the store and spread evenly: if a model has at least two engines more
//     than another, its last engine by address is assigned the other model.
//  3. Concurrent loads share the weight store's bandwidth, and more than a few
//     slow each other down. A guard loads only while it holds a slot, which is a
//     row of the store. The number of slots is place.MaxConcurrentLoads of the
//     number of engines of the service.
//  4. An engine is stale if its version no longer serves the current step. It gets no
//     new runs, so it is soon idle; it loads then, or after StaleBusyTimeout beside
//     its runs. Trainers accept the version before the announced one: an engine that
//     has it loads when it is idle and no other engine is stale. The owner of the
//     step empties engines for that. After StalePriorityTimeout a stale engine no
//     longer delays the others: it completes long runs, or it, or its row, is cut off.
//  5. An engine has at most one order in progress, and one that leaves gets none.
//  6. A model is short of engines if those assigned to it cannot run its open jobs. The
//     owners of the jobs report this. Engines that are assigned other models then load its
//     announced version too: idle ones, as many as its items would fill, or after
//     busyShortage a busy one. docs/design/shortage.md describes the whole.
package order

import (
	"cmp"
	"slices"
	"time"
)

// Mode defines how an order treats the runs in progress.
type Mode string

// The modes of an order.
const (
	// Wait loads after the runs have finished.
	Wait Mode = "wait"
	// Truncate ends the streams of the runs.
	Truncate Mode = "truncate"
	// Retain continues the runs with the new version.
	Retain Mode = "retain"
)

// Reply is an engine's reply to an order.
type Reply string

// The replies.
const (
	// Started means that the engine has accepted the order.
	Started Reply = "begun"
	// AlreadyLoaded means that the engine has the version already.
	AlreadyLoaded Reply = "holds"
	// Conflict means that an order is in progress or the count of orders differs.
	Conflict Reply = "conflict"
	// Fenced means that the engine has seen a higher fencing token.
	Fenced Reply = "fenced"
	// Invalid means that the order is malformed.
	Invalid Reply = "invalid"
	// WrongInstance means that another instance answers at the address.
	WrongInstance Reply = "elsewhere"
)

// Report is the state of an engine.
type Report struct {
	Instance string
	// StartedAt is the engine's start as it reports it, for the logs.
	StartedAt int64
	// Versions maps a model to the version of its weights.
	Versions map[string]uint64
	// Busy is set while an order is in progress.
	Busy bool
	// Accepted counts the orders that the engine has accepted since its start.
	Accepted uint64
	// Running and Waiting count the engine's runs.
	Running int
	Waiting int
	// Leaving is set while the engine announces that it leaves.
	Leaving bool
}

// Order asks an engine to load a version of a model.
type Order struct {
	Instance string
	Model    string
	Version  uint64
	Mode     Mode
	Holder   string
	// Fence is the fencing token of the guard's start.
	Fence uint64
	// Accepted is the number of orders that the engine must have accepted before.
	Accepted uint64
}

// Engine is an engine of the service with its assigned model.
type Engine struct {
	// ID is the engine's address.
	ID string
	// Model is empty until the engine is assigned one.
	Model string
	// Unguarded is set if the engine has had no model for joinTimeout.
	Unguarded bool
	// Versions maps a model to the version of its weights.
	Versions map[string]uint64
	// Stale is set while the engine has priority because its version no longer
	// serves the current step.
	Stale bool
}

// Snapshot is the state from which a guard decides on its next order.
type Snapshot struct {
	// Self is the address of the guard's engine.
	Self   string
	Report Report
	// Model is the model assigned to the guard's engine.
	Model   string
	Engines []Engine
	// Announced maps a model to the newest version that its trainer announced.
	Announced map[string]uint64
	// IdleFor is how long the engine has had no runs; zero if it has some.
	IdleFor time.Duration
	// StaleFor is how long the engine has been stale; zero if it is not.
	StaleFor time.Duration
	// Shortages are the models that are short of engines, the longest shortage first.
	Shortages []Shortage
	// LoadSlotModel is the model for which the guard holds a load slot; empty if it holds
	// none.
	LoadSlotModel string
}

// StaleBusyTimeout is how long a stale engine may complete its runs. The longest take about
// as long as two steps.
const StaleBusyTimeout = 8 * time.Second

// minIdle is how long an engine must have no runs to count as idle: longer than
// the pause between two items of one step.
const minIdle = 100 * time.Millisecond

// Next returns the next order; due is false if none is to be sent now.
func Next(sn Snapshot) (or Order, due bool) {
	announced, loaded := sn.Announced[sn.Model], sn.Report.Versions[sn.Model]
	if sn.Report.Busy || sn.Report.Leaving || sn.Model == "" || announced <= loaded { // rule 5
		return Order{}, false
	}
	or = Order{Instance: sn.Report.Instance, Model: sn.Model, Version: announced, Mode: Wait, Accepted: sn.Report.Accepted}
	if Stale(loaded, announced) { // rule 4
		if sn.IdleFor >= minIdle {
			return or, true
		}
		or.Mode = Retain
		return or, sn.StaleFor >= StaleBusyTimeout
	}
	others := slices.ContainsFunc(sn.Engines, func(en Engine) bool { return en.Stale && en.ID != sn.Self })
	return or, sn.IdleFor >= minIdle && !others
}

// Stale reports whether a loaded version no longer serves the current step.
func Stale(loaded, announced uint64) bool { return loaded+1 < announced }

// AssignModel returns the model that an engine serves (rule 2), given its current
// one. It returns an empty string if there are no models, or if the engine needs a
// model and is not registered yet.
func AssignModel(models []string, engines []Engine, self, current string) string {
	if len(models) == 0 {
		return ""
	}
	models = slices.Sorted(slices.Values(models))
	engines = slices.SortedFunc(slices.Values(engines), func(lhs, rhs Engine) int { return cmp.Compare(lhs.ID, rhs.ID) })
	if current == "" || !slices.Contains(models, current) {
		at := slices.IndexFunc(engines, func(en Engine) bool { return en.ID == self })
		if at < 0 {
			return ""
		}
		return models[at%len(models)]
	}
	counts := map[string]int{}
	last := ""
	for _, en := range engines {
		switch {
		case en.Unguarded:
			continue
		case en.Model == "":
			return current // its guard may not have started yet
		}
		counts[en.Model]++
		if en.Model == current {
			last = en.ID
		}
	}
	least := slices.MinFunc(models, func(lhs, rhs string) int { return cmp.Compare(counts[lhs], counts[rhs]) })
	if counts[current]-counts[least] >= 2 && last == self {
		return least
	}
	return current
}
