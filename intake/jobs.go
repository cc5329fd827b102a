package intake

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	// storeRetryAfter is the Retry-After of a call that fails because the store does not
	// respond or refuses it.
	storeRetryAfter = 500 * time.Millisecond
	// maxHeadAge bounds the age of the last confirmation of the feed of heads. After it
	// a head is read from the store again before a response without results.
	maxHeadAge = 700 * time.Millisecond
	// acceptLag is how long after this entry adopted a configuration others may still accept
	// jobs under the one before.
	acceptLag = 10 * time.Second
	// maxEndAttempts bounds the attempts to end a job while its owner writes to it.
	maxEndAttempts = 10
	// maxResponseBytes bounds the texts of one response, below the clients' limit of 1 MB.
	maxResponseBytes = 900000
)

// FindRoute returns the route of a request and the limits in force. It fails while there
// is no configuration, or if no route matches. The limits are those in force in that case too.
func (en *Entry) FindRoute(host, path string) (conf.Route, conf.Limits, *core.Error) {
	co := en.config.Load()
	if co == nil {
		return conf.Route{}, conf.Limits{}, conf.NotReady()
	}
	route, found := co.Find(host, path)
	if !found {
		return conf.Route{}, co.Limits, en.ifFresh(co, core.Refuse(core.CodeUnknownService, "no route for %s%s in configuration %d", host, path, co.Version))
	}
	return route, co.Limits, nil
}

// Limits returns the limits in force. It reports false while there is no configuration.
func (en *Entry) Limits() (conf.Limits, bool) {
	co := en.config.Load()
	if co == nil {
		return conf.Limits{}, false
	}
	return co.Limits, true
}

// Bodies limits the bytes of the bodies of requests that are in memory.
func (en *Entry) Bodies() *limit.HeldBytes { return &en.bodies }

// Submit stores a job and starts it at the owner of its route. Submitting a known
// job again changes nothing. If it is unknown whether the write took effect, the
// verdict of the error is core.MayHaveRun.
func (en *Entry) Submit(ctx context.Context, jo *batch.Job, route conf.Route) *core.Error {
	if vh, known := en.index.Get(jo.ID); known {
		return en.checkResubmit(jo, vh.Head)
	}
	if en.stopping.Load() {
		return core.Refuse(core.CodeDraining, "this entry is stopping").WithRetryAfter(sweepInterval)
	}
	if failed := en.checkStore(); failed != nil {
		return failed
	}
	jo = en.withTerms(jo, route)
	owner := en.routeOwner(route.Name)
	he := batch.Head{
		Epoch: 1, Owner: owner.Name, Total: len(jo.Items), Submitted: en.clock.Now().UnixMilli(), Route: route.Name,
		Workspace: jo.Workspace, Public: route.Public, SubmittedTo: batch.SubmittedTo(jo.Host, jo.Path),
	}
	vh, err := en.ledger.Accept(ctx, jo, he)
	logs.Info(en.logger, "job submitted", "id", jo.ID, "route", route.Name, "step", jo.Step, "items", len(jo.Items),
		"groups", jo.RequiredGroups, "owner", owner.Name, "version", vh.Version, "err", err)
	switch {
	case err == nil:
		en.index.Put(jo.ID, vh)
		en.handOver(jo, vh, route, owner)
		return nil
	case errors.Is(err, batch.ErrSuperseded) && vh.Version > 0:
		en.index.Put(jo.ID, vh)
		return en.checkResubmit(jo, vh.Head) // accepted before
	case errors.Is(err, table.ErrRefused):
		return core.Refuse(core.CodePlatformDown, "cannot store the job: %v", err).WithRetryAfter(storeRetryAfter)
	default:
		return core.InDoubt(core.CodeUnsettled, "unknown whether the job was stored: %v", err)
	}
}

// Accepted reports whether a request that no route of batch jobs matches submits a job again
// that was accepted: the configuration may have changed since. It fails if the key does not
// permit that, or if it is not known whether the job exists.
func (en *Entry) Accepted(ctx context.Context, host, path, key, job string) (bool, *core.Error) {
	if en.config.Load() == nil {
		return false, nil
	}
	vh, known := en.index.Get(job)
	if !known && en.mayLackJob(host, path) {
		var failed *core.Error
		if vh, failed = en.findHead(ctx, job, false); failed != nil && failed.Code != core.CodeUnknownJob {
			return false, failed
		}
	}
	if vh.Version == 0 || vh.Head.SubmittedTo != batch.SubmittedTo(host, path) {
		return false, nil
	}
	return true, en.CheckJob(ctx, host, key, job)
}

// mayLackJob reports whether the index may lack a job that was submitted to a path: an earlier
// configuration had a route of batch jobs there, and the index was not known to be complete since
// the last entry stopped to accept jobs under it.
func (en *Entry) mayLackJob(host, path string) bool {
	all := en.formerRoutes.Load()
	return all != nil && slices.ContainsFunc(*all, func(fr formerRoute) bool {
		return fr.host == host && strings.HasPrefix(path, fr.prefix) && en.index.ConfirmedAt().Before(fr.goneAt.Add(acceptLag))
	})
}

// checkStore returns a refusal while the store answers on no path, so that a call
// does not wait for a timeout.
func (en *Entry) checkStore() *core.Error {
	if !en.store.Unavailable() {
		return nil
	}
	return core.Refuse(core.CodePlatformDown, "the store has not answered for a while").WithRetryAfter(storeRetryAfter)
}

