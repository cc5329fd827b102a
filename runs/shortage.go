package runs

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/order"
	"bilberryshelf/place"
	"bilberryshelf/table"
)

const (
	// shortageDelay is how long no engine of its own may be able to run a model's items until
	// the model is short of engines: a load of weights, and the row that reports it.
	shortageDelay = 1500 * time.Millisecond
	// stalledDelay is how long the engines of a model may send no event of its runs until
	// the model is short: several times place.FirstEventTimeout.
	stalledDelay = 3 * time.Second
	// shortageInterval is the time between two checks for shortages.
	shortageInterval = 200 * time.Millisecond
)

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// modelState is the state of a model with open items.
type modelState struct {
	// open counts the items that run or wait for an engine. slots is the largest number of
	// them that one engine runs.
	open, slots int
	// version is the oldest version that all jobs permit.
	version uint64
	// able is set if an engine that is assigned to the model can run the items of all jobs.
	able bool
	// servedAt is when the model was last seen not to be short of engines, progressAt when an
	// engine that is assigned to it last sent an event of its runs, at first when it got items.
	servedAt, progressAt time.Time
	short                bool
}

// updateShortages determines which models are short of engines: for some time no engine that
// is assigned to them was able to run their items, or none did.
func (ow *Owner) updateShortages(now time.Time) {
	if now.Sub(ow.shortagesAt) < shortageInterval {
		return
	}
	ow.shortagesAt = now
	states := map[modelKey]*modelState{}
	for _, jo := range ow.jobs {
		ow.addOpenItems(now, jo, states)
	}
	ow.recordProgress(states)
	ow.models = states
	count := 0
	for key, st := range states {
		if st.update(now) {
			logs.Info(ow.Logger, "shortage of engines changed", "service", key.service, "model", key.model, "short", st.short, "open", st.open,
				"version", st.version, "own-engine", st.able, "last-event", now.Sub(st.progressAt))
			ow.place()
		}
		if st.short {
			count++
		}
	}
	ow.Meters.Gauge("models-short", "", int64(count))
}

// update determines whether the model is short of engines, and reports whether that changed.
func (st *modelState) update(now time.Time) bool {
	short := st.able // if it has not made progress for stalledDelay
	switch {
	case st.able && now.Sub(st.progressAt) < stalledDelay:
		st.servedAt, short = now, false
	case !st.able:
		short = now.Sub(st.servedAt) >= shortageDelay
	}
	changed := short != st.short
	st.short = short
	return changed
}

// recordProgress records when engines last sent events of the models that they are assigned to.
func (ow *Owner) recordProgress(states map[modelKey]*modelState) {
	for _, en := range ow.engines {
		for ru := range en.runs {
			st := states[modelKey{en.target.Service, ru.job.body.Model}]
			if last, version := ru.progress(); st != nil && version > 0 && ow.assignedTo(en, ru.job.body.Model) && last.After(st.progressAt) {
				st.progressAt = last
			}
		}
	}
}

// addOpenItems adds the open items of a job to the state of its model.
func (ow *Owner) addOpenItems(now time.Time, jo *job, states map[modelKey]*modelState) {
	de := jo.demand()
	open := de.Running + de.Waiting
	if open == 0 {
		return
	}
	key := modelKey{jo.service, jo.body.Model}
	st := states[key]
	if st == nil {
		st = &modelState{servedAt: now, progressAt: now, able: true}
		if have := ow.models[key]; have != nil {
			st.servedAt, st.progressAt, st.short = have.servedAt, have.progressAt, have.short
		}
		states[key] = st
	}
	st.open += open
	st.version = max(st.version, jo.body.MinVersion)
	able := false
	for _, en := range ow.engines {
		if en.target.Service == jo.service && !en.target.Draining && !ow.Departures.Departing(en.target) {
			st.slots = max(st.slots, en.target.Slots)
			able = able || (ow.assignedTo(en, jo.body.Model) && en.version(jo.body.Model) >= jo.body.MinVersion)
		}
	}
	st.able = st.able && able
}

// assignedTo reports whether an engine is assigned to a model, or to none. Jobs without a model
// run on any engine.
func (ow *Owner) assignedTo(en *engine, model string) bool {
	served := ow.servedModels[en.target.Addr]
	return served == "" || model == "" || served == model
}

