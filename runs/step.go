package runs

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/place"
)

// updatePaces measures the pace of each engine: the mean over its runs.
func (ow *Owner) updatePaces(now time.Time) {
	for _, en := range ow.engines {
		var (
			sum   time.Duration
			count int
		)
		for ru := range en.runs {
			if _, version := ru.progress(); version > 0 {
				en.refusals = 0
				model := ru.job.body.Model
				en.versions[model] = max(en.versions[model], version)
			}
			if pace := ru.pace(now); pace > 0 {
				sum, count = sum+pace, count+1
			}
			en.sharedHost = en.sharedHost || ru.slowdown() > 0
		}
		if en.sharedHost {
			en.updateLongPace(now)
		}
		if count > 0 {
			en.pace, en.paceAt = sum/time.Duration(count), now
		}
	}
}

// abandonStalled cancels the runs that have produced no event for too long. Their items
// wait for an engine again.
func (ow *Owner) abandonStalled(now time.Time) {
	for _, en := range ow.engines {
		for ru := range en.runs {
			last, _ := ru.progress()
			if silent := now.Sub(last); silent > place.AbandonTimeout && !ru.superseded {
				ru.superseded, ru.item.avoid = true, en.target.ID
				ru.cancel()
				ow.Meters.Count("runs-abandoned", en.target.Service, 1)
				logs.Warn(ow.Logger, "run abandoned", "job", ru.job.body.ID, "id", ru.item.item.ID, "engine", en.target.ID,
					"silent", silent, "events", ru.item.eventCount())
			}
		}
	}
}

// place schedules a pass that assigns waiting items to engines. Calls before the
// pass are coalesced. If the queue of the loop is full, the next periodic check
// places the items.
func (ow *Owner) place() {
	if ow.placeQueued {
		return
	}
	ow.placeQueued = ow.Loop.TryPost(func() {
		ow.placeQueued = false
		now := ow.Clock.Now()
		for _, jo := range ow.jobsByDueTime() {
			ow.placeJob(now, jo)
		}
	})
}

// jobsByDueTime returns the jobs, earliest due time first.
func (ow *Owner) jobsByDueTime() []*job {
	jobs := make([]*job, 0, len(ow.jobs))
	for _, jo := range ow.jobs {
		jobs = append(jobs, jo)
	}
	slices.SortFunc(jobs, func(lhs, rhs *job) int {
		return cmp.Compare(lhs.known.Head.Submitted+lhs.route.Deadline.Milliseconds(), rhs.known.Head.Submitted+rhs.route.Deadline.Milliseconds())
	})
	return jobs
}

// placeJob starts the waiting items of a job, and moves the runs that should move
// to other engines.
func (ow *Owner) placeJob(now time.Time, jo *job) {
	snapshot := place.NewSnapshot(ow.engineViews(now, jo))
	queue := jo.queue(now, snapshot)
	if len(queue) == 0 {
		return
	}
	ow.claimPermits(now, jo, snapshot, queue)
	place.SortItems(queue)
	if at, last, found := snapshot.Probe(queue); found {
		ow.assign(now, jo, snapshot, at, queue[last])
		queue = queue[:last]
	}
	for _, wi := range queue {
		at := snapshot.Choose(wi)
		if at < 0 && snapshot.BeginsAnew(wi) {
			wi.Software = ""
			at = snapshot.Choose(wi)
		}
		if at >= 0 {
			ow.assign(now, jo, snapshot, at, wi)
		}
	}
}

// claimPermits claims permits of the engines that limit their rates for the items that they
// could run.
func (ow *Owner) claimPermits(now time.Time, jo *job, snapshot *place.Snapshot, queue []place.Item) {
	for at, count := range snapshot.PermitsWanted(queue) {
		en := snapshot.Engine(at)
		ow.Rates.Claim(now, ow.engines[en.ID].target, jo.body.ID, jo.route.Priority, en.Permits+count)
	}
}

