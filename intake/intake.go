// Package intake is an entry on the platform: it takes requests and batch jobs,
// follows the configuration, the targets, the jobs and the other entries, and
// runs the jobs that it owns.
package intake

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/limit"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/meter"
	"bilberryshelf/order"
	"bilberryshelf/poison"
	"bilberryshelf/runs"
	"bilberryshelf/table"
	"bilberryshelf/via"
	"bilberryshelf/wire"
)

// Decoders read the rows that others write.
type Decoders struct {
	OperatorTable, TargetTable string
	Config                     func(table.Row) (*conf.Config, error)
	Target                     func(table.Row) (fleet.Target, error)
	Version                    func(table.Row) (model string, version uint64, ok bool, err error)
}

// Settings is what an entry is told at its start.
type Settings struct {
	Node string
	// Region and Domain are where the entry stands.
	Region, Domain string
	// Inner is the address that the entry tells its peers.
	Inner string
	// Grace is how long the process has between a stop signal and its end.
	Grace time.Duration
	// Weak entries take jobs but leave them to others.
	Weak bool
	// Bodies bounds the bytes of bodies that are kept together; zero means no bound.
	Bodies int64
}

// Entry is one entry. Make it with New.
type Entry struct {
	settings Settings
	name     string
	clock    core.Clock
	logger   log.Logger
	meters   *meter.Set
	decoders Decoders
	store    *via.Store
	ledger   batch.Ledger
	index    *batch.Index
	caller   *calls.Caller
	board    *calls.Board
	owner    *runs.Owner
	loop     *core.Loop
	dial     func(addr string) table.Caller
	starter  func(addr string) Starter

	config  atomic.Pointer[conf.Config]
	ready   atomic.Bool
	leaving atomic.Bool
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}

	mutex sync.Mutex
	fleet fleet.Fleet
	// malformed holds the ids of rows that name no target, each logged once.
	malformed map[string]bool
	members   member.View
	regions   map[string]string
	orphans   map[string]time.Time
	dials     map[string]table.Caller

	losses chan poison.Loss
	bodies limit.Space
}

// Ports is how an entry reaches the rest of the system.
type Ports struct {
	Direct table.Watcher
	Sender calls.Sender
	// Streamer serves routes whose answers are events.
	Streamer calls.Streamer
	Engine   runs.Engine
	// Dial reaches the tables through the peer at an inner address.
	Dial func(addr string) table.Caller
	// Starter hands jobs to the peer at an inner address.
	Starter func(addr string) Starter
}

// Starter hands a job to another entry.
type Starter interface {
	Start(ctx context.Context, req *wire.StartRequest) (*wire.StartResponse, error)
}

// errLeaving refuses a job at an entry that is about to stop.
var errLeaving = errors.New("this entry is stopping")

// New makes an entry.
func New(se Settings, po Ports, de Decoders, clock core.Clock, lg log.Logger, me *meter.Set) *Entry {
	en := &Entry{
		settings: se, name: se.Node + "/" + strconv.FormatUint(rand.Uint64(), 36), clock: clock, logger: lg, meters: me,
		decoders: de, index: batch.NewIndex(lg), board: &calls.Board{}, loop: core.NewLoop(), dial: po.Dial, starter: po.Starter,
		done: make(chan struct{}), malformed: map[string]bool{}, orphans: map[string]time.Time{}, dials: map[string]table.Caller{},
		losses: make(chan poison.Loss, mostLosses),
	}
	en.bodies.Most = se.Bodies
	en.ctx, en.stop = context.WithCancel(context.Background())
	en.store = &via.Store{Direct: po.Direct, Peers: en.peers, Clock: clock, Logger: lg}
	en.ledger = batch.Ledger{Store: en.store}
	en.caller = &calls.Caller{
		Sender: po.Sender, Streamer: po.Streamer, Clock: clock, Logger: lg, Meters: me, Draw: rand.IntN, Board: en.board, Tell: en.tellLoss,
	}
	en.owner = &runs.Owner{
		Ledger: en.ledger, Index: en.index, Engine: po.Engine, Scorer: en,
		Clock: clock, Logger: lg, Meters: me, Loop: en.loop,
	}
	en.owner.Init(en.ctx)
	return en
}

