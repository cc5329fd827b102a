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

// Client is the engine as its guard reaches it.
type Client interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, or Order) (Reply, error)
}

// Table holds a row for each guard, under the address of its engine, and a row
// for each slot.
const Table = "guard"

// Row is what a guard keeps in the store.
type Row struct {
	Model string `cbor:"1,keyasint"`
	// Holder is the guard that holds a slot; empty for a free one.
	Holder string `cbor:"2,keyasint,omitempty"`
}

// Encode turns a row into its value.
func (ro Row) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(ro)
	return raw, errors.Wrap(err, "encode the row of a guard")
}

// DecodeRow reads a row of Table. A dropped row is empty.
func DecodeRow(ro table.Row) (Row, error) {
	var re Row
	if ro.Dropped {
		return re, nil
	}
	return re, errors.Wrapf(cbor.Unmarshal(ro.Value, &re), "decode the row of a guard %s", ro.ID.Key)
}

// IsSlot tells whether a row is that of a slot.
func IsSlot(ro table.Row) bool { return strings.HasPrefix(ro.ID.Key, slotPrefix) }

// Guard orders one engine. Set the exported fields before Run.
type Guard struct {
	// Name is the holder of the orders, the instance.
	Name string
	// Addr is the engine's address, Service its service.
	Addr    string
	Service string
	Client  Client
	Store   table.Watcher
	Clock   core.Clock
	Logger  log.Logger
	Meters  *meter.Set
	// Config and Version read rows of the operator, Target rows of targets.
	OperatorTable, TargetTable string
	DecodeConfig               func(table.Row) (*conf.Config, error)
	DecodeVersion              func(table.Row) (model string, version uint64, ok bool, err error)
	DecodeTarget               func(table.Row) (fleet.Target, error)

	mutex    sync.Mutex
	config   *conf.Config
	named    map[string]uint64
	targets  map[string]fleet.Target
	assigned map[string]string
	slots    map[string]slotState
	priority StalePriority

	fence uint64
	// orderedAt is when the last order went out, loaded the version last seen.
	orderedAt time.Time
	loaded    uint64
	model     string
	lastBusy  time.Time
	failing   bool
	held      heldSlot
	// slotFailingSince is when the store first failed to give a slot.
	slotFailingSince time.Time
}

const (
	// loadPollInterval is the pause between reports while a version is to be loaded, and
	// calm otherwise. Reports from the engine's own instance are free.
	loadPollInterval = 100 * time.Millisecond
	pollInterval     = 300 * time.Millisecond
	// drainWait is how long an engine with runs waits under its slot for their
	// owners to move them: a feed's turn and a report.
	drainWait = 500 * time.Millisecond
	// reportTimeout bounds a report from the own instance.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds an order: the engine answers before it loads.
	orderTimeout = 700 * time.Millisecond
	// startPause is the pause between tries to get a fence.
	startPause = 300 * time.Millisecond
)

// Run orders the engine until the context ends.
func (gu *Guard) Run(ctx context.Context) {
	gu.named, gu.targets = map[string]uint64{}, map[string]fleet.Target{}
	gu.assigned, gu.slots = map[string]string{}, map[string]slotState{}
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
	return []*table.Feed{
		feed(gu.OperatorTable, gu.applyOperator, gu.applyOperator),
		feed(gu.TargetTable, func(rows []table.Row) {
			gu.mutex.Lock()
			clear(gu.targets)
			gu.mutex.Unlock()
			gu.applyTargets(rows)
		}, gu.applyTargets),
		feed(Table, gu.applyGuards, gu.applyGuards),
	}
}

func (gu *Guard) applyOperator(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		co, err := gu.DecodeConfig(ro)
		if err != nil {
			logs.Error(gu.Logger, "configuration not readable", "err", err)
			continue
		}
		gu.config = conf.Newer(gu.config, co)
		model, version, ok, err := gu.DecodeVersion(ro)
		if err != nil {
			logs.Error(gu.Logger, "named version not readable", "err", err)
			continue
		}
		if ok && version > gu.named[model] {
			gu.named[model] = version
			logs.Info(gu.Logger, "version named", "model", model, "version", version, "row", ro.Version)
		}
	}
}