// queue returns the items that wait for an engine and those that should move.
func (jo *job) queue(now time.Time, snapshot *place.Snapshot) []place.Item {
	var queue []place.Item
	for at, it := range jo.items {
		wi := place.Item{
			Index: at, Group: it.item.Group, Required: it.resumed, RemainingEvents: it.remainingEvents(), Load: it.load(0), Tokens: it.item.PromptTokens + it.outputTokens(),
			MinVersion: jo.body.MinVersion, Avoid: it.avoid, Software: it.requiredSoftware(), Waited: now.Sub(it.waitingSince),
		}
		switch {
		case it.state == waiting && !now.Before(it.notBefore):
			queue = append(queue, wi)
		case it.run != nil && !it.run.superseded:
			last, version := it.run.progress()
			wi.Avoid, wi.Waited = it.run.engine.target.ID, now.Sub(last)
			wi.MoveReason = snapshot.MoveReason(place.Run{
				Engine: wi.Avoid, SinceLastEvent: now.Sub(last), Started: version > 0, RemainingEvents: wi.RemainingEvents, Slack: jo.slack(now),
			})
			if wi.MoveReason != "" {
				queue = append(queue, wi)
			}
		}
	}
	return queue
}

// assign assigns an item to an engine. A waiting item is started. A running one is
// canceled, and is placed again when its run has ended.
func (ow *Owner) assign(now time.Time, jo *job, snapshot *place.Snapshot, at int, wi place.Item) {
	snapshot.Assign(at, wi)
	it := jo.items[wi.Index]
	if wi.MoveReason == "" {
		ow.startRun(now, jo, it, ow.engines[snapshot.Engine(at).ID])
		return
	}
	ru := it.run
	last, _ := ru.progress()
	ru.superseded, it.avoid, it.beginsAnew = true, wi.Avoid, wi.Software != it.requiredSoftware()
	ru.cancel()
	ow.Meters.Count("runs-moved", string(wi.MoveReason), 1)
	logs.Info(ow.Logger, "run moved", "job", jo.body.ID, "id", it.item.ID, "engine", wi.Avoid, "why", wi.MoveReason,
		"silent", now.Sub(last), "pace", ru.engine.pace, "long-pace", ru.engine.longPace.mean(), "events", it.eventCount())
}

// startRun starts an item on an engine.
func (ow *Owner) startRun(now time.Time, jo *job, it *item, en *engine) {
	if len(it.events) > 0 && it.software != en.target.Software {
		logs.Info(ow.Logger, "text begun anew", "job", jo.body.ID, "id", it.item.ID, "events", len(it.events), "software", it.software,
			"engine", en.target.ID, "waited", now.Sub(it.waitingSince))
		ow.Meters.Count("texts-begun-anew", jo.route.Name, 1)
		it.reset()
	}
	if jo.route.SingleVersion {
		it.reset()
	}
	if len(it.events) == 0 {
		it.service = en.target.Service
	}
	it.beginsAnew = false
	ctx, cancel := context.WithCancel(ow.ctx)
	if it.text == nil {
		it.text = ow.holdText(now, it.textCost())
	}
	it.text.setRun(cancel)
	ru := &run{engine: en, job: jo, item: it, cancel: cancel, startedAt: now, software: en.target.Software, text: it.text}
	it.state, it.run = running, ru
	if it.runCount++; it.runCount == 1 {
		it.firstRunAge = jo.known.Head.Age(now)
	}
	en.running++
	en.runs[ru] = true
	en.groups[it.item.Group]++
	rq, target := Request{Job: jo.body, Item: it.item, After: len(it.events), TextBytes: it.textBytes()}, en.target
	logs.Info(ow.Logger, "run begun", "job", jo.body.ID, "id", it.item.ID, "engine", en.target.ID, "after", rq.After,
		"version", en.version(jo.body.Model), "running", en.running, "pace", en.pace,
		"software", en.target.Software)
	ow.Meters.Count("runs-begun", jo.route.Name, 1)
	go func() {
		out := ow.run(ctx, target, rq, jo.route.Priority, func(ev Event) { ru.add(ow.Clock.Now(), ev) })
		cancel()
		ow.Loop.Post(func() { ow.runEnded(ru, out) })
	}()
}

