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

// Port is the engine as its guard reaches it.
type Port interface {
	Report(ctx context.Context) (Report, error)
	Order(ctx context.Context, or Order) (Reply, error)
}

// Table holds a row for each guard, under the address of its engine, and a row
// for each slot.
const Table = "guard"

// Row is what a guard keeps in the store.
type Row struct {
	Home string `cbor:"1,keyasint"`
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
	Port    Port
	Store   table.Watcher
	Clock   core.Clock
	Logger  log.Logger
	Meters  *meter.Set
	// Config and Version read rows of the operator, Target rows of targets.
	OperatorTable, TargetTable string
	Config                     func(table.Row) (*conf.Config, error)
	Version                    func(table.Row) (model string, version uint64, ok bool, err error)
	Target                     func(table.Row) (fleet.Target, error)

	mutex   sync.Mutex
	config  *conf.Config
	named   map[string]uint64
	targets map[string]fleet.Target
	homes   map[string]string
	slots   map[string]slot
	needs   Needs

	fence uint64
	// ordered is when the last order went out, loaded the version last seen.
	ordered time.Time
	loaded  uint64
	home    string
	idle    time.Time
	failing bool
	held    held
	// barred is when the store first failed to give a slot.
	barred time.Time
}

const (
	// watchful is the pause between reports while a version is to be loaded, and
	// calm otherwise. Reports from the engine's own instance are free.
	watchful = 100 * time.Millisecond
	calm     = 300 * time.Millisecond
	// clearWait is how long an engine with runs waits under its slot for their
	// owners to move them: a feed's turn and a report.
	clearWait = 500 * time.Millisecond
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
	gu.homes, gu.slots = map[string]string{}, map[string]slot{}
	var group sync.WaitGroup
	for _, fe := range gu.feeds() {
		group.Go(func() { fe.Run(ctx) })
	}
	for pause := watchful; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-gu.Clock.After(pause):
			pause = gu.step(ctx)
		}
	}
	group.Wait()
}

func (gu *Guard) feeds() []*table.Feed {
	feed := func(name string, reset, change func([]table.Row)) *table.Feed {
		return &table.Feed{Store: gu.Store, Clock: gu.Clock, Logger: gu.Logger, Table: name, Reset: reset, Change: change}
	}
	return []*table.Feed{
		feed(gu.OperatorTable, gu.operator, gu.operator),
		feed(gu.TargetTable, func(rows []table.Row) {
			gu.mutex.Lock()
			clear(gu.targets)
			gu.mutex.Unlock()
			gu.registry(rows)
		}, gu.registry),
		feed(Table, gu.peers, gu.peers),
	}
}

func (gu *Guard) operator(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		co, err := gu.Config(ro)
		if err != nil {
			logs.Error(gu.Logger, "configuration not readable", "err", err)
			continue
		}
		gu.config = conf.Newer(gu.config, co)
		model, version, ok, err := gu.Version(ro)
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

func (gu *Guard) registry(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		delete(gu.targets, ro.ID.Key)
		if ro.Dropped {
			continue
		}
		if ta, err := gu.Target(ro); err == nil && ta.Service == gu.Service { // the entries log rows that cannot be read
			gu.targets[ta.ID] = ta
		}
	}
}

func (gu *Guard) peers(rows []table.Row) {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for _, ro := range rows {
		re, err := DecodeRow(ro)
		if err != nil {
			logs.Error(gu.Logger, "row of a guard not readable", "key", ro.ID.Key, "err", err)
			continue
		}
		if IsSlot(ro) {
			gu.seeSlot(ro, re)
			continue
		}
		gu.homes[ro.ID.Key] = re.Home
	}
}

// step looks at the engine once, and returns the pause before the next look.
func (gu *Guard) step(ctx context.Context) time.Duration {
	if gu.fence == 0 && !gu.claim(ctx, "") {
		return startPause
	}
	call, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	re, err := gu.Port.Report(call)
	if err != nil {
		gu.lost(err)
		return calm
	}
	gu.regained(re)
	gu.told(re)
	si := gu.situation(re)
	if home := Home(gu.models(), si.Engines, si.Self, gu.home); home != gu.home && home != "" {
		if !gu.claim(ctx, home) {
			return calm
		}
		si.Home = home
	}
	gu.release(ctx, re)
	gu.advance(ctx, si)
	if si.Named[si.Home] > re.Versions[si.Home] {
		return watchful
	}
	return calm
}

// advance gives the next order, if one is due and a slot is free for it.
func (gu *Guard) advance(ctx context.Context, si Situation) {
	or, due := Next(si)
	if !due || !gu.acquire(ctx, place.MaxConcurrentLoads(len(si.Engines)), or.Version, Needy(si.Report.Versions[si.Home], or.Version)) {
		return
	}
	if or.Mode != Wait && gu.Clock.Now().Sub(gu.held.since) < clearWait {
		return // the owners of its runs see the slot and move them
	}
	gu.order(ctx, or, si)
}

// claim writes the guard's row. The version of the first such write is the
// fence of this start.
func (gu *Guard) claim(ctx context.Context, home string) bool {
	raw, err := Row{Home: home}.Encode()
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
	gu.home = home
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

func (gu *Guard) situation(re Report) Situation {
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	now := gu.Clock.Now()
	si := Situation{Self: gu.Addr, Report: re, Home: gu.home, Named: maps.Clone(gu.named)}
	for _, ta := range gu.targets {
		home := gu.homes[ta.Addr]
		if ta.Addr == gu.Addr {
			home = gu.home
			if si.Report.Instance == "" {
				si.Report.Instance = ta.ID
			}
		}
		needy := home != "" && Needy(ta.Models[home], gu.named[home])
		si.Engines = append(si.Engines, Engine{ID: ta.Addr, Home: home, Needy: gu.needs.First(now, ta.ID, needy)})
	}
	if re.Running+re.Waiting > 0 {
		gu.idle = now
	}
	si.IdleFor = now.Sub(gu.idle)
	return si
}

func (gu *Guard) order(ctx context.Context, or Order, si Situation) {
	or.Holder, or.Fence = gu.Name, gu.fence
	gu.ordered = gu.Clock.Now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := gu.Port.Order(call, or)
	gu.Meters.Count("orders", string(reply), 1)
	logs.Info(gu.Logger, "order", "model", or.Model, "version", or.Version, "mode", or.Mode, "fence", or.Fence,
		"accepted", or.Accepted, "loaded", si.Report.Versions[or.Model], "running", si.Report.Running, "slot", gu.held.key,
		"reply", reply, "err", errors.UnwrapAll(err))
}

// told logs that the engine came to another version.
func (gu *Guard) told(re Report) {
	if version := re.Versions[gu.home]; version != gu.loaded {
		logs.Info(gu.Logger, "version loaded", "model", gu.home, "version", version, "before", gu.loaded,
			"took", gu.Clock.Now().Sub(gu.ordered), "accepted", re.Accepted)
		gu.loaded = version
	}
}

func (gu *Guard) lost(err error) {
	if !gu.failing {
		gu.failing = true
		logs.Warn(gu.Logger, "engine lost", "addr", gu.Addr, "err", err)
	}
}

func (gu *Guard) regained(re Report) {
	if gu.failing {
		gu.failing = false
		logs.Info(gu.Logger, "engine regained", "addr", gu.Addr, "born", re.Born, "accepted", re.Accepted)
	}
}
