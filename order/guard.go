package order

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/place"
	"bilberryshelf/table"
)

// Client is a guard's connection to its engine.
type Client interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, or Order) (Reply, error)
}

// Table is the table of the store with a row for each guard, keyed by the address of
// its engine, a row for each slot, and a row for each owner that reports demand.
const Table = "guard"

// Row is the stored value of a guard, of a slot, or of an owner.
type Row struct {
	// Model is the model assigned to the engine. In the row of a slot, it is the model whose
	// weights the holder loads; empty for a free slot.
	Model string `cbor:"1,keyasint"`
	// Holder is the address of the engine whose guard holds a slot; empty for a free one.
	Holder string `cbor:"2,keyasint,omitempty"`
	// Demands is what an owner needs.
	Demands []Demand `cbor:"3,keyasint,omitempty"`
	// Renewal counts the writes of an owner.
	Renewal uint64 `cbor:"4,keyasint,omitempty"`
}

// Encode returns the stored value of a row.
func (ro Row) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(ro)
	return raw, errors.Wrap(err, "encode the row of a guard")
}

// DecodeRow decodes a row of Table. A deleted row is empty.
func DecodeRow(ro table.Row) (Row, error) {
	var re Row
	if ro.Deleted {
		return re, nil
	}
	return re, errors.Wrapf(cbor.Unmarshal(ro.Value, &re), "decode the row of a guard %s", ro.ID.Key)
}

// IsSlot reports whether a row belongs to a slot.
func IsSlot(ro table.Row) bool { return strings.HasPrefix(ro.ID.Key, slotPrefix) }

// Guard sends load orders to one engine. Set the exported fields before Run.
type Guard struct {
	// Name is the instance that the orders name as their holder.
	Name string
	// Addr is the engine's address, Service its service.
	Addr    string
	Service string
	Client  Client
	Store   table.Watcher
	Clock   core.Clock
	Logger  log.Logger
	Meters  *meter.Set
	// DecodeConfig and DecodeVersion decode rows of OperatorTable, DecodeTarget
	// those of TargetTable.
	OperatorTable, TargetTable string
	DecodeConfig               func(table.Row) (*conf.Config, error)
	DecodeVersion              func(table.Row) (model string, version uint64, ok bool, err error)
	DecodeTarget               func(table.Row) (fleet.Target, error)

	mutex  sync.Mutex
	config *conf.Config
	// announced maps a model to the newest version that its trainer announced.
	announced map[string]uint64
	targets   map[string]fleet.Target
	// assigned maps the address of an engine to its model.
	assigned map[string]string
	slots    map[string]slotState
	priority StalePriority
	demands  Demands
	// unassignedSince maps the address of an engine without a model to when it was first
	// seen.
	unassignedSince map[string]time.Time
	// shortageRetryAt is when the next order for a short model may be sent.
	shortageRetryAt time.Time
	// staleSince is when the engine became stale; zero if it is not.
	staleSince time.Time

	fence uint64
	// orderedAt is when the last order was sent; loaded is the version in the last
	// report.
	orderedAt time.Time
	loaded    uint64
	model     string
	lastBusy  time.Time
	failing   bool
	held      heldSlot
	// slotFailingSince is the first store error while taking a slot since the guard
	// last got one.
	slotFailingSince time.Time
}

const (
	// loadPollInterval is the pause between reports while a version is to be loaded,
	// pollInterval the pause otherwise. Reports within an instance cost nothing.
	loadPollInterval = 100 * time.Millisecond
	pollInterval     = 300 * time.Millisecond
	// drainWait is how long a guard that holds a slot waits for the owners to move
	// the engine's runs: one poll of a feed and one report.
	drainWait = 500 * time.Millisecond
	// reportTimeout bounds a report from the guard's own instance.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds an order, to which the engine replies before it loads, and
	// a write to the store.
	orderTimeout = 700 * time.Millisecond
	// targetThrottle and guardThrottle are the pauses after a change of the rows of targets
	// and of guards. They bound the calls to the store that other nodes cause. A slot is
	// taken under a condition, so a late view of it costs a try.
	targetThrottle = 300 * time.Millisecond
	guardThrottle  = 60 * time.Millisecond
	// startPause is the pause between attempts to get a fencing token.
	startPause = 300 * time.Millisecond
	// joinTimeout is how long the guard of a new engine is waited for before engines change
	// their models. A guard writes its row within a second of its start.
	joinTimeout = 5 * time.Second
	// shortagePause is the least time between two orders for models that are short of
	// engines.
	shortagePause = 1500 * time.Millisecond
)

// Run polls the engine and sends it orders until the context ends.
func (gu *Guard) Run(ctx context.Context) {
	gu.announced, gu.targets = map[string]uint64{}, map[string]fleet.Target{}
	gu.assigned, gu.slots = map[string]string{}, map[string]slotState{}
	gu.unassignedSince = map[string]time.Time{}
	var group sync.WaitGroup
	for _, fe := range gu.feeds() {
		group.Go(func() { fe.Run(ctx) })
	}
	for pause := loadPollInterval; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-gu.Clock.After(pause):
			pause = gu.poll(ctx)
		}
	}
	group.Wait()
}

