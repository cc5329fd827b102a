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

// headGather is the pause after a change of heads, which bounds the calls that
// a busy owner causes at each follower.
const headGather = 100 * time.Millisecond

func (en *Entry) feeds() []*table.Feed {
	feed := func(name string, reset, change func([]table.Row)) *table.Feed {
		return &table.Feed{Store: en.store, Clock: en.clock, Logger: en.logger, Table: name, Reset: reset, Change: change}
	}
	heads := feed(batch.HeadTable, en.index.Apply, en.index.Apply)
	heads.Parts, heads.Gather, heads.Fresh = batch.Parts(), headGather, en.index.Confirm
	targets := feed(en.decoders.TargetTable, en.allTargets, en.someTargets)
	targets.Lost, targets.Back = en.registryLost, en.registryBack
	members := feed(member.Table, en.someMembers, en.someMembers)
	members.Gather = headGather
	members.Fresh = func(at time.Time) {
		en.mutex.Lock()
		defer en.mutex.Unlock()
		en.members.Confirm(at)
	}
	return []*table.Feed{
		feed(en.decoders.OperatorTable, en.operator, en.operator), targets, heads, members,
		feed(order.Table, en.guards, en.guards), feed(poison.Table, en.takeLosses, en.takeLosses),
	}
}

// guards takes rows of guards: which model an engine serves, and which engines
// hold a slot for a load.
func (en *Entry) guards(rows []table.Row) {
	for _, ro := range rows {
		re, err := order.DecodeRow(ro)
		switch {
		case err != nil:
			logs.Warn(en.logger, "row of a guard not readable", "err", err)
		case order.IsSlot(ro):
			en.owner.SetLoading(ro.ID.Key, re.Holder)
		default:
			en.owner.SetServedModel(ro.ID.Key, re.Home)
		}
	}
}

// operator takes rows of the operator. Only a higher version is adopted.
func (en *Entry) operator(rows []table.Row) {
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
	en.becomeReady()
}

func (en *Entry) becomeReady() {
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

func (en *Entry) allTargets(rows []table.Row) {
	en.mutex.Lock()
	all, _ := en.decodeTargets(rows)
	en.fleet.Replace(en.clock.Now(), all)
	en.mutex.Unlock()
	en.publish()
}

func (en *Entry) someTargets(rows []table.Row) {
	en.mutex.Lock()
	all, dropped := en.decodeTargets(rows)
	for _, ta := range all {
		en.fleet.Put(ta)
		if ta.Draining {
			logs.Info(en.logger, "target draining", "id", ta.ID, "service", ta.Service, "addr", ta.Addr)
		}
	}
	for _, id := range dropped {
		at := en.fleet.Drop(en.clock.Now(), id)
		logs.Info(en.logger, "target dropped", "id", id, "at-once", at)
	}
	en.mutex.Unlock()
	en.publish()
}

func (en *Entry) registryLost() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.fleet.Lost()
}

func (en *Entry) registryBack() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.fleet.Back(en.clock.Now())
}

// publish hands the targets to those who place work on them.
func (en *Entry) publish() {
	en.mutex.Lock()
	all := en.fleet.All()
	place := fleet.Place{Region: en.settings.Region, Domain: en.settings.Domain, Regions: en.regions}
	en.mutex.Unlock()
	for at := range all {
		all[at].Distance = place.Distance(all[at].Domain)
	}
	en.caller.Update(all)
	en.owner.Update(all)
}

func (en *Entry) someMembers(rows []table.Row) {
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
		en.publish()
	}
}
