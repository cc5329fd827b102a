// Package entry is the process behind the balancer: the interface for
// callers, trainers and operators. It keeps nothing that cannot be rebuilt,
// and all entries are equal.
//
// One goroutine (the loop) owns the state and publishes an immutable view;
// traffic goroutines read the view and report to the loop.
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
	"bilberryshelf/wire/wireconnect"
)

// List is the platform's list of instances.
type List interface {
	Fetch(ctx context.Context) ([]store.Instance, error)
}

// Platform is what the entry needs of the platform.
type Platform struct {
	Tables  sheet.Table
	Objects sheet.Objects
	List    List
}

// Entry is one entry. Make it with New.
type Entry struct {
	wireconnect.UnimplementedPeerServiceHandler

	settings setup.Entry
	clock    core.Clock
	logger   log.Logger
	meters   *meter.Set
	list     List
	acceptor *sheet.Acceptor
	inner    *http.Client
	nodeKey  string
	// link grants bytes on the link to other regions; nil grants all.
	link *rate.Limiter

	loop *core.Loop
	view atomic.Pointer[view]
	ctx  context.Context
	stop chan struct{}
	done chan struct{}
	// requests counts the requests of callers in progress.
	requests sync.WaitGroup
	draining atomic.Bool

	state
}

// state is owned by the loop.
type state struct {
	book      loan.Book
	encoded   []byte
	remotes   map[string]*remote
	instances []store.Instance
	node      gossip.Node
	peers     map[string]string
	poison    poison.List
	gates     map[string]*gate
	budget    retry.Budget
	steps     map[string]*step
	lastGate  uint64
	// shunned holds until when an entry owns no steps.
	shunned map[string]time.Time
	deaths  map[core.AttemptID]time.Time
}

// view is what traffic sees. It is never changed in place.
type view struct {
	book    loan.Book
	route   route.View
	remotes map[string]*contact
	entries []string
	addrs   map[string]string
	poison  map[uint64]poison.Report
}

const (
	// gossipFanout is the number of peers told of a new generation at once.
	gossipFanout = 3
	// gossipRounds is the number of further rounds of telling.
	gossipRounds = 3
	// mostPoison bounds the requests known as bad.
	mostPoison = 10000
	// mostRetries bounds the retries saved up.
	mostRetries = 100
	// acceptTries bounds the tries of one acceptance.
	acceptTries = 4
	// acceptPause is the wait between two of them.
	acceptPause = 250 * time.Millisecond
	// linkBurst is the burst on the link, as a span of its rate.
	linkBurst = 2
)

// New makes an entry; Run starts it.
func New(se setup.Entry, cl core.Clock, lg log.Logger, me *meter.Set, pl Platform) *Entry {
	en := &Entry{
		settings: se, clock: cl, meters: me, list: pl.List,
		logger:   log.With(lg, "entry", se.Name),
		acceptor: &sheet.Acceptor{Table: pl.Tables, Objects: pl.Objects, Clock: cl, Attempts: acceptTries, RetryDelay: acceptPause},
		inner:    innerClient(me.Traffic("inner")),
		loop:     core.NewLoop(),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	for _, to := range se.Tokens {
		if to.Role == setup.Node {
			en.nodeKey = to.Secret()
		}
	}
	if se.Limits.LinkRate > 0 {
		en.link = rate.NewLimiter(rate.Limit(se.Limits.LinkRate), int(se.Limits.LinkRate)*linkBurst)
	}
	en.state = state{
		remotes: map[string]*remote{},
		peers:   map[string]string{},
		gates:   map[string]*gate{},
		steps:   map[string]*step{},
		deaths:  map[core.AttemptID]time.Time{},
		shunned: map[string]time.Time{},
		poison:  poison.List{TTL: se.Timing.PoisonLapse.Std(), Most: mostPoison},
		budget:  retry.Budget{Share: se.Limits.RetryShare, Most: mostRetries},
		node: gossip.Node{
			Fanout: gossipFanout, Rounds: gossipRounds, Poll: se.Timing.PollEvery.Std(),
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	en.view.Store(&view{})
	return en
}

// innerClient speaks to guards and other entries: HTTP/1.1 with kept
// connections, on which an answer passes through fewer goroutines than on a
// shared HTTP/2 connection.
func innerClient(tr meter.Traffic) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableCompression: true, IdleConnTimeout: time.Minute, MaxIdleConnsPerHost: idlePerHost,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return tr.Conn(conn), nil
		},
	}}
}

