package runs

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"bilberryshelf/batch"
)

// list appends gathered results to the job, one write at a time. A write whose
// outcome is open is tried again with the same rows.
func (ow *Owner) list(now time.Time, jo *job) {
	if jo.writing || now.Before(jo.retryAt) {
		return
	}
	if jo.append == nil {
		if len(jo.results) == 0 || now.Sub(jo.since) < gather {
			return
		}
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

// listed takes the outcome of an append.
func (ow *Owner) listed(jo *job, kn batch.Known, err error) {
	jo.writing = false
	if jo.gone {
		return
	}
	switch {
	case err == nil:
		jo.results, jo.append = jo.results[jo.count:], nil
		jo.since = time.Time{}
		if len(jo.results) > 0 {
			jo.since = ow.Clock.Now().Add(-gather)
		}
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
			level.Warn(ow.Logger).Log("msg", "results wait for the store", "id", jo.body.ID, "results", len(jo.results), "err", err) //nolint:errcheck
		}
		return
	}
	if jo.stalled {
		jo.stalled = false
		level.Info(ow.Logger).Log("msg", "results listed again", "id", jo.body.ID, "listed", jo.known.Head.Listed) //nolint:errcheck
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
