package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/logs"
)

// The reasons for which an entry drops a job.
const (
	dropEnded    = "ended"
	dropReleased = "released"
	dropReplaced = "another owner"
	dropComplete = "complete"
)

// Owns reports whether this entry owns the job.
func (ow *Owner) Owns(id string) bool {
	owns := false
	ow.Loop.Do(func() { owns = ow.jobs[id] != nil })
	return owns
}

// Start begins to execute a job that this entry owns. listed holds the ids of the
// items that already have a result.
func (ow *Owner) Start(body *batch.Job, vh batch.VersionedHead, route conf.Route, listed map[string]bool) {
	ow.Loop.Post(func() {
		if ow.jobs[body.ID] != nil || !vh.Head.Open() {
			return
		}
		jo := newJob(body, vh, route, listed)
		jo.receivedAt = ow.Clock.Now()
		for _, it := range jo.items {
			it.waitingSince = jo.receivedAt
		}
		jo.ctx, jo.cancel = context.WithCancel(ow.ctx)
		ow.jobs[body.ID] = jo
		logs.Info(ow.Logger, "job started", "id", body.ID, "route", route.Name, "model", body.Model, "step", body.Step,
			"items", len(body.Items), "listed", len(listed), "oldest", body.MinVersion, "epoch", vh.Head.Epoch, "age", vh.Head.Age(ow.Clock.Now()))
		ow.loadPartials(jo)
	})
}

// loadPartials reads the partial texts that an earlier job of the route or a previous
// owner saved. The items run in the meantime. An item whose text is shorter than
// the saved one continues from the latter.
func (ow *Owner) loadPartials(jo *job) {
	jo.reuse(ow.routePartials[jo.partialsPart()], ow.continuable(jo))
	ow.resumeItems(jo)
	wanted := map[string]bool{}
	for _, it := range jo.items {
		wanted[it.item.ID] = it.state != done
	}
	for _, from := range []string{jo.partialsPart(), jo.body.ID} {
		go func() {
			ctx, cancel := context.WithTimeout(ow.ctx, partialsTimeout)
			defer cancel()
			stored, err := ow.Ledger.Partials(ctx, from, jo.body.Step, func(id string) bool { return wanted[id] })
			if err != nil {
				logs.Warn(ow.Logger, "partial texts not read, items start from the beginning", "id", jo.body.ID, "from", from, "err", err)
			}
			ow.Loop.Post(func() {
				if used := jo.reuse(stored, ow.continuable(jo)); used > 0 && !jo.dropped {
					logs.Info(ow.Logger, "partial texts reused", "id", jo.body.ID, "from", from, "items", used)
					ow.resumeItems(jo)
				}
			})
		}()
	}
}

// continuable returns a function that reports whether an engine of a software version
// serves the job's service. While no engine is known, each version may be served.
func (ow *Owner) continuable(jo *job) func(software string) bool {
	known, served := false, map[string]bool{}
	for _, en := range ow.engines {
		if en.target.Service == jo.service && !en.target.Draining {
			known, served[en.target.Software] = true, true
		}
	}
	return func(software string) bool { return !known || served[software] }
}

// resumeItems has the items with complete texts scored and places the others.
func (ow *Owner) resumeItems(jo *job) {
	for _, it := range jo.items {
		if it.state == waiting && it.complete {
			ow.textComplete(jo, it)
		}
	}
	ow.place()
}

// End drops a job that was ended through this entry.
func (ow *Owner) End(id string) {
	ow.Loop.Post(func() {
		if jo := ow.jobs[id]; jo != nil {
			ow.drop(jo, dropEnded)
		}
	})
}

// Idle reports whether this entry owns no job.
func (ow *Owner) Idle() bool {
	idle := true
	ow.Loop.Do(func() { idle = len(ow.jobs) == 0 })
	return idle
}