func (gu *Guard) applyTargets(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		delete(gu.targets, ro.ID.Key)
		if ro.Dropped {
			continue
		}
		if ta, err := gu.DecodeTarget(ro); err == nil && ta.Service == gu.Service { // the entries log rows that cannot be read
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
			logs.Error(gu.Logger, "row of a guard not readable", "key", ro.ID.Key, "err", err)
			continue
		}
		if IsSlot(ro) {
			gu.applySlot(ro, re)
			continue
		}
		gu.assigned[ro.ID.Key] = re.Model
	}
}

// poll looks at the engine once, and returns the pause before the next look.
func (gu *Guard) poll(ctx context.Context) time.Duration {
	if gu.fence == 0 && !gu.writeRow(ctx, "") {
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
	si := gu.snapshot(re)
	if home := AssignModel(gu.models(), si.Engines, si.Self, gu.model); home != gu.model && home != "" {
		if !gu.writeRow(ctx, home) {
			return pollInterval
		}
		si.Model = home
	}
	gu.release(ctx, re)
	gu.orderNext(ctx, si)
	if si.Named[si.Model] > re.Versions[si.Model] {
		return loadPollInterval
	}
	return pollInterval
}

// orderNext gives the next order, if one is due and a slot is free for it.
func (gu *Guard) orderNext(ctx context.Context, si Snapshot) {
	or, due := Next(si)
	if !due || !gu.acquire(ctx, place.MaxConcurrentLoads(len(si.Engines)), or.Version, Stale(si.Report.Versions[si.Model], or.Version)) {
		return
	}
	if or.Mode != Wait && gu.Clock.Now().Sub(gu.held.since) < drainWait {
		return // the owners of its runs see the slot and move them
	}
	gu.sendOrder(ctx, or, si)
}

// writeRow writes the guard's row. The version of the first such write is the
// fence of this start.
func (gu *Guard) writeRow(ctx context.Context, home string) bool {
	raw, err := Row{Model: home}.Encode()
	if err != nil {
		logs.Error(gu.Logger, "row not encoded", "err", err)
		return false
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	version, err := gu.Store.Commit(call, table.Tx{Puts: []table.Put{{ID: table.ID{Table: Table, Key: gu.Addr}, Value: raw}}})
	if err != nil {
		logs.Warn(gu.Logger, "home not claimed", "home", home, "err", err)
		return false
	}
	if gu.fence == 0 {
		gu.fence = version
	}
	gu.model = home
	logs.Info(gu.Logger, "home claimed", "home", home, "fence", gu.fence)
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
	si := Snapshot{Self: gu.Addr, Report: re, Model: gu.model, Named: maps.Clone(gu.named)}
	for _, ta := range gu.targets {
		home := gu.assigned[ta.Addr]
		if ta.Addr == gu.Addr {
			home = gu.model
			if si.Report.Instance == "" {
				si.Report.Instance = ta.ID
			}
		}
		needy := home != "" && Stale(ta.Models[home], gu.named[home])
		si.Engines = append(si.Engines, Engine{ID: ta.Addr, Model: home, Stale: gu.priority.Grants(now, ta.ID, needy)})
	}
	if re.Running+re.Waiting > 0 {
		gu.lastBusy = now
	}
	si.IdleFor = now.Sub(gu.lastBusy)
	return si
}

func (gu *Guard) sendOrder(ctx context.Context, or Order, si Snapshot) {
	or.Holder, or.Fence = gu.Name, gu.fence
	gu.orderedAt = gu.Clock.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := gu.Client.Order(call, or)
	gu.Meters.Count("orders", string(reply), 1)
	logs.Info(gu.Logger, "order", "model", or.Model, "version", or.Version, "mode", or.Mode, "fence", or.Fence,
		"accepted", or.Accepted, "loaded", si.Report.Versions[or.Model], "running", si.Report.Running, "slot", gu.held.key,
		"reply", reply, "err", errors.UnwrapAll(err))
}

// logLoaded logs that the engine came to another version.
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
		logs.Warn(gu.Logger, "engine lost", "addr", gu.Addr, "err", err)
	}
}

func (gu *Guard) reportSucceeded(re Report) {
	if gu.failing {
		gu.failing = false
		logs.Info(gu.Logger, "engine regained", "addr", gu.Addr, "born", re.StartedAt, "accepted", re.Accepted)
	}
}
