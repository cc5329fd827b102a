// Package intake is an entry on the platform: it takes requests and batch jobs,
// follows the configuration, the targets, the jobs and the other entries, and
// runs the jobs that it owns.
package intake

import (
	"context"
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
	"bilberryshelf/member"
	"bilberryshelf/meter"
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
	// MaxBodyBytes bounds the bytes of bodies that are kept together; zero means no bound.
	MaxBodyBytes int64
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
	caller   *calls.Forwarder
	board    *calls.Balancer
	owner    *runs.Owner
	loop     *core.Loop
	dial     func(addr string) table.Client
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
	malformed   map[string]bool
	members     member.View
	regions     map[string]string
	orphans     map[string]time.Time
	peerClients map[string]table.Client

	losses     chan poison.Loss
	bodyMemory limit.ByteBudget
}

// Ports is how an entry reaches the rest of the system.
type Ports struct {
	Direct table.Watcher
	Sender calls.Sender
	// Streamer serves routes whose answers are events.
	Streamer calls.Streamer
	Engine   runs.Engine
	// Dial reaches the tables through the peer at an inner address.
	Dial func(addr string) table.Client
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
		decoders: de, index: batch.NewIndex(clock, lg), board: &calls.Balancer{}, loop: core.NewLoop(), dial: po.Dial, starter: po.Starter,
		done: make(chan struct{}), malformed: map[string]bool{}, orphans: map[string]time.Time{}, peerClients: map[string]table.Client{},
		losses: make(chan poison.Loss, maxQueuedLosses),
	}
	en.bodyMemory.Max = se.MaxBodyBytes
	en.ctx, en.stop = context.WithCancel(context.Background())
	en.store = &via.Store{Direct: po.Direct, Peers: en.peers, Clock: clock, Logger: lg}
	en.ledger = batch.Ledger{Store: en.store}
	en.caller = &calls.Forwarder{
		Sender: po.Sender, Streamer: po.Streamer, Clock: clock, Logger: lg, Meters: me, IntN: rand.IntN, Balancer: en.board, OnDeath: en.enqueueLoss,
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
	group.Go(func() { en.sweep(ctx) })
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
