package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	// storeRetryAfter is the time to come back when the store does not take calls.
	storeRetryAfter = 500 * time.Millisecond
	// maxHeadAge is how old the feed of heads may be for an answer that nothing
	// more is listed.
	maxHeadAge = 700 * time.Millisecond
	// maxEndAttempts bounds the tries to end a job beside its owner's writes.
	maxEndAttempts = 10
	// maxAnswerBytes bounds the texts of one answer, below the 1 MB that clients take.
	maxAnswerBytes = 900000
)

// Find selects the route of a request.
func (en *Entry) Find(host, path string) (conf.Route, conf.Limits, *core.Error) {
	co := en.config.Load()
	if co == nil {
		return conf.Route{}, conf.Limits{}, conf.NotReady()
	}
	route, found := co.Find(host, path)
	if !found {
		return conf.Route{}, conf.Limits{}, core.Refuse(core.CodeUnknownService, "no route for %s%s in configuration %d", host, path, co.Version)
	}
	return route, co.Limits, nil
}

// Keep takes memory for a body, beside what it holds already.
func (en *Entry) Keep(held, bytes int64) *core.Error {
	if en.bodyMemory.Acquire(held, bytes) {
		return nil
	}
	return core.Refuse(core.CodeFull, "other bodies take the memory: %d of %d bytes", en.bodyMemory.InUse(), en.bodyMemory.Max).WithRetryAfter(sweepInterval)
}

// Release returns the memory of a body.
func (en *Entry) Release(bytes int64) { en.bodyMemory.Release(bytes) }

// Submit keeps a job and runs it.
func (en *Entry) Submit(ctx context.Context, jo *batch.Job, route conf.Route) *core.Error {
	if _, known := en.index.Get(jo.ID); known {
		return nil
	}
	if en.leaving.Load() {
		return core.Refuse(core.CodeDraining, "this entry is stopping").WithRetryAfter(sweepInterval)
	}
	if failed := en.checkStore(); failed != nil {
		return failed
	}
	home := en.home(route.Name)
	he := batch.Head{
		Epoch: 1, Owner: home.Name, Total: len(jo.Items), Submitted: en.clock.Now().UnixMilli(), Route: route.Name,
	}
	kn, err := en.ledger.Accept(ctx, jo, he)
	logs.Info(en.logger, "job submitted", "id", jo.ID, "route", route.Name, "step", jo.Step, "items", len(jo.Items),
		"groups", jo.RequiredGroups, "owner", home.Name, "version", kn.Version, "err", err)
	switch {
	case err == nil:
		en.index.Put(jo.ID, kn)
		en.handOver(jo, kn, route, home)
		return nil
	case errors.Is(err, batch.ErrSuperseded) && kn.Version > 0:
		en.index.Put(jo.ID, kn)
		return nil // it was accepted before
	case errors.Is(err, table.ErrRefused):
		return core.Refuse(core.CodePlatformDown, "the job can't be kept: %v", err).WithRetryAfter(storeRetryAfter)
	default:
		return core.InDoubt(core.CodeUnsettled, "it is not known whether the job was kept: %v", err)
	}
}

// checkStore refuses at once what needs the store, while nobody reaches it.
func (en *Entry) checkStore() *core.Error {
	if !en.store.Unavailable() {
		return nil
	}
	return core.Refuse(core.CodePlatformDown, "the store has not answered for a while").WithRetryAfter(storeRetryAfter)
}

// findHead returns a job's head, read from the store unless the feed has it.
func (en *Entry) findHead(ctx context.Context, job string, fresh bool) (batch.VersionedHead, *core.Error) {
	if kn, known := en.index.Get(job); known && !fresh {
		return kn, nil
	}
	kn, err := en.ledger.Find(ctx, job)
	if err != nil {
		return kn, core.Refuse(core.CodePlatformDown, "the job can't be read: %v", err).WithRetryAfter(storeRetryAfter)
	}
	if kn.Version == 0 {
		return kn, core.Refuse(core.CodeUnknownJob, "there is no job %s", job)
	}
	en.index.Put(job, kn)
	return kn, nil
}

