// Package entry implements the process behind the load balancer, which serves
// the API for callers, trainers and operators. Entries are interchangeable and
// keep no state that cannot be rebuilt.
//
// One goroutine (the loop) owns the state and publishes an immutable view.
// Request goroutines read the view and report their results to the loop.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"bilberryshelf/core"
	"bilberryshelf/gossip"
	"bilberryshelf/limit"
	"bilberryshelf/loan"
	"bilberryshelf/meter"
	"bilberryshelf/poison"
	"bilberryshelf/retry"
	"bilberryshelf/route"
	"bilberryshelf/setup"
	"bilberryshelf/sheet"
	"bilberryshelf/store"
	"bilberryshelf/strict"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	Fetch(ctx context.Context) ([]store.Instance, error)
}

// Platform holds the platform's services that an entry uses.
type Platform struct {
	Tables    sheet.Table
	Objects   sheet.Objects
	Instances InstanceLister
}

// Entry serves requests and exchanges configuration with guards and the other
// entries. Create it with New.
type Entry struct {
	wireconnect.UnimplementedPeerServiceHandler

	settings  setup.Entry
	clock     core.Clock
	logger    log.Logger
	meters    *meter.Set
	lister    InstanceLister
	acceptor  *sheet.Acceptor
	inner     *http.Client
	nodeToken string
	// linkLimiter limits the bytes on the link to other regions; nil means no
	// limit.
	linkLimiter *rate.Limiter

	loop *core.Loop
	view atomic.Pointer[view]
	ctx  context.Context
	stop chan struct{}
	done chan struct{}
	// requests counts the HTTP requests in progress.
	requests sync.WaitGroup
	draining atomic.Bool
	// buffered counts the answers that are buffered until they are complete.
	buffered limit.ByteBudget

	state
}

// state holds what only the loop may access.
type state struct {
	book        loan.Book
	encodedBook []byte
	remotes     map[string]*remote
	instances   []store.Instance
	gossipNode  gossip.Node
	peers       map[string]string
	poison      poison.List
	limiters    map[string]*serviceLimiter
	budget      retry.Budget
	steps       map[string]*step
	lastItemID  uint64
	// excludedUntil holds, by entry, the time until which it may own no steps.
	excludedUntil map[string]time.Time
	// deaths holds, by the ID of a target's death, when the death was recorded.
	deaths map[core.AttemptID]time.Time
}

// view is the snapshot of the state that request goroutines read. It is
// immutable.
type view struct {
	book      loan.Book
	route     route.View
	endpoints map[string]*endpoint
	entries   []string
	peerAddrs map[string]string
	poison    map[uint64]poison.Report
}

const (
	// gossipFanout is the number of peers to which a new generation is sent at
	// each tick.
	gossipFanout = 3
	// gossipRounds is the number of ticks at which a new generation is sent.
	gossipRounds = 3
	// maxPoison limits the number of poison requests remembered.
	maxPoison = 10000
	// maxRetryDebt limits the retries spent before first attempts have earned
	// them.
	maxRetryDebt = 100
	// acceptAttempts limits the attempts to get one change accepted.
	acceptAttempts = 4
	// acceptRetryDelay is the wait between two attempts.
	acceptRetryDelay = 250 * time.Millisecond
	// linkBurstSeconds is the burst of linkLimiter, in seconds of its rate.
	linkBurstSeconds = 2
)

