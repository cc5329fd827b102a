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

// The pauses after a change of the rows that many nodes write. They bound the calls to the
// store that the other nodes cause at each entry: without them an entry makes one call a
// change, and the changes grow with the fleet.
const (
	// headThrottle delays the results that trainers read at other entries.
	headThrottle = 100 * time.Millisecond
	// targetThrottle delays targets that leave or join, which are told seconds ahead.
	targetThrottle = 150 * time.Millisecond
	// guardThrottle delays which engines load.
	guardThrottle = 150 * time.Millisecond
	// memberThrottle is short against the three seconds after which an entry counts as dead.
	memberThrottle = 300 * time.Millisecond
)

// feeds returns a feed for each table that the entry follows.
func (en *Entry) feeds() []*table.Feed {
	feed := func(name string, reset, change func([]table.Row)) *table.Feed {
		return &table.Feed{Store: en.store, Clock: en.clock, Logger: en.logger, Table: name, Reset: reset, Change: change}
	}
	heads := feed(batch.HeadTable, en.index.Apply, en.index.Apply)
	heads.Parts, heads.Throttle, heads.Confirmed = batch.Parts(), headThrottle, en.index.Confirm
	targets := feed(en.decoders.TargetTable, en.resetTargets, en.applyTargets)
	targets.Throttle = targetThrottle
	targets.Confirmed = func(time.Time) { en.freshness.Confirm() }
	targets.Lost, targets.Recovered = en.registryLost, en.registryRecovered
	members := feed(member.Table, en.applyMembers, en.applyMembers)
	members.Throttle = memberThrottle
	members.Confirmed = func(at time.Time) {
		en.mutex.Lock()
		defer en.mutex.Unlock()
		en.members.Confirm(at)
	}
	guards := feed(order.Table, en.applyGuards, en.applyGuards)
	guards.Throttle = guardThrottle
	operator := feed(en.decoders.OperatorTable, en.applyOperator, en.applyOperator)
	operator.Confirmed, operator.Wait = en.confirmConfig, configWait
	return []*table.Feed{
		operator, targets, heads, members,
		guards, feed(poison.Table, en.applyLosses, en.applyLosses),
	}
}

// applyGuards applies rows of the guards' table: which model an engine serves, which
// engines hold a slot for loading weights, and what other owners need.
func (en *Entry) applyGuards(rows []table.Row) {
	for _, ro := range rows {
		re, err := order.DecodeRow(ro)
		switch {
		case err != nil:
			logs.Warn(en.logger, "cannot decode the row of a guard", "err", err)
		case order.IsSlot(ro):
			en.owner.SetLoading(ro.ID.Key, re.Holder)
		case ro.ID == order.DemandID(en.settings.Node):
			en.demandStored.Store(!ro.Deleted) // perhaps by an earlier process of this node
		case order.IsDemand(ro):
			en.owner.SetDemand(ro, re)
		default:
			en.owner.SetServedModel(ro.ID.Key, re.Model)
		}
	}
}

// applyOperator applies rows written by the operator, from the store or from a peer. A row
// replaces the one held, and a configuration the current one, only if its version is higher.
func (en *Entry) applyOperator(rows []table.Row) {
	en.operator.applying.Lock()
	defer en.operator.applying.Unlock()
	for _, ro := range en.operator.put(rows) {
		if model, version, ok, err := en.decoders.Version(ro); err != nil {
			logs.Error(en.logger, "cannot decode the announced version", "row", ro.Version, "err", err)
		} else if ok {
			en.owner.SetAnnounced(model, version)
		}
		co, err := en.decoders.Config(ro)
		if err != nil {
			logs.Error(en.logger, "cannot decode the configuration", "row", ro.Version, "err", err)
			continue
		}
		have := en.config.Load()
		if next := conf.Newer(have, co); next != have {
			en.rememberRoutes(have, next) // before requests are judged by the new one
			en.config.Store(next)
			en.owner.SetConfig(next)
			en.places.setRoutes(en.clock.Now(), next.AllRoutes())
			en.meters.Gauge("config-version", "", int64(next.Version))
			logs.Info(en.logger, "configuration adopted", "version", next.Version, "routes", next.Routes(), "row", ro.Version)
		}
	}
	en.markReady()
}