func (gu *Guard) feeds() []*table.Feed {
	feed := func(name string, reset, change func([]table.Row)) *table.Feed {
		return &table.Feed{Store: gu.Store, Clock: gu.Clock, Logger: gu.Logger, Table: name, Reset: reset, Change: change}
	}
	targets := feed(gu.TargetTable, func(rows []table.Row) {
		gu.mutex.Lock()
		clear(gu.targets)
		gu.mutex.Unlock()
		gu.applyTargets(rows)
	}, gu.applyTargets)
	guards := feed(Table, gu.applyGuards, gu.applyGuards)
	targets.Throttle, guards.Throttle = targetThrottle, guardThrottle
	return []*table.Feed{feed(gu.OperatorTable, gu.applyOperator, gu.applyOperator), targets, guards}
}

func (gu *Guard) applyOperator(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		co, err := gu.DecodeConfig(ro)
		if err != nil {
			logs.Error(gu.Logger, "cannot decode the configuration", "err", err)
			continue
		}
		gu.config = conf.Newer(gu.config, co)
		model, version, ok, err := gu.DecodeVersion(ro)
		if err != nil {
			logs.Error(gu.Logger, "cannot decode the announced version", "err", err)
			continue
		}
		if ok && version > gu.announced[model] {
			gu.announced[model] = version
			logs.Info(gu.Logger, "version announced", "model", model, "version", version, "row", ro.Version)
		}
	}
}

func (gu *Guard) applyTargets(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		before := gu.targets[ro.ID.Key]
		delete(gu.targets, ro.ID.Key)
		if ro.Deleted {
			delete(gu.unassignedSince, before.Addr)
			continue
		}
		if ta, err := gu.DecodeTarget(ro); err == nil && ta.Service == gu.Service { // the entries log rows that cannot be decoded
			gu.targets[ta.ID] = ta
		}
	}
}

func (gu *Guard) applyGuards(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		re, err := DecodeRow(ro)
		if err != nil {
			logs.Error(gu.Logger, "cannot decode the row of a guard", "key", ro.ID.Key, "err", err)
			continue
		}
		switch {
		case IsSlot(ro):
			gu.applySlot(ro, re)
		case IsDemand(ro):
			gu.demands.Put(gu.Clock.Now(), ro, re)
		default:
			gu.assigned[ro.ID.Key] = re.Model
		}
	}
}