// findHead returns a job's head from the index. It reads the store if the head is
// not there or if fresh is set.
func (en *Entry) findHead(ctx context.Context, job string, fresh bool) (batch.VersionedHead, *core.Error) {
	if vh, known := en.index.Get(job); known && !fresh {
		return vh, nil
	}
	vh, err := en.ledger.Find(ctx, job)
	if err != nil {
		return vh, core.Refuse(core.CodePlatformDown, "cannot read the job: %v", err).WithRetryAfter(storeRetryAfter)
	}
	if vh.Version == 0 {
		return vh, unknownJob(job)
	}
	en.index.Put(job, vh)
	return vh, nil
}

// Results returns the results of a job from a position on. If there are none, it
// waits for one at most the given time.
func (en *Entry) Results(ctx context.Context, job string, from int, wait time.Duration) (batch.Listing, *core.Error) {
	if failed := en.checkStore(); failed != nil {
		return batch.Listing{}, failed
	}
	timeout := en.clock.After(wait)
	for {
		changed := en.index.Changed()
		vh, failed := en.findHead(ctx, job, false)
		if failed != nil {
			return batch.Listing{}, failed
		}
		if vh.Head.Listed > from {
			return en.readResults(ctx, job, from, vh)
		}
		if from >= vh.Head.Total || vh.Head.Ended {
			return en.confirmEmpty(ctx, job, from)
		}
		select {
		case <-changed:
		case <-timeout:
			return en.confirmEmpty(ctx, job, from)
		case <-en.serving.Done():
			return en.confirmEmpty(ctx, job, from)
		case <-ctx.Done():
			return batch.Listing{}, core.Refuse(core.CodeDeadline, "the client disconnected")
		}
	}
}

// confirmEmpty returns an empty listing. It reads the head again first if the feed
// was not confirmed within maxHeadAge, and returns any new results.
func (en *Entry) confirmEmpty(ctx context.Context, job string, from int) (batch.Listing, *core.Error) {
	stale := en.clock.Now().Sub(en.index.ConfirmedAt()) > maxHeadAge
	vh, failed := en.findHead(ctx, job, stale)
	if failed != nil {
		return batch.Listing{}, failed
	}
	if vh.Head.Listed > from {
		return en.readResults(ctx, job, from, vh)
	}
	return batch.Listing{Total: vh.Head.Total}, nil
}

// readResults reads results from a position on, as many as fit a response.
func (en *Entry) readResults(ctx context.Context, job string, from int, vh batch.VersionedHead) (batch.Listing, *core.Error) {
	results, err := en.ledger.Results(ctx, job, from)
	switch {
	case err != nil:
		return batch.Listing{}, core.Refuse(core.CodePlatformDown, "cannot read the results: %v", err).WithRetryAfter(storeRetryAfter)
	case len(results) == 0:
		return batch.Listing{}, core.Refuse(core.CodePlatformDown, "the store lists no result from position %d on, the head %d in all", from, vh.Head.Listed).WithRetryAfter(storeRetryAfter)
	}
	size := 0
	for at, re := range results {
		if size += len(re.Text); size > maxResponseBytes && at > 0 {
			results = results[:at]
			break
		}
	}
	return batch.Listing{Total: vh.Head.Total, Results: results}, nil
}

// Body returns the body of an item of a job.
func (en *Entry) Body(ctx context.Context, job, item string) ([]byte, *core.Error) {
	if failed := en.checkStore(); failed != nil {
		return nil, failed
	}
	if _, failed := en.findHead(ctx, job, false); failed != nil {
		return nil, failed
	}
	body, err := en.ledger.Body(ctx, job)
	if err != nil {
		return nil, core.Refuse(core.CodePlatformDown, "cannot read the job: %v", err).WithRetryAfter(storeRetryAfter)
	}
	for _, it := range body.Items {
		if it.ID == item {
			return it.Body, nil
		}
	}
	return nil, core.Refuse(core.CodeUnknownJob, "job %s has no item %s", job, item)
}

// EndJob ends a job, so that no more of its results are listed. Ending it again
// changes nothing. If the owner writes results faster than this entry can read and write the
// head, which takes two round trips to the store, it seals the job.
func (en *Entry) EndJob(ctx context.Context, job string) *core.Error {
	if failed := en.checkStore(); failed != nil {
		return failed
	}
	for try := range maxEndAttempts {
		vh, failed := en.findHead(ctx, job, true)
		if failed != nil {
			return failed
		}
		err := error(nil)
		if !vh.Head.Ended {
			vh, err = en.ledger.End(ctx, job, vh)
		}
		if err == nil {
			logs.Info(en.logger, "job ended", "id", job, "listed", vh.Head.Listed, "total", vh.Head.Total, "version", vh.Version)
			en.index.Put(job, vh)
			en.owner.End(job)
			return nil
		}
		if errors.Is(err, batch.ErrSuperseded) && try == 0 {
			logs.Info(en.logger, "sealing a job whose owner is busy", "id", job, "listed", vh.Head.Listed)
			err = en.ledger.Seal(ctx, job)
		}
		if err != nil && !errors.Is(err, batch.ErrSuperseded) {
			return core.InDoubt(core.CodeUnsettled, "unknown whether the job was ended: %v", err)
		}
	}
	return core.InDoubt(core.CodeConflict, "too many concurrent changes of the job")
}