// Run serves until Stop.
func (en *Entry) Run() error {
	defer close(en.done)
	ctx := en.ctx
	var group sync.WaitGroup
	group.Go(func() { en.loop.Run(ctx.Done()) })
	group.Go(func() { en.owner.Run(ctx) })
	group.Go(func() { en.renew(ctx) })
	group.Go(func() { en.look(ctx) })
	group.Go(func() { en.shareLosses(ctx) })
	for _, fe := range en.feeds() {
		group.Go(func() { fe.Run(ctx) })
	}
	group.Wait()
	return nil
}

// Done closes when the entry has ended.
func (en *Entry) Done() <-chan struct{} { return en.done }

// Ready tells whether new connections should come here.
func (en *Entry) Ready() bool { return en.ready.Load() && !en.leaving.Load() }

// Leaving tells whether the process is about to stop.
func (en *Entry) Leaving() bool { return en.leaving.Load() }

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
			en.owner.Loading(ro.ID.Key, re.Holder)
		default:
			en.owner.Home(ro.ID.Key, re.Home)
		}
	}
}

// operator takes rows of the operator. Only a higher version is adopted.
func (en *Entry) operator(rows []table.Row) {
	for _, ro := range rows {
		if model, version, ok, err := en.decoders.Version(ro); err != nil {
			logs.Error(en.logger, "named version not readable", "row", ro.Version, "err", err)
		} else if ok {
			en.owner.Named(model, version)
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
	en.board.Update(all)
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

// peers lists the live entries that may pass calls on.
func (en *Entry) peers() []via.Peer {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	var peers []via.Peer
	for _, re := range en.members.Live(en.clock.Now()) {
		if re.Name == en.name || re.Addr == "" {
			continue
		}
		ca := en.dials[re.Addr]
		if ca == nil {
			ca = en.dial(re.Addr)
			en.dials[re.Addr] = ca
		}
		peers = append(peers, via.Peer{Name: re.Name, Store: ca})
	}
	rand.Shuffle(len(peers), func(lhs, rhs int) { peers[lhs], peers[rhs] = peers[rhs], peers[lhs] })
	return peers
}

// renew keeps the entry's row.
func (en *Entry) renew(ctx context.Context) {
	near := false
	for beat := uint64(1); ctx.Err() == nil; beat++ {
		re := member.Record{
			Name: en.name, Addr: en.settings.Inner, Beat: beat, Weak: en.settings.Weak, Leaving: en.leaving.Load(), Region: en.settings.Region, Domain: en.settings.Domain, Near: near,
		}
		began := en.clock.Now()
		err := en.writeMember(ctx, re)
		if took := en.clock.Now().Sub(began); err == nil && took < nearTime {
			near = true // a slow store later says nothing of the distance
		}
		if err != nil && ctx.Err() == nil {
			logs.Warn(en.logger, "row not renewed", "beat", beat, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-en.clock.After(member.Renewal):
		}
	}
}

func (en *Entry) writeMember(ctx context.Context, re member.Record) error {
	raw, err := re.Encode()
	if err != nil {
		return errors.Wrap(err, "encode the row of an entry")
	}
	return en.write(ctx, table.Tx{Puts: []table.Put{{ID: member.ID(en.settings.Node), Value: raw}}})
}

// writeTime bounds a write of a small row: by then the next renewal is due.
const writeTime = member.Renewal

// nearTime is how fast an entry near the store writes a row: the store's 4 to 10 ms
// and a way within the region; the way to another region alone takes 60 ms.
const nearTime = 40 * time.Millisecond

// lookEvery is the pause between looks for orphans and lapsed targets.
const lookEvery = 200 * time.Millisecond

// look finds jobs without an owner and targets that did not come back.
func (en *Entry) look(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(lookEvery):
		}
		en.mutex.Lock()
		gone := en.fleet.Sweep(en.clock.Now())
		en.mutex.Unlock()
		if len(gone) > 0 {
			logs.Info(en.logger, "targets did not come back", "count", len(gone))
			en.publish()
		}
		heads := en.index.All()
		en.adoptOrphans(ctx, heads)
		en.forgetOld(ctx, heads)
		en.forgetLosses(ctx)
	}
}
