// Package guard is the proxy process in front of each target. Every request and every
// order to the target passes through it, so it enforces at-most-once execution, loan
// limits, draining, fencing and correct weight versions.
//
// One goroutine (the loop) owns the state. The goroutines that serve requests call it to
// admit, commit and finish their runs.
package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/fence"
	"bilberryshelf/fleet"
	"bilberryshelf/limit"
	"bilberryshelf/loan"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/store"
	"bilberryshelf/strict"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// Table is the part of the table service that a guard needs.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Transact(ctx context.Context, puts []store.Put) error
}

// Objects is the part of the object store that a guard needs.
type Objects interface {
	Write(ctx context.Context, key string, body []byte) error
	Read(ctx context.Context, key string) ([]byte, error)
}

// Guard is the guard of one target. Create it with New.
type Guard struct {
	wireconnect.UnimplementedGuardServiceHandler

	settings setup.Guard
	clock    core.Clock
	logger   log.Logger
	meters   *meter.Set
	tables   Table
	objects  Objects
	target   engine.Client
	// control reuses connections to the target, for health checks and orders. forwarder
	// opens a connection for each request: net/http may send a request a second time when
	// a reused connection is found to be closed, and a target may send an extra response
	// late, on a connection that is in use again, where nothing tells it from the next one.
	control   *http.Client
	forwarder *http.Client
	loop      *core.Loop
	stop      chan struct{}
	done      chan struct{}

	state
}

// state is owned by the loop.
type state struct {
	phase          core.State
	health         engine.Health
	targetUp       bool
	table          fence.Table
	orders         fence.Orders
	slice          loan.Slice
	hasSlice       bool
	running        map[core.AttemptID]*run
	byKey          map[string]*run
	runsPerLoan    map[string]int
	leadEstimators map[string]*loan.LeadEstimator
	completions    limit.Rate
	// aloneID is the attempt that runs alone on the target, or zero.
	aloneID core.AttemptID
	// reservedUntil is the end of a reservation for a request that must run alone.
	reservedUntil time.Time
	// lastContact is the time of the last hello that was not StateOnly, or of the start.
	lastContact time.Time
	deaths      []death
	// probe is closed when the current check for a death ends; nil if there is none.
	probe    chan struct{}
	entries  entryRecords
	rate     rateLimit
	versions versions
}

// run is one request in progress on the target.
type run struct {
	id      core.AttemptID
	key     string
	loan    string
	digest  uint64
	alone   bool
	sample  bool
	target  fleet.Target
	started time.Time
	check   *versionCheck
	done    chan struct{}
}

// New returns a guard; Run starts it.
func New(se setup.Guard, cl core.Clock, lg log.Logger, me *meter.Set, tables Table, objects Objects) *Guard {
	// The transports need no timeouts of their own: the context of every call has a time
	// limit from the settings, which were validated.
	control := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxHeadBytes}
	forward := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: wire.MaxHeadBytes}
	gu := &Guard{
		settings: se, clock: cl, meters: me, tables: tables, objects: objects,
		logger:    log.With(lg, "target", se.Target),
		control:   &http.Client{Transport: strict.New(control)},
		forwarder: &http.Client{Transport: strict.New(forward)},
		loop:      core.NewLoop(),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	gu.target = engine.Client{URL: se.Engine.URL, HTTP: gu.control}
	gu.state = state{
		phase:          core.Starting,
		running:        map[core.AttemptID]*run{},
		byKey:          map[string]*run{},
		runsPerLoan:    map[string]int{},
		leadEstimators: map[string]*loan.LeadEstimator{},
	}
	gu.rate.logTo(gu.logger)
	return gu
}

// Run runs the guard until Stop. It returns when the last request in flight has finished
// and the keys are handed over.
func (gu *Guard) Run() error {
	defer close(gu.done)
	loopStop := make(chan struct{})
	defer close(loopStop)
	go gu.loop.Run(loopStop)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gu.start(ctx)
	go gu.monitorHealth(ctx)
	if gu.settings.Engine.Model {
		go gu.loadWeights(ctx)
	}
	<-gu.stop
	gu.drain()
	gu.handOver(ctx)
	return nil
}

// Stop begins a graceful shutdown: new work is refused, and requests in flight complete.
func (gu *Guard) Stop() {
	select {
	case <-gu.stop:
	default:
		close(gu.stop)
	}
}

// Done returns a channel that is closed when Run has returned.
func (gu *Guard) Done() <-chan struct{} { return gu.done }

// drainCheckInterval is the time between two checks for requests in flight.
const drainCheckInterval = 50 * time.Millisecond

// drain waits until no request is in flight. For at most DrainNotice it also waits until
// all entries know that the guard is draining: a guard that exited earlier would cut
// requests that are still being sent to it, and their outcome would be unknown.
func (gu *Guard) drain() {
	startedAt := gu.clock.Now()
	gu.loop.Do(func() { gu.phase = core.Draining })
	level.Info(gu.logger).Log("event", "draining")
	for {
		left, unaware := 0, 0
		gu.loop.Do(func() {
			left = len(gu.running)
			unaware = gu.entries.unaware(startedAt, gu.settings.Timing.DrainNotice.Std())
		})
		waited := gu.clock.Now().Sub(startedAt)
		if left == 0 && (unaware == 0 || waited >= gu.settings.Timing.DrainNotice.Std()) {
			level.Info(gu.logger).Log("event", "drained", "took", waited, "entries-unaware", unaware)
			return
		}
		<-gu.clock.After(drainCheckInterval)
	}
}

// monitorHealth checks the target's health and removes expired state, every HealthEvery.
func (gu *Guard) monitorHealth(ctx context.Context) {
	for {
		gu.checkHealth(ctx)
		gu.loop.Do(gu.sweep)
		select {
		case <-ctx.Done():
			return
		case <-gu.clock.After(gu.settings.Timing.HealthEvery.Std()):
		}
	}
}

func (gu *Guard) sweep() {
	now := gu.clock.Now()
	attempts, keys := gu.table.Sweep(now, maxSweep)
	gu.meters.Gauge("attempts-known", "", int64(attempts))
	gu.meters.Gauge("keys-known", "", int64(keys))
	gu.meters.Gauge("in-flight", "", int64(len(gu.running)))
	gu.expireDeaths(now)
	gu.rate.limits.Sweep(now)
	gu.rate.issuer.Sweep(now)
	for _, le := range gu.leadEstimators {
		le.Decay()
	}
}

// maxSweep is the maximum number of expired attempts and keys that one periodic sweep
// checks. Each admission checks admitSweep more, so that sweeping keeps up with new
// attempts.
const (
	maxSweep   = 1024
	admitSweep = 4
)

// Ready reports whether the guard accepts new work.
func (gu *Guard) Ready() bool {
	ready := false
	gu.loop.Do(func() { ready = gu.reportedState() == core.Serving })
	return ready
}
