// Package intake implements an entry on the platform. It accepts requests and
// batch jobs, follows the store's rows of the configuration, the targets, the jobs
// and the other entries, and runs the jobs that it owns.
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
	"bilberryshelf/duty"
	"bilberryshelf/fleet"
	"bilberryshelf/limit"
	"bilberryshelf/member"
	"bilberryshelf/meter"
	"bilberryshelf/poison"
	"bilberryshelf/quota"
	"bilberryshelf/relay"
	"bilberryshelf/runs"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

// Decoders decode the rows that the operator and the registry write. Config returns
// nil, and Version ok as false, for a row of another kind.
type Decoders struct {
	OperatorTable, TargetTable string
	Config                     func(table.Row) (*conf.Config, error)
	Target                     func(table.Row) (fleet.Target, error)
	Version                    func(table.Row) (model string, version uint64, ok bool, err error)
}

// Settings configures an entry at its start.
type Settings struct {
	Node string
	// Region and Domain are the region and failure domain of the entry.
	Region, Domain string
	// Inner is the address at which other entries call this one.
	Inner string
	// Grace is the time from a stop signal until the process is killed.
	Grace time.Duration
	// LowCapacity entries accept jobs but leave it to other entries to run them.
	LowCapacity bool
	// MaxBodyBytes bounds the total bytes of bodies in memory; zero means no bound.
	MaxBodyBytes int64
	// MaxTextBytes bounds the memory of the texts of items; zero means no bound.
	MaxTextBytes int64
	// Duties are the calls that are made by one entry at a time.
	Duties DutySettings
	// FirstStart is set when the whole system starts for the first time, so that no stream
	// can have begun before.
	FirstStart bool
}

// Entry accepts requests and jobs and runs the jobs that it owns. Create it with
// New. It is safe for concurrent use.
type Entry struct {
	settings  Settings
	name      string
	clock     core.Clock
	logger    log.Logger
	meters    *meter.Set
	decoders  Decoders
	store     *relay.Store
	ledger    batch.Ledger
	index     *batch.Index
	forwarder *calls.Forwarder
	balancer  *calls.Balancer
	owner     *runs.Owner
	loop      *core.Loop
	dial      func(addr string) table.Client
	starter   func(addr string) Starter

	config atomic.Pointer[conf.Config]
	// formerRoutes are the routes of batch jobs of earlier configurations.
	formerRoutes atomic.Pointer[[]formerRoute]
	operator     operatorView
	ready        atomic.Bool
	stopping     atomic.Bool
	// demandStored is set if the store may hold a row with the demand of this node.
	demandStored atomic.Bool
	// drain is set once the entry is stopping.
	drain atomic.Pointer[drainTimes]
	// serving ends when the last requests must be answered.
	serving    context.Context
	endServing context.CancelFunc
	ctx        context.Context
	stop       context.CancelFunc
	done       chan struct{}

	departures *fleet.Departures
	freshness  *fleet.Freshness
	rates      *quota.Limits
	// permitIssuer issues the permits of the targets that this entry is responsible for.
	permitIssuer  quota.Issuer
	issuer        func(addr string) Issuer
	origins       origins
	registryReads registryReads
	places        *places
	originClient  func(addr string) OriginClient
	configPeer    func(addr string) ConfigPeer
	// publishing is held while the targets are published, so that an older list never
	// replaces a newer one.
	publishing sync.Mutex

	mutex sync.Mutex
	fleet fleet.Fleet
	// malformed holds the ids of target rows that could not be decoded, so that each
	// is logged once.
	malformed map[string]bool
	members   member.View
	// regions maps failure domains to regions.
	regions map[string]string
	// orphans maps a job to the time at which it was found to be an orphan.
	orphans map[string]time.Time
	// adopting has a lock of its own.
	adopting adoptions
	// failedIssuers maps an entry that did not issue permits to when it is asked again.
	failedIssuers map[string]time.Time
	// issuerSince maps a target to when this entry became the issuer of its permits.
	issuerSince map[string]time.Time
	// peerClients maps inner addresses to clients of the store through a peer.
	peerClients map[string]table.Client

	// usage is nil if the platform wants no usage reports.
	usage *usageDuty

	losses chan poison.Loss
	bodies limit.HeldBytes

	// lease and dutyClient are nil if there are no duties.
	lease      *duty.Runner
	dutyClient DutyClient
	scaler     scaler
}

// Ports holds an entry's clients of the store, the engines and the other entries.
type Ports struct {
	Direct table.Watcher
	Sender calls.Sender
	// Streamer sends requests whose response is a stream of events.
	Streamer calls.Streamer
	Engine   runs.Engine
	// Departures is where the clients above report the targets that leave.
	Departures *fleet.Departures
	// Rates is where they report the limits that targets name.
	Rates *quota.Limits
	// Dial returns a client that calls the store through the peer at an inner
	// address.
	Dial func(addr string) table.Client
	// Starter returns a client that hands jobs over to the peer at an inner address.
	Starter func(addr string) Starter
	// Issuer returns a client that asks the peer at an inner address for permits.
	Issuer func(addr string) Issuer
	// Origins returns a client for the origins of streams at the peer at an inner address.
	Origins func(addr string) OriginClient
	// Configs returns a client that asks the peer at an inner address for the operator's
	// rows; nil means that no peer is asked.
	Configs func(addr string) ConfigPeer
	// Duties makes the calls of the duties; it may be nil if there are none.
	Duties DutyClient
	// Boot is the clock that counts suspensions; nil means that of the system.
	Boot duty.BootClock
}