// run runs an item, unless its engine announced since it was chosen that it leaves. It takes
// the permit that an engine with a limited rate requires.
func (ow *Owner) run(ctx context.Context, ta fleet.Target, rq Request, priority int, event func(Event)) Outcome {
	if ow.Departures.Departing(ta) {
		return Outcome{Ending: Refused, Detail: "the target is leaving"}
	}
	if rq.After > 0 && ow.Freshness.Outdated() { // the engine may have started again with other software
		return Outcome{Ending: Outdated, Detail: "the list of engines is outdated after a pause"}
	}
	if !ow.Rates.Take(ow.Clock.Now(), ta, priority) {
		return Outcome{Ending: Limited, Detail: "no permit"}
	}
	return ow.Engine.Run(ctx, ta, rq, event)
}

// emptyEngines selects the engines to empty for a load of weights. It does nothing
// while an item of the job waits.
func (ow *Owner) emptyEngines(now time.Time, jo *job) {
	announced := ow.announced[jo.body.Model]
	for _, it := range jo.items {
		if it.state == waiting {
			return
		}
	}
	views := ow.engineViews(now, jo)
	for _, at := range place.ChooseForLoad(views, jo.body.Model, jo.body.MinVersion, announced) {
		en := ow.engines[views[at].ID]
		en.emptiedAt = now
		logs.Info(ow.Logger, "engine emptied for a load", "engine", en.target.ID, "job", jo.body.ID,
			"runs", en.running, "loaded", en.version(jo.body.Model), "named", announced)
	}
}

// runEnded handles the end of a run.
func (ow *Owner) runEnded(ru *run, out Outcome) {
	en, it, jo := ru.engine, ru.item, ru.job
	now := ow.Clock.Now()
	events := ru.finish()
	en.running--
	delete(en.runs, ru)
	if en.groups[it.item.Group]--; en.groups[it.item.Group] <= 0 {
		delete(en.groups, it.item.Group)
	}
	ow.recordOutcome(now, en, ru, out, len(events))
	if jo.dropped || it.run != ru {
		ow.place()
		return
	}
	it.run = nil
	it.state, it.waitingSince = waiting, now
	ow.continueItem(now, ru, out, events)
	ow.place()
}

// continueItem appends the events of a run to the text of its item, and decides what the
// item needs next.
func (ow *Owner) continueItem(now time.Time, ru *run, out Outcome, events []Event) {
	en, it, jo := ru.engine, ru.item, ru.job
	if ow.discarded(now, ru, out) {
		return
	}
	before := len(it.events)
	it.appendEvents(events, ru.software, jo.body.MinVersion)
	switch {
	case it.complete: // a stored text was read in the meantime
		ow.textComplete(jo, it)
	case ru.replaced && out.Ending == Complete: // the text is another one now
	case out.Ending == Complete && len(it.events) == before+len(events) && len(it.events) > 0:
		ow.textEnded(jo, it, en, len(events))
	case out.Ending == Failed:
		it.failures++
		if it.failures >= max(jo.route.Attempts, 1) {
			ow.finish(jo, it, batch.Errored, "", out.Detail)
		}
	case out.Ending == Unservable:
		ow.finish(jo, it, batch.Errored, "", out.Detail)
	case out.Ending == Complete: // without events, or with some of weights older than permitted
		en.versions[jo.body.Model] = 0
		it.notBefore = now.Add(refusedBackoff)
	}
	ow.dropForeignText(jo, it)
}

// discarded discards the text of an item if its run made it too long or it had to yield, and
// reports whether it did.
func (ow *Owner) discarded(now time.Time, ru *run, out Outcome) bool {
	switch {
	case out.Ending == TooLong && !ru.replaced:
		ow.discardText(now, ru.job, ru.item, ru.engine, out.Detail)
	case ru.item.text.hasYielded():
		ow.yieldRun(now, ru.job, ru.item, ru.engine)
	default:
		return false
	}
	return true
}

// textEnded handles a run that ended in order and sent the given number of events.
func (ow *Owner) textEnded(jo *job, it *item, en *engine, events int) {
	if events == 0 && !it.endConfirmed(en) {
		logs.Info(ow.Logger, "end of a text not confirmed yet", "job", jo.body.ID, "id", it.item.ID, "engine", en.target.ID, "events", len(it.events))
		ow.Meters.Count("ends-to-confirm", jo.route.Name, 1)
		return
	}
	it.complete = true
	if !it.result(batch.Completed, "").Fits() {
		ow.discardText(ow.Clock.Now(), jo, it, en, "the result does not fit the store")
		return
	}
	ow.textComplete(jo, it)
}

