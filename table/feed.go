package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
)

// Feed follows one table of the store and hands its rows on.
//
//  1. A feed starts with a list of the whole part and goes on with a watch from
//     the version of that list.
//  2. When the store has dropped the history, the part is listed again, and
//     Reset is told all rows that exist.
//  3. While the store does not answer, the last state stays and Lost is told
//     once; Back is told once when it answers again.
//
// Set the exported fields before Run.
type Feed struct {
	Store  Watcher
	Clock  core.Clock
	Logger log.Logger
	Table  string
	// Parts lists the parts that are listed; nil means the empty part.
	Parts []string
	// Reset takes all rows after a list, Change the rows after a watch.
	Reset  func(rows []Row)
	Change func(rows []Row)
	// Lost and Back may be nil.
	Lost      func()
	Recovered func()
	// Confirmed is told each time the rows were confirmed to be complete.
	Confirmed func(at time.Time)
	// Throttle is the pause after a change, so that a busy table costs a bounded
	// number of calls; zero means none.
	Throttle time.Duration

	version uint64
	listed  bool
	lost    bool
}

const (
	// watchWait is how long one watch waits for a change. It bounds how long a
	// silent connection goes unnoticed, well below the shortest bound on how
	// soon a configuration must be in force.
	watchWait = time.Second
	// watchSlack is added to watchWait for the answer's way back.
	watchSlack = 600 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 2 * time.Second
	// lostRetryDelay is the pause between calls while the store does not answer.
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
			logs.Debug(fe.Logger, "history dropped, listing again", "table", fe.Table, "version", fe.version)
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
	var whole Page
	for at, pa := range names {
		page, err := ListAll(call, fe.Store, Range{Table: fe.Table, Part: pa})
		if err != nil {
			return err
		}
		if at == 0 {
			whole.Version = page.Version
		}
		whole.Rows = append(whole.Rows, page.Rows...)
	}
	fe.version, fe.listed = whole.Version, true
	fe.confirm()
	fe.Reset(whole.Rows)
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
	logs.Warn(fe.Logger, "store lost", "table", fe.Table, "version", fe.version, "err", err)
	if fe.Lost != nil {
		fe.Lost()
	}
}

func (fe *Feed) markRecovered() {
	if !fe.lost {
		return
	}
	fe.lost = false
	logs.Info(fe.Logger, "store regained", "table", fe.Table, "version", fe.version)
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