// Starter hands a job over to another entry.
type Starter interface {
	Start(ctx context.Context, req *wire.StartRequest) (*wire.StartResponse, error)
}

// errStopping is returned for a job that is handed over to a stopping entry.
var errStopping = errors.New("this entry is stopping")

// New creates an entry with a name that is unique to this start of its node.
func New(se Settings, po Ports, de Decoders, clock core.Clock, lg log.Logger, me *meter.Set) *Entry {
	en := &Entry{
		settings: se, name: se.Node + "/" + strconv.FormatUint(rand.Uint64(), 36), clock: clock, logger: lg, meters: me,
		decoders: de, index: batch.NewIndex(clock, lg), balancer: &calls.Balancer{}, loop: core.NewLoop(), dial: po.Dial, starter: po.Starter, issuer: po.Issuer, originClient: po.Origins, failedIssuers: map[string]time.Time{}, issuerSince: map[string]time.Time{},
		done: make(chan struct{}), malformed: map[string]bool{}, orphans: map[string]time.Time{}, peerClients: map[string]table.Client{},
		losses: make(chan poison.Loss, maxQueuedLosses), departures: po.Departures, rates: po.Rates,
		places: newPlaces(),
	}
	if en.departures == nil {
		en.departures = &fleet.Departures{}
	}
	en.departures.OnAnnounced = en.targetLeaves
	if en.rates == nil {
		en.rates = &quota.Limits{}
	}
	en.rates.OnChange, en.rates.OnMalformed, en.rates.OnTake = en.limitChanged, en.limitMalformed, en.permitTaken
	en.bodies.Max = se.MaxBodyBytes
	en.configPeer, en.operator.view.Since = po.Configs, clock.Now()
	en.freshness = &fleet.Freshness{Boot: po.Boot}
	if po.Boot == nil {
		en.freshness.Boot = duty.SystemBootClock{}
	}
	en.ctx, en.stop = context.WithCancel(context.Background())
	en.serving, en.endServing = context.WithCancel(context.Background())
	en.usage = en.newUsageDuty()
	en.store = &relay.Store{Direct: en.usage.observe(en, po.Direct), Peers: en.peers, Clock: clock, Logger: lg}
	en.ledger = batch.Ledger{Store: en.store}
	en.forwarder = &calls.Forwarder{
		Sender: po.Sender, Streamer: po.Streamer, Clock: clock, Logger: lg, Meters: me, IntN: rand.IntN, Balancer: en.balancer, OnDeath: en.enqueueLoss,
		Departures: en.departures, Freshness: en.freshness, Rates: en.rates, Origins: en,
	}
	en.owner = &runs.Owner{
		Ledger: en.ledger, Index: en.index, Engine: po.Engine, Scorer: en,
		Clock: clock, Logger: lg, Meters: me, Loop: en.loop, Departures: en.departures, Freshness: en.freshness, Rates: en.rates,
		Texts: &limit.HeldBytes{},
	}
	en.owner.Texts.Max = se.MaxTextBytes
	en.owner.Init(en.ctx)
	en.lease, en.dutyClient = en.newLease(po), po.Duties
	en.connectUsage()
	return en
}

// Run serves until Stop has drained the entry or Kill is called. Its error is
// always nil.
func (en *Entry) Run() error {
	defer close(en.done)
	ctx := en.ctx
	var group sync.WaitGroup
	group.Go(func() { en.loop.Run(ctx.Done()) })
	group.Go(func() { en.owner.Run(ctx) })
	group.Go(func() { en.renew(ctx) })
	group.Go(func() { en.sweep(ctx) })
	group.Go(func() { en.reportDemand(ctx) })
	group.Go(func() { en.shareLosses(ctx) })
	group.Go(func() { en.askForPermits(ctx) })
	group.Go(func() { en.recordPlaces(ctx) })
	group.Go(func() { en.storeOrigins(ctx) })
	group.Go(func() { en.askForConfig(ctx) })
	group.Go(func() { en.runUsage(ctx) })
	if en.lease != nil {
		group.Go(func() { en.lease.Run(ctx) })
		if en.settings.Duties.Autoscale {
			group.Go(func() { en.orderTargets(ctx, en.lease) })
		}
	}
	for _, fe := range en.feeds() {
		group.Go(func() { fe.Run(ctx) })
	}
	group.Wait()
	return nil
}

// Done returns a channel that is closed when Run has returned.
func (en *Entry) Done() <-chan struct{} { return en.done }

// Ready reports whether new connections should come here: the entry has a
// configuration and is not stopping.
func (en *Entry) Ready() bool { return en.ready.Load() && !en.stopping.Load() }

// Stopping reports whether the entry is stopping.
func (en *Entry) Stopping() bool { return en.stopping.Load() }
