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
//  2. When the store has compacted the history, the parts are listed again, and
//     Reset is called with all rows.
//  3. When the store stops answering, Lost is called once and the last state is
//     kept. Recovered is called once when the store answers again.
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
	// Confirmed is called each time the rows are known to be complete. It may be nil.
	Confirmed func(at time.Time)
	// Throttle is the pause after a change, which bounds the calls that a busy table
	// costs; zero means none.
	Throttle time.Duration

	version uint64
	listed  bool
	lost    bool
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
			fe.markRecovered()
		case errors.Is(err, ErrCompacted): // rule 2
			fe.listed = false
			logs.Debug(fe.Logger, "history compacted, listing again", "table", fe.Table, "version", fe.version)
		default:
			fe.markLost(err)
			sleep(ctx, fe.Clock, lostRetryDelay)
		}
	}
}

func (fe *Feed) step(ctx context.Context) error {
	if !fe.listed {
		return fe.list(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	page, err := fe.Store.Watch(call, fe.Table, fe.version, watchWait)
	if err != nil {
		return err
	}
	fe.version = max(page.Version, fe.version)
	fe.confirm()
	if len(page.Rows) > 0 {
		fe.Change(page.Rows)
		sleep(ctx, fe.Clock, fe.Throttle)
	}
	return nil
}

func (fe *Feed) list(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
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
	fe.version, fe.listed = all.Version, true
	fe.confirm()
	fe.Reset(all.Rows)
	return nil
}

func (fe *Feed) confirm() {
	if fe.Confirmed != nil {
		fe.Confirmed(fe.Clock.Now())
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