// poll gets one report from the engine, acts on it, and returns the pause before
// the next poll.
func (gu *Guard) poll(ctx context.Context) time.Duration {
	if gu.fence == 0 && !gu.startRow(ctx) {
		return startPause
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	re, err := gu.Client.Report(call)
	if err != nil {
		gu.reportFailed(err)
		return pollInterval
	}
	gu.reportSucceeded(re)
	gu.logLoaded(re)
	sn := gu.snapshot(re)
	if model := AssignModel(gu.models(), sn.Engines, sn.Self, gu.model); model != gu.model && model != "" {
		if !gu.writeRow(ctx, model) {
			return pollInterval
		}
		sn.Model = model
	}
	gu.reclaim()
	gu.release(ctx, re)
	gu.orderNext(ctx, sn)
	if sn.Announced[sn.Model] > re.Versions[sn.Model] || len(sn.Shortages) > 0 {
		return loadPollInterval
	}
	return pollInterval
}

// orderNext sends the next order if one is due and the guard gets a slot for it.
func (gu *Guard) orderNext(ctx context.Context, sn Snapshot) {
	or, due := Next(sn)
	stale := due && Stale(sn.Report.Versions[sn.Model], or.Version)
	if !due && !gu.Clock.Now().Before(gu.shortageRetryAt) {
		or, due = NextForShortage(sn)
	}
	if !due || !gu.acquire(ctx, place.MaxConcurrentLoads(len(sn.Engines)), or, stale) {
		return
	}
	if or.Mode != Wait && gu.Clock.Now().Sub(gu.held.since) < drainWait {
		return // the owners of its runs see that the slot is taken and move the runs
	}
	gu.sendOrder(ctx, or, sn)
	if or.Model != sn.Model {
		gu.shortageRetryAt = gu.Clock.Now().Add(shortagePause)
	}
}

// startRow writes the guard's row for the first time after a start. It keeps the model that
// the row has: owners take an engine without one for an engine of any model.
func (gu *Guard) startRow(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	page, err := gu.Store.List(call, table.Range{Table: Table, From: gu.Addr, To: gu.Addr + "\x00", Limit: 1})
	if err != nil {
		logs.Warn(gu.Logger, "model assignment not read", "err", err)
		return false
	}
	var have Row
	for _, ro := range page.Rows {
		if have, err = DecodeRow(ro); err != nil {
			logs.Error(gu.Logger, "cannot decode the row of this guard", "err", err)
		}
	}
	return gu.writeRow(ctx, have.Model)
}

// writeRow stores the model of the engine in the guard's row. The version of the
// first write after a start becomes the fencing token.
func (gu *Guard) writeRow(ctx context.Context, model string) bool {
	raw, err := Row{Model: model}.Encode()
	if err != nil {
		logs.Error(gu.Logger, "row not encoded", "err", err)
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version, err := gu.Store.Commit(call, table.Tx{Puts: []table.Put{{ID: table.ID{Table: Table, Key: gu.Addr}, Value: raw}}})
	if err != nil {
		logs.Warn(gu.Logger, "model assignment not stored", "home", model, "err", err)
		return false
	}
	if gu.fence == 0 {
		gu.fence = version
	}
	gu.model = model
	logs.Info(gu.Logger, "model assigned", "home", model, "fence", gu.fence)
	return true
}

func (gu *Guard) models() []string {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	if gu.config == nil {
		return nil
	}
	se, _ := gu.config.Service(gu.Service)
	return se.Models
}

func (gu *Guard) snapshot(re Report) Snapshot {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	now := gu.Clock.Now()
	sn := Snapshot{Self: gu.Addr, Report: re, Model: gu.model, Announced: maps.Clone(gu.announced), LoadSlotModel: gu.held.model}
	sn.Shortages = gu.demands.Shortages(now, gu.Service)
	for at := range sn.Shortages {
		sn.Shortages[at].Loading = gu.loadingElsewhere(now, sn.Shortages[at].Model)
	}
	for _, ta := range gu.targets {
		model := gu.assigned[ta.Addr]
		if ta.Addr == gu.Addr {
			model = gu.model
			if sn.Report.Instance == "" {
				sn.Report.Instance = ta.ID
			}
		}
		stale := model != "" && Stale(ta.Models[model], gu.announced[model])
		sn.Engines = append(sn.Engines, Engine{
			ID: ta.Addr, Model: model, Unguarded: gu.unguarded(now, ta.Addr, model), Versions: ta.Models, Stale: gu.priority.Grants(now, ta.ID, stale),
		})
	}
	if re.Running+re.Waiting > 0 {
		gu.lastBusy = now
	}
	sn.IdleFor = now.Sub(gu.lastBusy)
	if !Stale(re.Versions[gu.model], gu.announced[gu.model]) {
		gu.staleSince = time.Time{}
	} else if gu.staleSince.IsZero() {
		gu.staleSince = now
	}
	if !gu.staleSince.IsZero() {
		sn.StaleFor = now.Sub(gu.staleSince)
	}
	return sn
}

// unguarded reports whether an engine has had no model for joinTimeout.
func (gu *Guard) unguarded(now time.Time, addr, model string) bool {
	if model != "" {
		delete(gu.unassignedSince, addr)
		return false
	}
	since, found := gu.unassignedSince[addr]
	if !found {
		since = now
		gu.unassignedSince[addr] = now
	}
	return now.Sub(since) >= joinTimeout
}

// loadingElsewhere returns the number of other engines that hold a slot to load weights of a
// model.
func (gu *Guard) loadingElsewhere(now time.Time, model string) int {
	count := 0
	for _, sl := range gu.slots {
		if sl.model == model && sl.holder != "" && sl.holder != gu.Addr && now.Sub(sl.seenAt) < maxSlotHold {
			count++
		}
	}
	return count
}

func (gu *Guard) sendOrder(ctx context.Context, or Order, sn Snapshot) {
	or.Holder, or.Fence = gu.Name, gu.fence
	gu.orderedAt = gu.Clock.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := gu.Client.Order(call, or)
	gu.Meters.Count("orders", string(reply), 1)
	logs.Info(gu.Logger, "order", "model", or.Model, "version", or.Version, "mode", or.Mode, "fence", or.Fence,
		"accepted", or.Accepted, "loaded", sn.Report.Versions[or.Model], "running", sn.Report.Running, "slot", gu.held.key,
		"reply", reply, "err", errors.UnwrapAll(err))
}

// logLoaded logs a change of the loaded version.
func (gu *Guard) logLoaded(re Report) {
	if version := re.Versions[gu.model]; version != gu.loaded {
		logs.Info(gu.Logger, "version loaded", "model", gu.model, "version", version, "before", gu.loaded,
			"took", gu.Clock.Now().Sub(gu.orderedAt), "accepted", re.Accepted)
		gu.loaded = version
	}
}

func (gu *Guard) reportFailed(err error) {
	if !gu.failing {
		gu.failing = true
		logs.Warn(gu.Logger, "engine unreachable", "addr", gu.Addr, "err", err)
	}
}

func (gu *Guard) reportSucceeded(re Report) {
	if gu.failing {
		gu.failing = false
		logs.Info(gu.Logger, "engine reachable again", "addr", gu.Addr, "born", re.StartedAt, "accepted", re.Accepted)
	}
}