// markReady reports the entry as ready once it has a configuration.
func (en *Entry) markReady() {
	if en.config.Load() != nil && en.ready.CompareAndSwap(false, true) {
		logs.Info(en.logger, "ready")
	}
}

// decodeTargets returns the targets of rows, and the ids of rows that were deleted
// or cannot be decoded. It logs each malformed id once.
func (en *Entry) decodeTargets(rows []table.Row) (all []fleet.Target, deleted []string) {
	for _, ro := range rows {
		if ro.Deleted {
			deleted = append(deleted, ro.ID.Key)
			delete(en.malformed, ro.ID.Key)
			continue
		}
		ta, err := en.decoders.Target(ro)
		if err == nil {
			all = append(all, ta)
			delete(en.malformed, ro.ID.Key)
			continue
		}
		deleted = append(deleted, ro.ID.Key) // no usable target
		if !en.malformed[ro.ID.Key] {
			en.malformed[ro.ID.Key] = true
			logs.Warn(en.logger, "target ignored", "id", ro.ID.Key, "row", ro.Version, "err", err)
		}
	}
	return all, deleted
}

// resetTargets replaces all targets after a list of the registry's table.
func (en *Entry) resetTargets(rows []table.Row) {
	en.mutex.Lock()
	all, _ := en.decodeTargets(rows)
	en.fleet.Replace(en.clock.Now(), all)
	en.mutex.Unlock()
	en.publishTargets()
}

// applyTargets applies changed rows of the registry's table.
func (en *Entry) applyTargets(rows []table.Row) {
	en.mutex.Lock()
	all, deleted := en.decodeTargets(rows)
	for _, ta := range all {
		en.fleet.Put(ta)
		if ta.Draining {
			logs.Info(en.logger, "target draining", "id", ta.ID, "service", ta.Service, "addr", ta.Addr)
		}
	}
	for _, id := range deleted {
		removed := en.fleet.Remove(en.clock.Now(), id)
		logs.Info(en.logger, "target dropped", "id", id, "at-once", removed)
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

// targetLeaves ends new work on a target that announced in a response that it leaves.
// It returns once the forwarder chooses among the others.
func (en *Entry) targetLeaves(ta fleet.Target) {
	logs.Info(en.logger, "target announced its departure", "id", ta.ID, "service", ta.Service, "addr", ta.Addr, "started", ta.StartedAt)
	en.meters.Count("targets-leaving", ta.Service, 1)
	en.publishTargets()
}

// publishTargets passes the targets, with their distances from this entry, to the
// forwarder and the owner, which choose targets from them.
func (en *Entry) publishTargets() {
	en.publishing.Lock()
	defer en.publishing.Unlock()
	en.mutex.Lock()
	all := en.fleet.All()
	lo := fleet.Location{Region: en.settings.Region, Domain: en.settings.Domain, Regions: en.regions}
	en.mutex.Unlock()
	for at := range all {
		all[at].Distance = lo.Distance(all[at].Domain)
	}
	en.departures.Mark(en.clock.Now(), all)
	en.places.setTargets(en.clock.Now(), all)
	en.forwarder.Update(all)
	en.owner.Update(all)
}

// applyMembers applies rows of entries and publishes the targets again if a
// failure domain's region changed.
func (en *Entry) applyMembers(rows []table.Row) {
	en.mutex.Lock()
	for _, ro := range rows {
		if err := en.members.Put(en.clock.Now(), ro); err != nil {
			logs.Warn(en.logger, "cannot decode the row of an entry", "node", ro.ID.Key, "err", err)
		}
	}
	announcements := en.members.Announcements(rows)
	regions := en.members.Regions()
	changed := !maps.Equal(regions, en.regions)
	en.regions = regions
	en.mutex.Unlock()
	for _, raw := range announcements {
		if err := en.rates.Adopt(en.clock.Now(), raw); err != nil {
			logs.Warn(en.logger, "cannot decode the limits that an entry announces", "err", err)
		}
	}
	if changed {
		en.publishTargets()
	}
}
