package runs

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

// list appends gathered results to the job, one write at a time. A write whose
// outcome is open is tried again with the same rows.
func (ow *Owner) list(now time.Time, jo *job) {
	if jo.writing || now.Before(jo.retryAt) {
		return
	}
	if jo.append == nil {
		if len(jo.results) == 0 || now.Sub(jo.wroteAt) < gather || jo.outlook(now, ow.longest[jo.route.Name]).Together() {
			return
		}
		jo.wroteAt = now
		ap, count := batch.NewAppend(jo.body.ID, jo.known, jo.results)
		jo.append, jo.count = &ap, count
	}
	jo.writing = true
	ap := *jo.append
	go func() {
		kn, err := ow.Ledger.Commit(ow.ctx, ap)
		ow.Loop.Post(func() { ow.listed(jo, kn, err) })
	}()
}

// outlook tells how far the step is, given the longest text that a route has
// made so far.
func (jo *job) outlook(now time.Time, longest int) batch.Outlook {
	groups := map[string]time.Duration{}
	for _, it := range jo.items {
		groups[it.item.Group] = max(groups[it.item.Group], it.left(now, longest))
	}
	return batch.Outlook{
		Left: slices.Collect(maps.Values(groups)), Wanted: jo.body.Groups, Waited: now.Sub(jo.readyAt),
	}
}

// left is how long it takes at the latest until the item is decided.
func (it *item) left(now time.Time, longest int) time.Duration {
	switch {
	case it.state == done:
		return 0
	case it.state == scoring:
		return max(scoreUsual-now.Sub(it.wholeAt), tick)
	case it.run == nil || it.run.leaving || it.run.engine.pace == 0:
		return batch.Unknown
	default:
		return time.Duration(max(longest-it.made(), 0))*it.run.engine.pace + scoreUsual
	}
}

// listed takes the outcome of an append.
func (ow *Owner) listed(jo *job, kn batch.Known, err error) {
	jo.writing = false
	if jo.gone {
		return
	}
	switch {
	case err == nil:
		jo.results, jo.append, jo.readyAt = jo.results[jo.count:], nil, ow.Clock.Now()
		jo.known = kn
		ow.Index.Put(jo.body.ID, kn)
		ow.Meters.Count("results-listed", jo.route.Name, int64(jo.count))
		if !kn.Head.Open() {
			ow.drop(jo, complete)
		}
	case errors.Is(err, batch.ErrLost):
		ow.lost(jo, kn)
	default:
		jo.retryAt = ow.Clock.Now().Add(storePause)
		if !jo.stalled {
			jo.stalled = true
			logs.Warn(ow.Logger, "results wait for the store", "id", jo.body.ID, "results", len(jo.results), "err", err)
		}
		return
	}
	if jo.stalled {
		jo.stalled = false
		logs.Info(ow.Logger, "results listed again", "id", jo.body.ID, "listed", jo.known.Head.Listed)
	}
}

// lost compares a job with the head that a write met.
func (ow *Owner) lost(jo *job, kn batch.Known) {
	ow.Index.Put(jo.body.ID, kn)
	switch {
	case kn.Version == 0 || kn.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, replaced)
	case kn.Head.Ended:
		jo.known = kn
		ow.drop(jo, ended)
	default:
		jo.known, jo.append = kn, nil
	}
}

// save keeps the texts of long runs in the store, so that another owner goes on
// behind them. The load pattern: owners and whole sites lose power in the middle
// of a step, whose long items would begin anew.
func (ow *Owner) save(now time.Time, jo *job) {
	if jo.saving || now.Sub(jo.savedAt) < saveEvery {
		return
	}
	var (
		partials []batch.Partial
		items    = map[string]*item{}
	)
	for _, it := range jo.items {
		if it.state != running && it.state != waiting {
			continue
		}
		if pa, _ := it.partial(jo); len(pa.Events) >= it.saved+saveLeast {
			partials, items[pa.ID] = append(partials, pa), it
		}
	}
	jo.savedAt = now
	if len(partials) == 0 {
		return
	}
	unused := jo.unused
	jo.unused, jo.saving = nil, true
	go func() {
		lies, err := ow.Ledger.SavePartials(ow.ctx, jo.body.ID, partials)
		if err == nil {
			err = ow.Ledger.DropRows(ow.ctx, unused)
		}
		ow.Loop.Post(func() { ow.saved(jo, partials, items, lies, err) })
	}()
}

// saved takes the outcome of a save. One that failed is tried again later.
func (ow *Owner) saved(jo *job, partials []batch.Partial, items map[string]*item, lies map[string][]table.ID, err error) {
	jo.saving = false
	if err != nil {
		logs.Debug(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		return
	}
	for _, pa := range partials {
		it := items[pa.ID]
		it.rows, it.saved = lies[pa.ID], len(pa.Events)
		if it.state == done {
			jo.unused = append(jo.unused, it.rows...)
		}
	}
}
