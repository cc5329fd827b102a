package runs

import (
	"context"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/logs"
)

// The reasons for which an entry leaves a job.
const (
	dropEnded    = "ended"
	dropReleased = "released"
	dropReplaced = "another owner"
	dropComplete = "complete"
)

// Owns tells whether a job runs here.
func (ow *Owner) Owns(id string) bool {
	owns := false
	ow.Loop.Do(func() { owns = ow.jobs[id] != nil })
	return owns
}

// Start takes a job over. Listed names the items whose results stand already.
func (ow *Owner) Start(body *batch.Job, kn batch.VersionedHead, route conf.Route, listed map[string]bool) {
	ow.Loop.Post(func() {
		if ow.jobs[body.ID] != nil || !kn.Head.Open() {
			return
		}
		jo := newJob(body, kn, route, listed)
		jo.receivedAt = ow.Clock.Now()
		ow.jobs[body.ID] = jo
		logs.Info(ow.Logger, "job started", "id", body.ID, "route", route.Name, "model", body.Model, "step", body.Step,
			"items", len(body.Items), "listed", len(listed), "oldest", body.Oldest, "epoch", kn.Head.Epoch, "age", kn.Head.Age(ow.Clock.Now()))
		ow.loadPartials(jo)
	})
}

// loadPartials looks for texts that an earlier job of the route or a former owner left.
// The items run meanwhile; one that has less than the text goes on behind it.
func (ow *Owner) loadPartials(jo *job) {
	jo.reuse(ow.routePartials[jo.route.Name])
	ow.resumeItems(jo)
	wanted := map[string]bool{}
	for _, it := range jo.items {
		wanted[it.item.ID] = it.state != done
	}
	go func() {
		call, cancel := context.WithTimeout(ow.ctx, partialsTimeout)
		defer cancel()
		for _, from := range []string{jo.route.Name, jo.body.ID} {
			stored, err := ow.Ledger.Partials(call, from, jo.body.Step, func(id string) bool { return wanted[id] })
			if err != nil {
				logs.Warn(ow.Logger, "partial texts not read, items begin anew", "id", jo.body.ID, "from", from, "err", err)
			}
			ow.Loop.Post(func() {
				if used := jo.reuse(stored); used > 0 && !jo.dropped {
					logs.Info(ow.Logger, "partial texts reused", "id", jo.body.ID, "from", from, "items", used)
					ow.resumeItems(jo)
				}
			})
		}
	}()
}

// resumeItems scores the items whose text is whole, and places the others.
func (ow *Owner) resumeItems(jo *job) {
	for _, it := range jo.items {
		if it.state == waiting && it.complete {
			ow.textComplete(jo, it)
		}
	}
	ow.place()
}

// End stops the items of a job that was ended through this entry.
func (ow *Owner) End(id string) {
	ow.Loop.Post(func() {
		if jo := ow.jobs[id]; jo != nil {
			ow.drop(jo, dropEnded)
		}
	})
}

// Idle tells whether no job runs here.
func (ow *Owner) Idle() bool {
	idle := true
	ow.Loop.Do(func() { idle = len(ow.jobs) == 0 })
	return idle
}

// Release hands all jobs to the other entries, with what was generated.
func (ow *Owner) Release(ctx context.Context) {
	var left []*job
	ow.Loop.Do(func() {
		for _, jo := range ow.jobs {
			left = append(left, jo)
			ow.drop(jo, dropReleased)
		}
	})
	for _, jo := range left {
		if _, err := ow.Ledger.SavePartials(ctx, jo.body.ID, jo.unlisted); err != nil {
			logs.Warn(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		}
		kn, _ := ow.Index.Get(jo.body.ID)
		if kn.Version < jo.known.Version {
			kn = jo.known
		}
		if _, err := ow.Ledger.Adopt(ctx, jo.body.ID, kn, ""); err != nil {
			logs.Warn(ow.Logger, "job not released", "id", jo.body.ID, "err", err)
		}
	}
}

// drop forgets a job and ends its runs. What was generated is kept for a later
// job.
func (ow *Owner) drop(jo *job, why string) {
	delete(ow.jobs, jo.body.ID)
	jo.dropped = true
	var partials []batch.Partial
	for _, it := range jo.items {
		jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
		if it.run != nil {
			it.appendEvents(it.run.finish(), jo.body.Oldest)
			it.run.cancel()
			it.run = nil
		}
		if pa, some := it.partial(jo); some && (why == dropEnded || why == dropReleased) && !jo.groupDone(it.item.Group) {
			partials = append(partials, pa)
		}
	}
	logs.Info(ow.Logger, "job left", "id", jo.body.ID, "why", why, "listed", jo.known.Head.Listed,
		"total", jo.known.Head.Total, "partials", len(partials), "age", jo.known.Head.Age(ow.Clock.Now()))
	jo.unlisted = partials
	ow.place()
	if why == dropReleased || why == dropReplaced {
		return
	}
	kept := map[string]batch.Partial{}
	for at := range partials {
		partials[at].Rows = nil // they lie under the job, and these under the route
		kept[partials[at].ID] = partials[at]
	}
	ow.routePartials[jo.route.Name] = kept
	go func() {
		_, err := ow.Ledger.SavePartials(ow.ctx, jo.route.Name, partials)
		if err == nil {
			err = ow.Ledger.DeleteRows(ow.ctx, jo.obsoleteRows)
		}
		if err != nil {
			logs.Warn(ow.Logger, "partial texts not saved", "id", jo.body.ID, "err", err)
		}
	}()
}

// applyHead compares a job with its head as the feed told it.
func (ow *Owner) applyHead(jo *job) {
	kn, found := ow.Index.Get(jo.body.ID)
	if !found || kn.Version <= jo.known.Version || jo.writing {
		return
	}
	switch {
	case kn.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, dropReplaced)
	case kn.Head.Ended:
		ow.drop(jo, dropEnded)
	default:
		jo.known = kn
	}
}

// expire gives up items whose time is over, counted from when the job came here:
// the time of its submission was read from another clock.
func (ow *Owner) expire(now time.Time, jo *job) {
	if jo.route.ItemTTL <= 0 || now.Sub(jo.receivedAt) < jo.route.ItemTTL {
		return
	}
	for _, it := range jo.items {
		if it.state == waiting || it.state == running {
			ow.finish(jo, it, batch.Errored, "", "given up")
		}
	}
}

// finish decides on an item.
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
	jo.results = append(jo.results, it.result(state, score))
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