// New returns an entry; Run starts it.
func New(se setup.Entry, cl core.Clock, lg log.Logger, me *meter.Set, pl Platform) *Entry {
	en := &Entry{
		settings: se, clock: cl, meters: me, lister: pl.Instances,
		logger:   log.With(lg, "entry", se.Name),
		acceptor: &sheet.Acceptor{Table: pl.Tables, Objects: pl.Objects, Clock: cl, Attempts: acceptAttempts, RetryDelay: acceptRetryDelay},
		inner:    innerClient(me.Traffic("inner")),
		loop:     core.NewLoop(),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	for _, to := range se.Tokens {
		if to.Role == setup.Node {
			en.nodeToken = to.Secret()
		}
	}
	if se.Limits.LinkRate > 0 {
		en.linkLimiter = rate.NewLimiter(rate.Limit(se.Limits.LinkRate), int(se.Limits.LinkRate)*linkBurstSeconds)
	}
	en.state = state{
		remotes:       map[string]*remote{},
		peers:         map[string]string{},
		limiters:      map[string]*serviceLimiter{},
		steps:         map[string]*step{},
		deaths:        map[core.AttemptID]time.Time{},
		excludedUntil: map[string]time.Time{},
		poison:        poison.List{TTL: se.Timing.PoisonLapse.Std(), Max: maxPoison},
		budget:        retry.Budget{Share: se.Limits.RetryShare, Max: maxRetryDebt},
		gossipNode: gossip.Node{
			Fanout: gossipFanout, Rounds: gossipRounds, PollInterval: se.Timing.PollEvery.Std(),
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	en.view.Store(&view{})
	en.buffered.Max = maxBufferedTotal
	return en
}

// innerClient returns the client for guards and other entries. It uses HTTP/1.1
// with idle connections kept open: an answer passes through fewer goroutines
// than on a shared HTTP/2 connection.
func innerClient(tr meter.Traffic) *http.Client {
	return &http.Client{Transport: strict.New(&http.Transport{
		DisableCompression: true, IdleConnTimeout: time.Minute, MaxIdleConnsPerHost: maxIdlePerHost, MaxResponseHeaderBytes: wire.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return tr.Conn(conn), nil
		},
	})}
}

// maxIdlePerHost limits the idle connections kept to one instance.
const maxIdlePerHost = 64

// Run serves until Stop is called and then shuts down gracefully: it fails the
// readiness check, waits for the drain delay so that the load balancer stops
// sending requests, and waits for the requests in progress.
func (en *Entry) Run() error {
	defer close(en.done)
	loopStop := make(chan struct{})
	defer close(loopStop)
	go en.loop.Run(loopStop)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	en.ctx = ctx
	en.loadInitial(ctx)
	go en.runEvery(ctx, en.settings.Timing.SpreadEvery.Std(), en.gossipTick)
	go en.runEvery(ctx, en.settings.Timing.ListEvery.Std(), en.readList)
	go en.runEvery(ctx, stepInterval, en.startSampleRuns)
	level.Info(en.logger).Log("event", "started", "generation", en.view.Load().book.Generation)

	<-en.stop
	en.draining.Store(true)
	level.Info(en.logger).Log("event", "draining")
	<-en.clock.After(en.settings.Timing.DrainDelay.Std())
	en.requests.Wait()
	return nil
}

// Stop starts a graceful shutdown.
func (en *Entry) Stop() {
	select {
	case <-en.stop:
	default:
		close(en.stop)
	}
}

// Done returns a channel that is closed when Run has returned.
func (en *Entry) Done() <-chan struct{} { return en.done }

func (en *Entry) runEvery(ctx context.Context, interval time.Duration, call func(ctx context.Context)) {
	for {
		call(ctx)
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(interval):
		}
	}
}

// Ready reports whether the entry can serve requests: it has a configuration
// and is not draining. The load balancer reads it from /readyz.
func (en *Entry) Ready() bool { return !en.draining.Load() && en.view.Load().book.Generation > 0 }

// publish replaces the view that request goroutines read. It runs on the loop.
func (en *Entry) publish() {
	now := en.clock.Now()
	vi := &view{book: en.book, endpoints: make(map[string]*endpoint, len(en.remotes)), poison: map[uint64]poison.Report{}, peerAddrs: en.peers}
	for na, re := range en.remotes {
		vi.endpoints[na] = re.current
		if re.inSubset {
			vi.route.Targets = append(vi.route.Targets, re.current.Target)
		}
	}
	for _, re := range en.poison.Reports(now, maxPoison) {
		vi.poison[re.Digest] = re
	}
	vi.entries = en.ownerCandidates()
	en.view.Store(vi)
}

// refreshEndpoints rebuilds all endpoints, since the health of a target changes
// over time. It runs on the loop.
func (en *Entry) refreshEndpoints() {
	for _, re := range en.remotes {
		en.refresh(re)
	}
	en.publish()
}

// serviceLimiter controls the admission to one service and holds the channels of
// the queued requests, by item id.
type serviceLimiter struct {
	limit.Limiter
	waiting map[uint64]chan *core.Error
}

// limiterOf returns the limiter of a service, creating it if needed. It runs on
// the loop.
func (en *Entry) limiterOf(service string) *serviceLimiter {
	sl := en.limiters[service]
	if sl == nil {
		sl = &serviceLimiter{waiting: map[uint64]chan *core.Error{}}
		sl.MinWindow = minWindow
		sl.Depth = en.settings.Limits.QueueDepth
		sl.Jitter = rand.Float64
		sl.Margin = waitMargin
		en.limiters[service] = sl
	}
	sl.MaxWindow = float64(min(en.capacity(service), en.settings.Limits.MostInFlight))
	return sl
}

// notify ends the wait of a queued item; a nil error admits it.
func (sl *serviceLimiter) notify(id uint64, er *core.Error) {
	if wait := sl.waiting[id]; wait != nil {
		wait <- er
		delete(sl.waiting, id)
	}
}

// waitMargin is the factor by which the time left until the deadline must exceed
// the expected wait.
const waitMargin = 2

// capacity returns how many requests the targets of a service in this entry's
// subset can run concurrently, according to their last hellos, and at least
// minWindow. It runs on the loop.
func (en *Entry) capacity(service string) int {
	total := 0
	for _, re := range en.remotes {
		if re.inSubset && re.hello != nil && re.inst.Service == service {
			total += int(re.hello.Capacity)
		}
	}
	return max(total, minWindow)
}

// minWindow is the lower bound of an entry's limit of requests in flight.
const minWindow = 4