// SetDemand records what another owner reports.
func (ow *Owner) SetDemand(ro table.Row, re order.Row) {
	ow.Loop.Post(func() { ow.demands.Put(ow.Clock.Now(), ro, re) })
}

// ReportedDemand returns what this owner should report now: the demand of its open jobs, if
// one of their models is short of engines or shares a service with one that is.
func (ow *Owner) ReportedDemand() []order.Demand {
	var demands []order.Demand
	ow.Loop.Do(func() {
		now := ow.Clock.Now()
		for key, st := range ow.models {
			if ow.hasShortage(now, key.service) {
				demands = append(demands, st.demand(key))
			}
		}
	})
	slices.SortFunc(demands, func(lhs, rhs order.Demand) int {
		return strings.Compare(lhs.Service+"\x00"+lhs.Model, rhs.Service+"\x00"+rhs.Model)
	})
	return demands
}

func (st *modelState) demand(key modelKey) order.Demand {
	de := order.Demand{Service: key.service, Model: key.model, Version: st.version}
	if st.short {
		slots := max(st.slots, 1)
		de.Engines = (st.open + slots - 1) / slots
	}
	return de
}

// hasShortage reports whether a model of a service is short of engines, at this owner or another.
func (ow *Owner) hasShortage(now time.Time, service string) bool {
	for key, st := range ow.models {
		if key.service == service && st.short {
			return true
		}
	}
	return slices.ContainsFunc(ow.demands.Live(now, service), order.Demand.Short)
}

// sharing is the demand of a service's models while one of them is short of engines. Its zero
// value means that none is.
type sharing struct {
	demands map[string]order.Demand
	// hosts maps the address of an engine to the short models for which it keeps slots.
	hosts map[string][]string
}

// short reports whether a model is short of engines.
func (sh sharing) short(model string) bool { return sh.demands[model].Short() }

// sharing returns the demand of a service's models, that of other owners included.
func (ow *Owner) sharing(now time.Time, service string) sharing {
	if !ow.hasShortage(now, service) {
		return sharing{}
	}
	sh := sharing{demands: map[string]order.Demand{}, hosts: map[string][]string{}}
	for _, de := range ow.demands.Live(now, service) {
		sh.demands[de.Model] = de
	}
	for key, st := range ow.models {
		if key.service == service {
			sh.demands[key.model] = st.demand(key).Merge(sh.demands[key.model])
		}
	}
	for _, de := range sh.demands {
		for _, en := range ow.hosts(de) {
			sh.hosts[en.target.Addr] = append(sh.hosts[en.target.Addr], de.Model)
		}
	}
	return sh
}

// hosts returns the engines that keep slots for a short model: as many of those that hold a
// permitted version as its items would fill, in the order in which engines load it.
func (ow *Owner) hosts(de order.Demand) []*engine {
	if !de.Short() {
		return nil
	}
	var hosts []*engine
	for _, en := range ow.engines {
		if en.target.Service == de.Service && !en.target.Draining && !ow.assignedTo(en, de.Model) && en.version(de.Model) >= de.Version {
			hosts = append(hosts, en)
		}
	}
	slices.SortFunc(hosts, func(lhs, rhs *engine) int {
		return cmp.Compare(core.Rendezvous(de.Model, rhs.target.Addr), core.Rendezvous(de.Model, lhs.target.Addr))
	})
	return hosts[:min(len(hosts), de.Engines)]
}

// reduceSlots reduces the slots of an engine to the part of one model if the engine runs items of
// several, so that a step does not starve beside one that always has work.
func (sh sharing) reduceSlots(en *engine, vi *place.Engine, model string) {
	if len(sh.demands) == 0 {
		return
	}
	sharers := append([]string{model}, sh.hosts[en.target.Addr]...)
	if _, found := sh.demands[vi.Model]; found {
		sharers = append(sharers, vi.Model)
	}
	slices.Sort(sharers)
	sharers = slices.Compact(sharers)
	if len(sharers) == 1 {
		return
	}
	// The parts add up to all slots, since all owners give the rest to the same models.
	part := vi.Slots / len(sharers)
	if slices.Index(sharers, model) < vi.Slots%len(sharers) {
		part++
	}
	own := 0
	for ru := range en.runs {
		if ru.job.body.Model == model {
			own++
		}
	}
	vi.Slots = min(vi.Slots, vi.Running+max(max(part, 1)-own, 0))
}
