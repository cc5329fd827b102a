// Package guard is the process beside each target. Every request and every
// order to the target goes through it, so it is the place where at-most-once,
// loan limits, draining, fencing and true weight versions are enforced.
//
// One goroutine (the loop) owns the state; traffic goroutines ask it to admit,
// commit and finish their runs.
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
	"bilberryshelf/limit"
	"bilberryshelf/loan"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/store"
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

// Guard is one guard. Make it with New.
type Guard struct {
	wireconnect.UnimplementedGuardServiceHandler

	settings setup.Guard
	clock    core.Clock
	logger   log.Logger
	meters   *meter.Set
	tables   Table
	objects  Objects
	target   engine.Client
	// pooled reuses connections to the target; single opens one for each
	// request, so that the library cannot send a request a second time on a
	// connection that turns out to be closed.
	pooled *http.Client
	single *http.Client
	loop   *core.Loop
	stop   chan struct{}
	done   chan struct{}

	state
}

// state is owned by the loop.
type state struct {
	phase    core.State
	health   engine.Health
	targetUp bool
	table    fence.Table
	orders   fence.Orders
	slice    loan.Slice
	hasSlice bool
	running  map[core.AttemptID]*run
	byKey    map[string]*run
	perLoan  map[string]int
	work     map[string]*loan.LeadEstimator
	finished limit.Rate
	alone    core.AttemptID
	reserved time.Time
	contact  time.Time
	deaths   []death
	probing  chan struct{}
	greeters greeters
	loaded   versions
}

// run is one request in progress on the target.
type run struct {
	id      core.AttemptID
	key     string
	loan    string
	digest  uint64
	alone   bool
	sample  bool
	started time.Time
	labels  *labels
	done    chan struct{}
}

// New makes a guard; Run starts it.
func New(se setup.Guard, cl core.Clock, lg log.Logger, me *meter.Set, tables Table, objects Objects) *Guard {
	// Only whole settings come here, so the transport needs no timeouts of its
	// own beyond the context of each call.
	pooled := &http.Transport{MaxIdleConnsPerHost: se.Limits.Capacity + 1, DisableCompression: true}
	single := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	gu := &Guard{
		settings: se, clock: cl, meters: me, tables: tables, objects: objects,
		logger: log.With(lg, "target", se.Target),
		pooled: &http.Client{Transport: pooled},
		single: &http.Client{Transport: single},
		loop:   core.NewLoop(),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
	}
	gu.target = engine.Client{URL: se.Engine.URL, HTTP: gu.pooled}
	gu.state = state{
		phase:   core.Starting,
		running: map[core.AttemptID]*run{},
		byKey:   map[string]*run{},
		perLoan: map[string]int{},
		work:    map[string]*loan.LeadEstimator{},
	}
	return gu
}

// Run serves until Stop and a graceful shutdown. It returns when the last
// request in progress has finished and the keys are handed over.
func (gu *Guard) Run() error {
	defer close(gu.done)
	loopStop := make(chan struct{})
	defer close(loopStop)
	go gu.loop.Run(loopStop)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gu.start(ctx)
	go gu.watch(ctx)
	if gu.settings.Engine.Model {
		go gu.rollout(ctx)
	}
	<-gu.stop
	gu.drain()
	gu.handOver(ctx)
	return nil
}

// Stop begins a graceful shutdown: no new work, what runs goes on.
func (gu *Guard) Stop() {
	select {
	case <-gu.stop:
	default:
		close(gu.stop)
	}
}

// Done closes when Run has returned.
func (gu *Guard) Done() <-chan struct{} { return gu.done }

// drainCheck is the time between two looks at what still runs.
const drainCheck = 50 * time.Millisecond

// drain waits until nothing runs and the entries know that the guard leaves.
// A guard that closed earlier would cut requests that are on their way to it,
// and no one could say what became of them.
func (gu *Guard) drain() {
	began := gu.clock.Now()
	gu.loop.Do(func() { gu.phase = core.Draining })
	level.Info(gu.logger).Log("event", "draining")
	for {
		left, unaware := 0, 0
		gu.loop.Do(func() {
			left = len(gu.running)
			unaware = gu.greeters.unaware(began, gu.settings.Timing.DrainNotice.Std())
		})
		waited := gu.clock.Now().Sub(began)
		if left == 0 && (unaware == 0 || waited >= gu.settings.Timing.DrainNotice.Std()) {
			level.Info(gu.logger).Log("event", "drained", "took", waited, "entries-unaware", unaware)
			return
		}
		<-gu.clock.After(drainCheck)
	}
}

// watch looks at the target's health and forgets what has lapsed.
func (gu *Guard) watch(ctx context.Context) {
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
	attempts, keys := gu.table.Sweep(now, sweepMost)
	gu.meters.Gauge("attempts-known", "", int64(attempts))
	gu.meters.Gauge("keys-known", "", int64(keys))
	gu.meters.Gauge("in-flight", "", int64(len(gu.running)))
	gu.dropDeaths(now)
	for _, wo := range gu.work {
		wo.Decay()
	}
}

// sweepMost bounds what is forgotten in one turn of the loop; each admission
// forgets sweepFew more, so that the table keeps up with its growth.
const (
	sweepMost = 1024
	sweepFew  = 4
)

// Ready reports whether the guard would let new work through.
func (gu *Guard) Ready() bool {
	ready := false
	gu.loop.Do(func() { ready = gu.present() == core.Serving })
	return ready
}
