package order

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/table"
)

// Demand is what the open jobs of one owner need of one model.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	// Version is the oldest version of the weights that all of the jobs permit.
	Version uint64 `cbor:"3,keyasint"`
	// Engines is the number of engines that the items would fill, if the model is short of
	// engines; zero if the engines assigned to it run its items.
	Engines int `cbor:"4,keyasint,omitempty"`
}

// Short reports whether the model is short of engines.
func (de Demand) Short() bool { return de.Engines > 0 }

const demandPrefix = "demand/"

// DemandID returns the id of the row in which the owner on a node reports its demand.
func DemandID(node string) table.ID { return table.ID{Table: Table, Key: demandPrefix + node} }

// IsDemand reports whether a row holds the demand of an owner.
func IsDemand(ro table.Row) bool { return strings.HasPrefix(ro.ID.Key, demandPrefix) }

const (
	// DemandInterval is the time between two writes of an owner's demand.
	DemandInterval = time.Second
	// demandExpiry is three renewals: one may be lost and one may be late.
	demandExpiry = 3 * DemandInterval
)

// ownerDemand is the demand of one owner and when it was last renewed, by the local clock.
type ownerDemand struct {
	demands []Demand
	version uint64
	at      time.Time
}

// Demands holds the demand that owners report. It is not safe for concurrent use. The zero
// value is empty and ready to use.
type Demands struct {
	byKey map[string]ownerDemand
	// since maps a service and a model to when the model was found to be short.
	since map[[2]string]time.Time
}

// Put records the row of an owner. A row that was deleted has no demand.
func (ds *Demands) Put(now time.Time, ro table.Row, re Row) {
	if ds.byKey == nil {
		ds.byKey, ds.since = map[string]ownerDemand{}, map[[2]string]time.Time{}
	}
	if have := ds.byKey[ro.ID.Key]; ro.Version <= have.version && !ro.Deleted {
		return
	}
	ds.byKey[ro.ID.Key] = ownerDemand{demands: re.Demands, version: ro.Version, at: now}
}

// Live returns the demand of a service's models that is renewed, one for each model.
func (ds *Demands) Live(now time.Time, service string) []Demand {
	if len(ds.byKey) == 0 {
		return nil
	}
	byModel := map[string]Demand{}
	for key, od := range ds.byKey {
		if now.Sub(od.at) > demandExpiry {
			delete(ds.byKey, key)
			continue
		}
		for _, de := range od.demands {
			if de.Service == service {
				byModel[de.Model] = de.Merge(byModel[de.Model])
			}
		}
	}
	var live []Demand
	for _, de := range byModel {
		live = append(live, de)
	}
	slices.SortFunc(live, func(lhs, rhs Demand) int { return strings.Compare(lhs.Model, rhs.Model) })
	return live
}

// Merge returns the demand of both for the same model.
func (de Demand) Merge(other Demand) Demand {
	de.Version, de.Engines = max(de.Version, other.Version), de.Engines+other.Engines
	return de
}

// Shortage is a model that is short of engines.
type Shortage struct {
	Demand
	// Lasts is how long this process has known of it.
	Lasts time.Duration
	// Loading counts the other engines that load weights of the model now.
	Loading int
}

// Shortages returns the models of a service that are short of engines, the one that has
// been so for the longest time first.
func (ds *Demands) Shortages(now time.Time, service string) []Shortage {
	var shortages []Shortage
	short := map[[2]string]bool{}
	for _, de := range ds.Live(now, service) {
		if !de.Short() {
			continue
		}
		key := [2]string{service, de.Model}
		short[key] = true
		if _, found := ds.since[key]; !found {
			ds.since[key] = now
		}
		shortages = append(shortages, Shortage{Demand: de, Lasts: now.Sub(ds.since[key])})
	}
	for key := range ds.since {
		if key[0] == service && !short[key] {
			delete(ds.since, key)
		}
	}
	slices.SortStableFunc(shortages, func(lhs, rhs Shortage) int { return cmp.Compare(rhs.Lasts, lhs.Lasts) })
	return shortages
}

const (
	// idleForShortage is how long an engine must have no runs to load another model: longer
	// than minIdle, since its own model may have work again at any time.
	idleForShortage = 500 * time.Millisecond
	// shortageStep is the time between two idle engines in the order in which they take a
	// short model, so that they do not all load it at once.
	shortageStep = 20 * time.Millisecond
	// busyShortage is how long idle engines are waited for before a busy one takes a short
	// model. It includes a load of weights.
	busyShortage = 2 * time.Second
	// shortageTurn is how long it is a busy engine's turn to take a short model.
	shortageTurn = 1500 * time.Millisecond
)

// NextForShortage returns the next order for a model that is short of engines and is not
// assigned to this engine (rule 6); due is false if none is to be sent now.
func NextForShortage(sn Snapshot) (or Order, due bool) {
	if sn.Report.Busy || sn.Report.Leaving { // rule 5
		return Order{}, false
	}
	for _, sh := range sn.Shortages {
		announced, loaded := sn.Announced[sh.Model], sn.Report.Versions[sh.Model]
		if sh.Model == sn.Model || announced < sh.Version || loaded >= sh.Version || !sn.takes(sh) {
			continue
		}
		or := Order{Instance: sn.Report.Instance, Model: sh.Model, Version: announced, Mode: Retain, Accepted: sn.Report.Accepted}
		if sn.IdleFor >= minIdle {
			or.Mode = Wait
		}
		return or, true
	}
	return Order{}, false
}

// takes reports whether this engine is to load the weights of a short model.
func (sn Snapshot) takes(sh Shortage) bool {
	if sn.LoadSlotModel == sh.Model {
		return true // decided before, when the slot was taken
	}
	holders := sh.Loading
	for _, en := range sn.Engines {
		if en.ID != sn.Self && en.Model != sh.Model && en.Versions[sh.Model] >= sh.Version {
			holders++
		}
	}
	rank, found := sn.rank(sh.Model)
	switch {
	case !found || holders >= sh.Engines:
		return false
	case sn.IdleFor >= idleForShortage:
		return sh.Lasts >= time.Duration(rank)*shortageStep
	case holders > 0 || sh.Lasts < busyShortage:
		return false
	default:
		return int((sh.Lasts-busyShortage)/shortageTurn)%len(sn.Engines) == rank
	}
}

// rank returns the position of this engine in the order in which engines take a model.
func (sn Snapshot) rank(model string) (rank int, found bool) {
	own := core.Rendezvous(model, sn.Self)
	for _, en := range sn.Engines {
		found = found || en.ID == sn.Self
		if core.Rendezvous(model, en.ID) > own {
			rank++
		}
	}
	return rank, found
}
