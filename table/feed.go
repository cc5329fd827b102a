package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
)

// Feed follows one table of the store and passes its rows to callbacks.
//
//  1. A feed first lists all rows of its parts, then watches the table from the
//     version of that list.
//
//  2. When the store has compacted the history, the parts are listed again, and
//     Reset is called with all rows.
//
//  3. When the store stops answering, Lost is called once and the last state is
//     kept. Recovered is called once when the store answers again.
//
//  4. Until then most calls get probeTimeout only: a call that the store has swallowed
//     must not hide that it is back. Each fourth call gets more time, in case the store
//     is only slow.
//
//  5. When the store is overloaded, watches wait longer for a change and pauses grow, up
//     to maxSlowdown times. A watch returns a change at once however long it may wait,
//     so this makes fewer calls and no change later; what takes longer is to notice a
//     connection without responses. Every easeInterval without a refusal halves it.
//
// Set the exported fields before Run.
type Feed struct {
	Store  Watcher
	Clock  core.Clock
	Logger log.Logger
	Table  string
	// Parts holds the parts to list; nil means the empty part only.
	Parts []string
	// Reset is called with all rows after a list, Change with the changed rows after
	// a watch.
	Reset  func(rows []Row)
	Change func(rows []Row)
	// Lost and Recovered may be nil.
	Lost      func()
	Recovered func()
	// Confirmed is called each time the rows are known to be complete, after the callbacks
	// above have applied them. It may be nil.
	Confirmed func(at time.Time)
	// Wait is how long one watch waits for a change; rule 5 does not lengthen it. Zero means
	// watchWait, which rule 5 lengthens.
	Wait time.Duration
	// Throttle is the pause after a change, which bounds the calls that a busy table
	// costs; zero means none.
	Throttle time.Duration

	version uint64
	listed  bool
	lost    bool
	// failures counts the calls without an answer since the last one with an answer, or
	// since the start.
	failures int
	// slowdown is the factor of rule 5, zero means one. slowedAt is when it changed last.
	slowdown int
	slowedAt time.Time
}

const (
	// watchWait is how long one watch waits for a change. It bounds the time until a
	// connection without responses is detected, far below the shortest limit within
	// which a new configuration must be in force.
	watchWait = time.Second
	// watchSlack is added to watchWait for the transfer of the response.
	watchSlack = 600 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 2 * time.Second
	// probeTimeout bounds most calls while the store does not answer (rule 4), and
	// probeWait is how long such a watch waits for a change.
	probeTimeout = 500 * time.Millisecond
	probeWait    = 100 * time.Millisecond
	// fullAttempt is the share of calls that get the usual time meanwhile: one in so many.
	fullAttempt  = 4
	maxSlowdown  = 8
	easeInterval = 10 * time.Second
	// minThrottle is the pause after a change that rule 5 multiplies, if there is no longer
	// one.
	minThrottle = 20 * time.Millisecond
	// lostRetryDelay is the pause before a retry while the store does not answer.
	lostRetryDelay = 150 * time.Millisecond
)

// Run follows the table until the context ends.
func (fe *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := fe.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			fe.failures = 0
			fe.markRecovered()
		case errors.Is(err, ErrCompacted): // rule 2
			fe.listed = false
			logs.Debug(fe.Logger, "history compacted, listing again", "table", fe.Table, "version", fe.version)
		default:
			fe.failures++
			if errors.Is(err, ErrOverloaded) {
				fe.slowDown()
			}
			fe.markLost(err)
			sleep(ctx, fe.Clock, fe.slowed(lostRetryDelay))
		}
	}
}

func (fe *Feed) step(ctx context.Context) error {
	if !fe.listed {
		return fe.list(ctx)
	}
	fe.easeOff()
	wait := fe.Wait
	if wait == 0 {
		wait = fe.slowed(watchWait)
	}
	timeout := wait + watchSlack
	switch {
	case fe.probing():
		wait, timeout = probeWait, probeTimeout
	case fe.lost:
		wait, timeout = probeWait, probeWait+watchSlack
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := fe.Store.Watch(call, fe.Table, fe.version, wait)
	if err != nil {
		return err
	}
	at := fe.Clock.Now()
	fe.version = max(page.Version, fe.version)
	if len(page.Rows) > 0 {
		fe.Change(page.Rows)
	}
	fe.confirm(at)
	if len(page.Rows) > 0 {
		sleep(ctx, fe.Clock, fe.pause())
	}
	return nil
}

// slowed multiplies a time by the factor of rule 5.
func (fe *Feed) slowed(span time.Duration) time.Duration {
	return span * time.Duration(max(fe.slowdown, 1))
}

// pause returns the pause after a change.
func (fe *Feed) pause() time.Duration {
	if fe.slowdown <= 1 {
		return fe.Throttle
	}
	return fe.slowed(max(fe.Throttle, minThrottle))
}

func (fe *Feed) slowDown() {
	fe.slowdown, fe.slowedAt = min(max(fe.slowdown, 1)*2, maxSlowdown), fe.Clock.Now()
}

func (fe *Feed) easeOff() {
	if now := fe.Clock.Now(); fe.slowdown > 1 && now.Sub(fe.slowedAt) >= easeInterval {
		fe.slowdown, fe.slowedAt = fe.slowdown/2, now
	}
}

// probing reports whether the next call is a probe (rule 4).
func (fe *Feed) probing() bool {
	return (fe.lost || !fe.listed) && fe.failures%fullAttempt != fullAttempt-1
}

func (fe *Feed) list(ctx context.Context) error {
	timeout := listTimeout
	if fe.probing() {
		timeout = probeTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	names := fe.Parts
	if names == nil {
		names = []string{""}
	}
	var all Page
	for at, pa := range names {
		page, err := ListAll(call, fe.Store, Range{Table: fe.Table, Part: pa})
		if err != nil {
			return err
		}
		if at == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
	}
	at := fe.Clock.Now()
	fe.version, fe.listed = all.Version, true
	fe.Reset(all.Rows)
	fe.confirm(at)
	return nil
}

func (fe *Feed) confirm(at time.Time) {
	if fe.Confirmed != nil {
		fe.Confirmed(at)
	}
}

func (fe *Feed) markLost(err error) {
	if fe.lost {
		return
	}
	fe.lost = true
	logs.Warn(fe.Logger, "connection to the store lost", "table", fe.Table, "version", fe.version, "err", err)
	if fe.Lost != nil {
		fe.Lost()
	}
}

func (fe *Feed) markRecovered() {
	if !fe.lost {
		return
	}
	fe.lost = false
	logs.Info(fe.Logger, "connection to the store restored", "table", fe.Table, "version", fe.version)
	if fe.Recovered != nil {
		fe.Recovered()
	}
}

func sleep(ctx context.Context, clock core.Clock, span time.Duration) {
	if span <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(span):
	}
}
