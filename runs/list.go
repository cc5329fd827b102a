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

// writeResults appends gathered results to the job, one write at a time. A write whose
// outcome is open is tried again with the same rows.
func (ow *Owner) writeResults(now time.Time, jo *job) {
	if jo.writing || now.Before(jo.retryAt) {
		return
	}
	if jo.pendingWrite == nil {
		if len(jo.results) == 0 || now.Sub(jo.lastWriteAt) < writeInterval || jo.progress(now, ow.longestText[jo.route.Name]).ShouldWait() {
			return
		}
		jo.lastWriteAt = now
		ap, count := batch.NewAppend(jo.body.ID, jo.known, jo.results)
		jo.pendingWrite, jo.pendingCount = &ap, count
	}
	jo.writing = true
	ap := *jo.pendingWrite
	go func() {
		kn, err := ow.Ledger.Commit(ow.ctx, ap)
		ow.Loop.Post(func() { ow.resultsWritten(jo, kn, err) })
	}()
}

// progress tells how far the step is, given the longest text that a route has
// made so far.
func (jo *job) progress(now time.Time, longest int) batch.Progress {
	groups := map[string]time.Duration{}
	for _, it := range jo.items {
		groups[it.item.Group] = max(groups[it.item.Group], it.remaining(now, longest))
	}
	return batch.Progress{
		Remaining: slices.Collect(maps.Values(groups)), Required: jo.body.RequiredGroups, Waited: now.Sub(jo.readySince),
	}
}

// remaining is how long it takes at the latest until the item is decided.
func (it *item) remaining(now time.Time, longest int) time.Duration {
	switch {
	case it.state == done:
		return 0
	case it.state == scoring:
		return max(usualScoreTime-now.Sub(it.completeSince), checkInterval)
	case it.run == nil || it.run.superseded || it.run.engine.pace == 0:
		return batch.NoBound
	default:
		return time.Duration(max(longest-it.eventCount(), 0))*it.run.engine.pace + usualScoreTime
	}
}

// resultsWritten takes the outcome of an append.
func (ow *Owner) resultsWritten(jo *job, kn batch.VersionedHead, err error) {
	jo.writing = false
	if jo.dropped {
		return
	}
	switch {
	case err == nil:
		jo.results, jo.pendingWrite, jo.readySince = jo.results[jo.pendingCount:], nil, ow.Clock.Now()
		jo.known = kn
		ow.Index.Put(jo.body.ID, kn)
		ow.Meters.Count("results-listed", jo.route.Name, int64(jo.pendingCount))
		if !kn.Head.Open() {
			ow.drop(jo, dropComplete)
		}
	case errors.Is(err, batch.ErrSuperseded):
		ow.headConflict(jo, kn)
	default:
		jo.retryAt = ow.Clock.Now().Add(storeRetryDelay)
		if !jo.storeFailing {
			jo.storeFailing = true
			logs.Warn(ow.Logger, "results wait for the store", "id", jo.body.ID, "results", len(jo.results), "err", err)
		}
		return
	}
	if jo.storeFailing {
		jo.storeFailing = false
		logs.Info(ow.Logger, "results listed again", "id", jo.body.ID, "listed", jo.known.Head.Listed)
	}
}

// headConflict compares a job with the head that a write met.
func (ow *Owner) headConflict(jo *job, kn batch.VersionedHead) {
	ow.Index.Put(jo.body.ID, kn)
	switch {
	case kn.Version == 0 || kn.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, dropReplaced)
	case kn.Head.Ended:
		jo.known = kn
		ow.drop(jo, dropEnded)
	default:
		jo.known, jo.pendingWrite = kn, nil
	}
}

// savePartials keeps the texts of long runs in the store, so that another owner goes on
// behind them. The load pattern: owners and whole sites lose power in the middle
// of a step, whose long items would begin anew.
func (ow *Owner) savePartials(now time.Time, jo *job) {
	if jo.saving || now.Sub(jo.savedAt) < saveInterval {
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
		if pa, _ := it.partial(jo); len(pa.Events) >= it.savedEvents+minSaveEvents {
			partials, items[pa.ID] = append(partials, pa), it
		}
	}
	jo.savedAt = now
	if len(partials) == 0 {
		return
	}
	unused := jo.obsoleteRows
	jo.obsoleteRows, jo.saving = nil, true
	go func() {
		lies, err := ow.Ledger.SavePartials(ow.ctx, jo.body.ID, partials)
		if err == nil {
			err = ow.Ledger.DeleteRows(ow.ctx, unused)
		}
		ow.Loop.Post(func() { ow.partialsSaved(jo, partials, items, lies, err) })
	}()
}

// partialsSaved takes the outcome of a save. One that failed is tried again later.
func (ow *Owner) partialsSaved(jo *job, partials []batch.Partial, items map[string]*item, lies map[string][]table.ID, err error) {
	jo.saving = false
	if err != nil {
		logs.Debug(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		return
	}
	for _, pa := range partials {
		it := items[pa.ID]
		it.rows, it.savedEvents = lies[pa.ID], len(pa.Events)
		if it.state == done {
			jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
		}
	}
}