// discardText discards a text that cannot be listed, with all that was saved of it, and has the
// item begin anew, on another engine if there is one. The events of such a text must not be
// kept: a sound engine that continued it would have nothing to add. The item is not errored
// before its time limit, since its text is not known to be too long on other engines.
func (ow *Owner) discardText(now time.Time, jo *job, it *item, en *engine, why string) {
	ow.Meters.Count("texts-discarded", jo.route.Name, 1)
	ow.dropText(jo, it, why+", engine "+en.target.ID)
	it.avoid = en.target.ID
	it.notBefore = now.Add(min(tooLongBackoff<<min(it.tooLong, 8), maxTooLongBackoff))
	it.tooLong++
	en.backOffInterrupted(now)
}

// dropText drops the text of an item and what was saved of it.
func (ow *Owner) dropText(jo *job, it *item, why string) {
	logs.Warn(ow.Logger, "text discarded", "job", jo.body.ID, "id", it.item.ID, "events", len(it.events), "why", why)
	jo.obsoleteRows = append(jo.obsoleteRows, it.rows...)
	it.rows, it.savedEvents, it.resumed = nil, 0, false
	it.reset()
}

// recordOutcome updates the backoff of the engine, or that of the item, after a run.
func (ow *Owner) recordOutcome(now time.Time, en *engine, ru *run, out Outcome, events int) {
	switch {
	case ru.superseded || ru.job.dropped || out.Ending == Limited:
		return
	case out.Ending == Outdated:
		ru.item.notBefore = now.Add(outdatedDelay)
		return
	case out.Ending == Complete:
		en.interruptions, en.refusals = 0, 0
		return
	case out.Ending == Refused:
		en.backOffRefused(now)
	case out.Ending == Misdirected || (out.Ending == Interrupted && events == 0):
		en.backOffInterrupted(now)
	}
	ow.Meters.Count("runs-failed", string(out.Ending), 1)
	logs.Info(ow.Logger, "run ended early", "job", ru.job.body.ID, "id", ru.item.item.ID, "engine", en.target.ID,
		"ending", out.Ending, "events", events, "text", out.Detail, "took", now.Sub(ru.startedAt))
}

// textComplete has a complete text scored. A text with versions that the route
// doesn't accept is discarded and the item runs again.
func (ow *Owner) textComplete(jo *job, it *item) {
	if !it.versionsFit(jo.route, it.versions) {
		it.reset()
		it.state = waiting
		return
	}
	it.state, it.completeSince = scoring, ow.Clock.Now()
	ow.keepText(it.completeSince, it)
	ow.longestText[jo.route.Name] = max(ow.longestText[jo.route.Name], len(it.events))
	ow.score(jo, it)
}

// score calls the scorer of an item, if it has one, and finishes the item.
func (ow *Owner) score(jo *job, it *item) {
	if it.item.Scorer == nil {
		ow.finish(jo, it, batch.Completed, "", "")
		return
	}
	go func() {
		score, failures, err := ow.Scorer.Score(jo.ctx, jo.body, *it.item.Scorer)
		ow.Loop.Post(func() { ow.scoreReceived(jo, it, score, failures, err) })
	}()
}

func (ow *Owner) scoreReceived(jo *job, it *item, score string, failures int, err error) {
	if jo.dropped || it.state != scoring {
		return
	}
	if err == nil {
		ow.finish(jo, it, batch.Completed, score, "")
		return
	}
	it.failures += failures
	if failures > 0 {
		ow.finish(jo, it, batch.Errored, "", err.Error())
		return
	}
	logs.Info(ow.Logger, "score not received, trying again", "job", jo.body.ID, "id", it.item.ID, "err", err)
	ow.postAfter(retryDelay, func() {
		if !jo.dropped && it.state == scoring {
			ow.score(jo, it)
		}
	})
}