// Results lists results from a position on. It waits for one for the given
// span, if there is none.
func (en *Entry) Results(ctx context.Context, job string, from int, wait time.Duration) (batch.Listing, *core.Error) {
	if failed := en.checkStore(); failed != nil {
		return batch.Listing{}, failed
	}
	limit := en.clock.After(wait)
	for {
		changed := en.index.Changed()
		kn, failed := en.findHead(ctx, job, false)
		if failed != nil {
			return batch.Listing{}, failed
		}
		if kn.Head.Listed > from {
			return en.readResults(ctx, job, from, kn)
		}
		if from >= kn.Head.Total || kn.Head.Ended {
			return en.confirmEmpty(ctx, job, from)
		}
		select {
		case <-changed:
		case <-limit:
			return en.confirmEmpty(ctx, job, from)
		case <-ctx.Done():
			return batch.Listing{}, core.Refuse(core.CodeDeadline, "the client left")
		}
	}
}

// confirmEmpty answers that nothing more is listed, only if that is known for now.
func (en *Entry) confirmEmpty(ctx context.Context, job string, from int) (batch.Listing, *core.Error) {
	stale := en.clock.Now().Sub(en.index.ConfirmedAt()) > maxHeadAge
	kn, failed := en.findHead(ctx, job, stale)
	if failed != nil {
		return batch.Listing{}, failed
	}
	if kn.Head.Listed > from {
		return en.readResults(ctx, job, from, kn)
	}
	return batch.Listing{Total: kn.Head.Total}, nil
}

func (en *Entry) readResults(ctx context.Context, job string, from int, kn batch.VersionedHead) (batch.Listing, *core.Error) {
	results, err := en.ledger.Results(ctx, job, from)
	if err != nil || len(results) == 0 {
		return batch.Listing{}, core.Refuse(core.CodePlatformDown, "the results can't be read: %v", err).WithRetryAfter(storeRetryAfter)
	}
	size := 0
	for at, re := range results {
		if size += len(re.Text); size > maxAnswerBytes && at > 0 {
			results = results[:at]
			break
		}
	}
	return batch.Listing{Total: kn.Head.Total, Results: results}, nil
}

// Body returns the body of an item.
func (en *Entry) Body(ctx context.Context, job, item string) ([]byte, *core.Error) {
	if failed := en.checkStore(); failed != nil {
		return nil, failed
	}
	if _, failed := en.findHead(ctx, job, false); failed != nil {
		return nil, failed
	}
	body, err := en.ledger.Body(ctx, job)
	if err != nil {
		return nil, core.Refuse(core.CodePlatformDown, "the job can't be read: %v", err).WithRetryAfter(storeRetryAfter)
	}
	for _, it := range body.Items {
		if it.ID == item {
			return it.Body, nil
		}
	}
	return nil, core.Refuse(core.CodeUnknownJob, "job %s has no item %s", job, item)
}

// End ends a job. Ending it again changes nothing.
func (en *Entry) End(ctx context.Context, job string) *core.Error {
	if failed := en.checkStore(); failed != nil {
		return failed
	}
	for range maxEndAttempts {
		kn, failed := en.findHead(ctx, job, true)
		if failed != nil {
			return failed
		}
		if !kn.Head.Ended {
			var err error
			if kn, err = en.ledger.End(ctx, job, kn); errors.Is(err, batch.ErrSuperseded) {
				continue // its owner listed results meanwhile
			} else if err != nil {
				return core.InDoubt(core.CodeUnsettled, "it is not known whether the job was ended: %v", err)
			}
			logs.Info(en.logger, "job ended", "id", job, "listed", kn.Head.Listed, "total", kn.Head.Total, "version", kn.Version)
		}
		en.index.Put(job, kn)
		en.owner.End(job)
		return nil
	}
	return core.Refuse(core.CodeConflict, "the job changes too often").WithRetryAfter(sweepInterval)
}
