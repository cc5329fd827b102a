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

// writeResults appends the collected results to the job, one write at a time. A
// write with an unknown outcome is retried with the same rows.
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
		vh, err := ow.Ledger.Commit(ow.ctx, ap)
		ow.Loop.Post(func() { ow.resultsWritten(jo, vh, err) })
	}()
}

// progress returns the progress of the step, given the length of the route's
// longest text so far, in events.
func (jo *job) progress(now time.Time, longest int) batch.Progress {
	groups := map[string]time.Duration{}
	for _, it := range jo.items {
		groups[it.item.Group] = max(groups[it.item.Group], it.remaining(now, longest))
	}
	return batch.Progress{
		Remaining: slices.Collect(maps.Values(groups)), Required: jo.body.RequiredGroups, Waited: now.Sub(jo.readySince),
	}
}

// remaining returns an upper bound of the time until the item is decided.
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

// resultsWritten handles the outcome of a write of results.
func (ow *Owner) resultsWritten(jo *job, vh batch.VersionedHead, err error) {
	jo.writing = false
	if jo.dropped {
		return
	}
	switch {
	case err == nil:
		jo.results, jo.pendingWrite, jo.readySince = jo.results[jo.pendingCount:], nil, ow.Clock.Now()
		jo.releaseTexts(jo.pendingCount)
		jo.known = vh
		ow.Index.Put(jo.body.ID, vh)
		ow.Meters.Count("results-listed", jo.route.Name, int64(jo.pendingCount))
		if !vh.Head.Open() {
			ow.drop(jo, dropComplete)
		}
	case errors.Is(err, batch.ErrSuperseded):
		ow.headConflict(jo, vh)
	case errors.Is(err, batch.ErrSealed):
		ow.endSealed(jo, vh)
	default:
		jo.retryAt = ow.Clock.Now().Add(retryDelay)
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

// headConflict handles a write that failed since the head has changed: vh is the
// head that was found.
func (ow *Owner) headConflict(jo *job, vh batch.VersionedHead) {
	ow.Index.Put(jo.body.ID, vh)
	switch {
	case vh.Version == 0 || vh.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, dropReplaced)
	case vh.Head.Ended:
		jo.known = vh
		ow.drop(jo, dropEnded)
	default:
		jo.known, jo.pendingWrite = vh, nil
	}
}

// endSealed ends a job that was sealed, since the entry that sealed it may not live to do so.
func (ow *Owner) endSealed(jo *job, vh batch.VersionedHead) {
	jo.known = vh
	ow.drop(jo, dropEnded)
	go func() {
		ended, err := ow.Ledger.End(ow.ctx, jo.body.ID, vh)
		logs.Info(ow.Logger, "sealed job ended", "id", jo.body.ID, "err", err)
		if ended.Version > 0 {
			ow.Index.Put(jo.body.ID, ended)
		}
	}()
}

// savePartials saves the partial texts of long items, so that another owner can
// continue them. Otherwise, when an entry or a whole site loses power during a step,
// its long items would start from the beginning.
func (ow *Owner) savePartials(now time.Time, jo *job) {
	if jo.saving || now.Sub(jo.savedAt) < saveInterval {
		return
	}
	var (
		partials []batch.Partial
		items    = map[string]*item{}
	)
	size := 0
	jo.savedAt = now
	for range jo.items {
		it := jo.items[jo.saveFrom%len(jo.items)]
		jo.saveFrom = (jo.saveFrom + 1) % len(jo.items)
		if it.state != running && it.state != waiting {
			continue
		}
		if pa, _ := it.partial(jo); len(pa.Events) >= it.savedEvents+minSaveEvents {
			partials, items[pa.ID] = append(partials, pa), it
			if size += pa.TextBytes(); size > maxSaveBytes {
				jo.savedAt = time.Time{} // the others follow when these are saved
				break
			}
		}
	}
	if len(partials) == 0 {
		return
	}
	unused := jo.obsoleteRows
	jo.obsoleteRows, jo.saving = nil, true
	go func() {
		rowIDs, err := ow.Ledger.SavePartials(ow.ctx, jo.body.ID, partials)
		if err == nil {
			err = ow.Ledger.DeleteRows(ow.ctx, unused)
		}
		ow.Loop.Post(func() { ow.partialsSaved(jo, partials, items, rowIDs, err) })
	}()
}

// partialsSaved handles the outcome of a save. A failed save is retried later. If the job
// ended in the meantime, the rows are deleted, also those of a save that failed in part.
func (ow *Owner) partialsSaved(jo *job, partials []batch.Partial, items map[string]*item, rowIDs map[string][]table.ID, err error) {
	jo.saving = false
	if jo.ended {
		ow.deletePartials(jo, slices.Concat(slices.Collect(maps.Values(rowIDs))...))
		return
	}
	if err != nil {
		logs.Debug(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		return
	}
	for _, pa := range partials {
		it := items[pa.ID]
		it.rows, it.savedEvents = rowIDs[pa.ID], len(pa.Events)
		if it.state == done {
			jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
		}
	}
}

// deletePartials deletes rows of partial texts of a job that ended. Rows that remain are
// deleted with the job.
func (ow *Owner) deletePartials(jo *job, rows []table.ID) {
	go func() {
		if err := ow.Ledger.DeleteRows(ow.ctx, rows); err != nil {
			logs.Debug(ow.Logger, "partial texts not deleted", "id", jo.body.ID, "err", err)
		}
	}()
}