// idlePerHost is the most unused connections kept to one instance.
const idlePerHost = 64

// Run serves until Stop and a graceful shutdown: first it tells the balancer
// and the instances that it is leaving, then it waits for what runs.
func (en *Entry) Run() error {
	defer close(en.done)
	loopStop := make(chan struct{})
	defer close(loopStop)
	go en.loop.Run(loopStop)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	en.ctx = ctx
	en.loadFirst(ctx)
	go en.every(ctx, en.settings.Timing.SpreadEvery.Std(), en.spreadTick)
	go en.every(ctx, en.settings.Timing.ListEvery.Std(), en.readList)
	go en.every(ctx, stepTick, en.driveSteps)
	level.Info(en.logger).Log("event", "started", "generation", en.view.Load().book.Generation)

	<-en.stop
	en.draining.Store(true)
	level.Info(en.logger).Log("event", "draining")
	<-en.clock.After(en.settings.Timing.DrainDelay.Std())
	en.requests.Wait()
	return nil
}

// Stop begins a graceful shutdown.
func (en *Entry) Stop() {
	select {
	case <-en.stop:
	default:
		close(en.stop)
	}
}

// Done closes when Run has returned.
func (en *Entry) Done() <-chan struct{} { return en.done }

func (en *Entry) every(ctx context.Context, pace time.Duration, call func(ctx context.Context)) {
	for {
		call(ctx)
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(pace):
		}
	}
}

// Ready reports whether the entry serves: it has a configuration and is not
// leaving. The balancer reads it from /readyz.
func (en *Entry) Ready() bool { return !en.draining.Load() && en.view.Load().book.Generation > 0 }

// publish makes the view that traffic sees. It runs on the loop.
func (en *Entry) publish() {
	now := en.clock.Now()
	vi := &view{book: en.book, remotes: make(map[string]*contact, len(en.remotes)), poison: map[uint64]poison.Report{}, addrs: en.peers}
	for na, re := range en.remotes {
		vi.remotes[na] = re.seen
		if re.chosen {
			vi.route.Targets = append(vi.route.Targets, re.seen.Target)
		}
	}
	for _, re := range en.poison.Reports(now, mostPoison) {
		vi.poison[re.Digest] = re
	}
	vi.entries = en.owners()
	en.view.Store(vi)
}

// refreshAll makes all contacts anew, since the health of a target changes
// with time. It runs on the loop.
func (en *Entry) refreshAll() {
	for _, re := range en.remotes {
		en.refresh(re)
	}
	en.publish()
}

// gate is the admission to one service, with those who wait for it.
type gate struct {
	limit.Limiter
	waiting map[uint64]chan *core.Error
}

// gateOf finds the gate of a service. It runs on the loop.
func (en *Entry) gateOf(service string) *gate {
	ga := en.gates[service]
	if ga == nil {
		ga = &gate{waiting: map[uint64]chan *core.Error{}}
		ga.MinWindow = leastWindow
		ga.Depth = en.settings.Limits.QueueDepth
		ga.Jitter = rand.Float64
		ga.Margin = waitMargin
		en.gates[service] = ga
	}
	ga.MaxWindow = float64(min(en.capacity(service), en.settings.Limits.MostInFlight))
	return ga
}

// answer ends the wait of an item; a nil error lets it in.
func (ga *gate) answer(id uint64, er *core.Error) {
	if wait := ga.waiting[id]; wait != nil {
		wait <- er
		delete(ga.waiting, id)
	}
}

// waitMargin is how many times the expected wait must fit before a deadline.
const waitMargin = 2

// capacity is what the targets of a service take at once, as far as they were
// heard from. It runs on the loop.
func (en *Entry) capacity(service string) int {
	total := 0
	for _, re := range en.remotes {
		if re.chosen && re.hello != nil && re.inst.Service == service {
			total += int(re.hello.Capacity)
		}
	}
	return max(total, leastWindow)
}

// leastWindow is the fewest requests in flight that an entry allows itself.
const leastWindow = 4