// Release drops all jobs and saves their partial texts, so that other entries can
// continue them.
func (ow *Owner) Release(ctx context.Context) {
	var released []*job
	ow.Loop.Do(func() {
		for _, jo := range ow.jobs {
			released = append(released, jo)
			ow.drop(jo, dropReleased)
		}
	})
	for _, jo := range released {
		if _, err := ow.Ledger.SavePartials(ctx, jo.body.ID, jo.unlisted); err != nil {
			logs.Warn(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		}
		if err := ow.release(ctx, jo); err != nil {
			logs.Warn(ow.Logger, "job not released", "id", jo.body.ID, "err", err)
		}
	}
}

// maxReleaseAttempts bounds the attempts to release a job whose head changes meanwhile: a
// write of results may still be in flight, and another entry may seal or end the job.
const maxReleaseAttempts = 4

// release removes the owner of a job from its head.
func (ow *Owner) release(ctx context.Context, jo *job) error {
	vh, _ := ow.Index.Get(jo.body.ID)
	if vh.Version < jo.known.Version {
		vh = jo.known
	}
	var err error
	for range maxReleaseAttempts {
		if vh.Head.Epoch != jo.known.Head.Epoch || !vh.Head.Open() {
			return nil
		}
		if vh, err = ow.Ledger.Adopt(ctx, jo.body.ID, vh, ""); errors.Is(err, batch.ErrSealed) {
			vh, err = ow.Ledger.End(ctx, jo.body.ID, vh)
		}
		if !errors.Is(err, batch.ErrSuperseded) {
			return err
		}
	}
	return err
}

// drop removes a job from this entry and cancels its runs. Partial texts of an
// ended job are saved under its route for a later job; those of a released job are
// left in jo.unlisted.
func (ow *Owner) drop(jo *job, why string) {
	delete(ow.jobs, jo.body.ID)
	jo.dropped = true
	jo.cancel()
	var partials []batch.Partial
	for _, it := range jo.items {
		jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
		if it.run != nil {
			it.appendEvents(it.run.finish(), it.run.software, jo.body.MinVersion)
			it.run.cancel()
			it.run = nil
		}
		it.releaseText()
		if pa, found := it.partial(jo); found && (why == dropEnded || why == dropReleased) && !jo.groupDone(it.item.Group) {
			partials = append(partials, pa)
		}
	}
	logs.Info(ow.Logger, "job dropped", "id", jo.body.ID, "why", why, "listed", jo.known.Head.Listed,
		"total", jo.known.Head.Total, "partials", len(partials), "age", jo.known.Head.Age(ow.Clock.Now()))
	jo.unlisted = partials
	jo.releaseTexts(len(jo.heldTexts))
	ow.place()
	if why == dropReleased || why == dropReplaced {
		return
	}
	jo.ended = true
	byID := map[string]batch.Partial{}
	for at := range partials {
		partials[at].Rows = nil // these rows belong to the job, the new ones to the route
		byID[partials[at].ID] = partials[at]
	}
	ow.routePartials[jo.partialsPart()] = byID
	unused := jo.obsoleteRows
	go func() {
		_, err := ow.Ledger.SavePartials(ow.ctx, jo.partialsPart(), partials)
		if err == nil {
			err = ow.Ledger.DeleteRows(ow.ctx, unused)
		}
		if err != nil {
			logs.Warn(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		}
	}()
}

// applyHead updates a job from its head in the index, and drops it if it was ended
// or has another owner.
func (ow *Owner) applyHead(jo *job) {
	vh, found := ow.Index.Get(jo.body.ID)
	if !found || vh.Version <= jo.known.Version || jo.writing {
		return
	}
	switch {
	case vh.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, dropReplaced)
	case vh.Head.Ended:
		ow.drop(jo, dropEnded)
	default:
		jo.known = vh
	}
}

// expire finishes items that exceed the route's time limit as errored. The time
// counts from when the job was received here, since the time of submission was read
// from another machine's clock.
func (ow *Owner) expire(now time.Time, jo *job) {
	if jo.route.ItemTTL <= 0 || now.Sub(jo.receivedAt) < jo.route.ItemTTL {
		return
	}
	for _, it := range jo.items {
		if it.state == waiting || it.state == running {
			ow.finish(jo, it, batch.Errored, "", "given up after the time limit")
		}
	}
}

// finish records the result of an item and schedules its write.
func (ow *Owner) finish(jo *job, it *item, state batch.State, score, why string) {
	if it.run != nil {
		it.run.cancel()
		it.run = nil
	}
	it.state = done
	jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
	if len(jo.results) == 0 {
		jo.readySince = ow.Clock.Now()
	}
	jo.results, jo.heldTexts = append(jo.results, it.result(state, score)), append(jo.heldTexts, it.text)
	it.text = nil
	if !jo.writeScheduled {
		jo.writeScheduled = true
		ow.postAfter(jo.lastWriteAt.Add(writeInterval).Sub(ow.Clock.Now()), func() {
			jo.writeScheduled = false
			if !jo.dropped {
				ow.writeResults(ow.Clock.Now(), jo)
			}
		})
	}
	now := ow.Clock.Now()
	age := jo.known.Head.Age(now)
	ow.Meters.Observe("item", jo.route.Name, age)
	if state == batch.Completed {
		logs.Info(ow.Logger, "item completed", "job", jo.body.ID, "id", it.item.ID, "events", len(it.events), "hint", it.item.Hint,
			"age", age, "due", jo.route.Deadline, "begun", it.firstRunAge, "runs", it.runCount, "scored-for", now.Sub(it.completeSince), "carried", it.resumed)
	}
	if state == batch.Errored {
		logs.Warn(ow.Logger, "item errored", "job", jo.body.ID, "id", it.item.ID, "why", why,
			"failures", it.failures, "events", len(it.events), "age", age)
		ow.Meters.Count("items-errored", jo.route.Name, 1)
	}
}
