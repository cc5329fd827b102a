package intake

import (
	"maps"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/order"
	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// feedThrottle is the pause after a change of heads, which bounds the calls that
// a busy owner causes at each follower.
const feedThrottle = 100 * time.Millisecond

func (en *Entry) feeds() []*table.Feed {
	feed := func(name string, reset, change func([]table.Row)) *table.Feed {
		return &table.Feed{Store: en.store, Clock: en.clock, Logger: en.logger, Table: name, Reset: reset, Change: change}
	}
	heads := feed(batch.HeadTable, en.index.Apply, en.index.Apply)
	heads.Parts, heads.Throttle, heads.Confirmed = batch.Parts(), feedThrottle, en.index.Confirm
	targets := feed(en.decoders.TargetTable, en.resetTargets, en.applyTargets)
	targets.Lost, targets.Recovered = en.registryLost, en.registryRecovered
	members := feed(member.Table, en.applyMembers, en.applyMembers)
	members.Throttle = feedThrottle
	members.Confirmed = func(at time.Time) {
		en.mutex.Lock()
		defer en.mutex.Unlock()
		en.members.Confirm(at)
	}
	return []*table.Feed{
		feed(en.decoders.OperatorTable, en.applyOperator, en.applyOperator), targets, heads, members,
		feed(order.Table, en.applyGuards, en.applyGuards), feed(poison.Table, en.applyLosses, en.applyLosses),
	}
}

// applyGuards takes rows of guards: which model an engine serves, and which engines
// hold a slot for a load.
func (en *Entry) applyGuards(rows []table.Row) {
	for _, ro := range rows {
		re, err := order.DecodeRow(ro)
		switch {
		case err != nil:
			logs.Warn(en.logger, "row of a guard not readable", "err", err)
		case order.IsSlot(ro):
			en.owner.SetLoading(ro.ID.Key, re.Holder)
		default:
			en.owner.SetServedModel(ro.ID.Key, re.Model)
		}
	}
}

// applyOperator takes rows of the operator. Only a higher version is adopted.
func (en *Entry) applyOperator(rows []table.Row) {
	for _, ro := range rows {
		if model, version, ok, err := en.decoders.Version(ro); err != nil {
			logs.Error(en.logger, "named version not readable", "row", ro.Version, "err", err)
		} else if ok {
			en.owner.SetAnnounced(model, version)
		}
		co, err := en.decoders.Config(ro)
		if err != nil {
			logs.Error(en.logger, "configuration not readable", "row", ro.Version, "err", err)
			continue
		}
		have := en.config.Load()
		if next := conf.Newer(have, co); next != have {
			en.config.Store(next)
			logs.Info(en.logger, "configuration adopted", "version", next.Version, "routes", next.Routes(), "row", ro.Version)
		}
	}
	en.markReady()
}

func (en *Entry) markReady() {
	if en.config.Load() != nil && en.ready.CompareAndSwap(false, true) {
		logs.Info(en.logger, "ready")
	}
}

func (en *Entry) decodeTargets(rows []table.Row) (all []fleet.Target, dropped []string) {
	for _, ro := range rows {
		if ro.Dropped {
			dropped = append(dropped, ro.ID.Key)
			continue
		}
		ta, err := en.decoders.Target(ro)
		if err == nil {
			all = append(all, ta)
			continue
		}
		dropped = append(dropped, ro.ID.Key) // it names no target to use
		if !en.malformed[ro.ID.Key] {
			en.malformed[ro.ID.Key] = true
			logs.Warn(en.logger, "target ignored", "id", ro.ID.Key, "row", ro.Version, "err", err)
		}
	}
	return all, dropped
}

func (en *Entry) resetTargets(rows []table.Row) {
	en.mutex.Lock()
	all, _ := en.decodeTargets(rows)
	en.fleet.Replace(en.clock.Now(), all)
	en.mutex.Unlock()
	en.publishTargets()
}

func (en *Entry) applyTargets(rows []table.Row) {
	en.mutex.Lock()
	all, dropped := en.decodeTargets(rows)
	for _, ta := range all {
		en.fleet.Put(ta)
		if ta.Draining {
			logs.Info(en.logger, "target draining", "id", ta.ID, "service", ta.Service, "addr", ta.Addr)
		}
	}
	for _, id := range dropped {
		at := en.fleet.Remove(en.clock.Now(), id)
		logs.Info(en.logger, "target dropped", "id", id, "at-once", at)
	}
	en.mutex.Unlock()
	en.publishTargets()
}

func (en *Entry) registryLost() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.fleet.RegistryDown()
}

func (en *Entry) registryRecovered() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.fleet.RegistryUp(en.clock.Now())
}

// publishTargets hands the targets to those who place work on them.
func (en *Entry) publishTargets() {
	en.mutex.Lock()
	all := en.fleet.All()
	place := fleet.Location{Region: en.settings.Region, Domain: en.settings.Domain, Regions: en.regions}
	en.mutex.Unlock()
	for at := range all {
		all[at].Distance = place.Distance(all[at].Domain)
	}
	en.caller.Update(all)
	en.owner.Update(all)
}

func (en *Entry) applyMembers(rows []table.Row) {
	en.mutex.Lock()
	for _, ro := range rows {
		if err := en.members.Put(en.clock.Now(), ro); err != nil {
			logs.Warn(en.logger, "row of an entry not readable", "node", ro.ID.Key, "err", err)
		}
	}
	regions := en.members.Regions()
	changed := !maps.Equal(regions, en.regions)
	en.regions = regions
	en.mutex.Unlock()
	if changed {
		en.publishTargets()
	}
}
