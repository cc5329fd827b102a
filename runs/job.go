package runs

import (
	"context"
	"slices"
	"strings"
	"time"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/place"
	"bilberryshelf/table"
)

// itemState is the processing state of an item.
type itemState string

const (
	waiting itemState = "waiting"
	running itemState = "running"
	scoring itemState = "scoring"
	done    itemState = "done"
)

// job is the state of a job that this entry owns. known is its last known head.
type job struct {
	body  *batch.Job
	known batch.VersionedHead
	route conf.Route
	// ctx ends when the job is dropped; scoring calls end with it.
	ctx    context.Context
	cancel context.CancelFunc
	// receivedAt is when this owner received the job.
	receivedAt time.Time
	// service runs all items of the job: engines of another service would have to
	// read its prompts again. It changes only if it has no engines any more.
	service string
	items   []*item
	// results are ready but not listed, the oldest since readySince. lastWriteAt is when
	// the last write began.
	results []batch.Result
	// heldTexts are the texts of the results, nil for one without.
	heldTexts   []*heldText
	readySince  time.Time
	lastWriteAt time.Time
	// pendingWrite is the write of the first pendingCount results until its outcome
	// is known. writing is set while a call is in flight.
	pendingWrite *batch.Append
	pendingCount int
	writing      bool
	// writeScheduled is set while a call of writeResults is scheduled.
	writeScheduled bool
	retryAt        time.Time
	// savedAt is when partial texts were last checked for a save, saving is set while
	// a save is in flight. obsoleteRows are the rows of partial texts whose items are
	// decided.
	savedAt time.Time
	saving  bool
	// saveFrom is the item at which the next save begins.
	saveFrom     int
	obsoleteRows []table.ID
	// storeFailing is set while writes of results fail.
	storeFailing bool
	dropped      bool
	// ended is set for a dropped job that no other entry runs on.
	ended bool
	// unlisted holds the partial texts that were not listed when the job was dropped.
	unlisted []batch.Partial
}

func newJob(body *batch.Job, vh batch.VersionedHead, route conf.Route, listed map[string]bool) *job {
	jo := &job{body: body, known: vh, route: route, service: route.Shares[0].Service}
	for at := range body.Items {
		it := &item{item: &body.Items[at], state: waiting}
		if listed[it.item.ID] {
			it.state = done
		}
		jo.items = append(jo.items, it)
	}
	return jo
}

// partialsPart returns the part that holds the partial texts for later jobs of the route. Each
// workspace has its own: item ids are unique within a workspace only.
func (jo *job) partialsPart() string {
	if jo.body.Workspace == "" {
		return jo.route.Name
	}
	return jo.route.Name + "/" + jo.body.Workspace
}

// stepMargin is the time that a step takes besides its longest run: scoring, listing, and
// the trainer's look.
const stepMargin = 700 * time.Millisecond

// slack returns the time in which a run must end for its step to be in time, zero if it
// is late.
func (jo *job) slack(now time.Time) time.Duration {
	return max(jo.route.Deadline-stepMargin-now.Sub(jo.receivedAt), 0)
}

// groupDone reports whether all items of a group are decided: completed or errored.
func (jo *job) groupDone(group string) bool {
	for _, it := range jo.items {
		if it.item.Group == group && it.state != done {
			return false
		}
	}
	return true
}

// minReuseGain is the number of events by which a stored text must exceed the text
// of a run in progress. It covers the cost of starting a new run.
const minReuseGain = 4

// reuse replaces the texts of items by longer stored ones whose versions are
// permitted and which an engine can continue. It returns the number of texts replaced.
func (jo *job) reuse(partials map[string]batch.Partial, continuable func(software string) bool) int {
	used := 0
	for _, it := range jo.items {
		pa, found := partials[it.item.ID]
		if !found || it.state == scoring || it.state == done || !pa.Permitted(jo.body.MinVersion) || !it.versionsFit(jo.route, pa.Versions) {
			continue
		}
		if len(pa.Events) < it.eventCount()+minReuseGain || (!pa.Complete && (jo.foreign(pa) || !continuable(pa.Software))) {
			continue
		}
		if it.run != nil {
			it.run.finish() // the stored text is longer
			it.run.superseded, it.run.replaced = true, true
			it.run.cancel()
		}
		it.events, it.versions, it.software, it.resumed, it.complete = pa.Events, pa.Versions, pa.Software, true, pa.Complete
		it.service = jo.service
		it.emptyEnds = 0
		it.releaseText() // another text
		used++
	}
	return used
}

// foreign reports whether engines of another service generated a stored text.
func (jo *job) foreign(pa batch.Partial) bool { return pa.Service != "" && pa.Service != jo.service }

// item is one item of a job.
type item struct {
	item     *batch.Item
	state    itemState
	events   []string
	versions []uint64
	// text counts the memory of the events; nil before the first run.
	text *heldText
	// software is the version of the software that generated the events.
	software string
	// service is the service of the engines that generated the events; empty if there are none.
	service  string
	complete bool
	// waitingSince is when the last run ended, at first when the job was received.
	// beginsAnew is set if the run was canceled to begin the text anew.
	waitingSince time.Time
	beginsAnew   bool
	// resumed is set if the text began as one that an earlier job or owner saved.
	resumed  bool
	failures int
	run      *run
	// avoid is the engine from which the item last moved, or that sent no event of its text.
	avoid string
	// emptyEnds counts the runs since the last event that ended in order without one.
	emptyEnds int
	// tooLong counts the texts that could not be listed.
	tooLong   int
	notBefore time.Time
	// For the log: the number of runs, the age of the job at the first one, and when
	// the text was complete.
	runCount      int
	firstRunAge   time.Duration
	completeSince time.Time
	// rows are the rows of the saved partial text, savedEvents is its length.
	rows        []table.ID
	savedEvents int
}

// appendEvents appends the events of a run on an engine of the given software version. It
// discards all of them if one was generated by weights older than permitted.
func (it *item) appendEvents(events []Event, software string, minVersion uint64) {
	for _, ev := range events {
		if ev.Version < minVersion {
			return
		}
	}
	if len(it.events) == 0 {
		it.software = software
	}
	for _, ev := range events {
		it.events = append(it.events, ev.Data)
		it.versions = append(it.versions, ev.Version)
		it.emptyEnds = 0
	}
}

// endConfirmations is the number of runs that must say that a text is complete, if they send
// no event of it.
const endConfirmations = 2

// endConfirmed reports whether a text is complete after a run on an engine ended in order
// without an event. Either the end of the text was lost before, or the engine has failed,
// and the text would be listed though it is not complete. The next run is on another
// engine, if there is one.
func (it *item) endConfirmed(en *engine) bool {
	it.emptyEnds++
	it.avoid = en.target.ID
	return it.emptyEnds >= endConfirmations
}

// versionsFit reports whether the route accepts a text of these versions: some
// routes require a single one.
func (*item) versionsFit(route conf.Route, versions []uint64) bool {
	return !route.SingleVersion || len(batch.DistinctVersions(versions)) <= 1
}

// tokensPerEvent is the usual number of tokens in an event, by the sheets.
const tokensPerEvent = 64

// load returns what the item adds to an engine's load, in prompts, given the number
// of events of its run.
func (it *item) load(runEvents int) float64 {
	return place.RunLoad(it.item.PromptTokens, (len(it.events)+runEvents)*tokensPerEvent, it.item.Hint)
}

// textBytes returns the size of the text without the run in progress.
func (it *item) textBytes() int { return batch.Partial{Events: it.events}.TextBytes() }

// eventCount returns the number of events so far, including the run in progress.
func (it *item) eventCount() int {
	if it.run == nil {
		return len(it.events)
	}
	return len(it.events) + it.run.eventCount()
}

// remainingEvents estimates the number of events that the text still lacks. A text that has
// outlived the trainer's estimate has half of its length before it: lengths have a long
// tail.
func (it *item) remainingEvents() int { return it.remainingAfter(it.eventCount()) }

// remainingAfter is the same, given the number of events that were generated.
func (it *item) remainingAfter(generated int) int {
	expected := it.item.Hint / tokensPerEvent
	if most := (it.item.MaxTokens - it.item.PromptTokens) / tokensPerEvent; most > 0 {
		expected = min(expected, most)
	}
	if expected > generated {
		return expected - generated
	}
	return 1 + generated/2
}

// outputTokens estimates the length of the whole text in tokens.
func (it *item) outputTokens() int { return (it.eventCount() + it.remainingEvents()) * tokensPerEvent }

// reset discards the generated text.
func (it *item) reset() {
	it.events, it.versions, it.software, it.service, it.complete, it.emptyEnds = nil, nil, "", "", false, 0
	it.releaseText()
}

// requiredSoftware returns the version of the software that can continue the text, empty if
// any can.
func (it *item) requiredSoftware() string {
	switch {
	case it.beginsAnew:
		return ""
	case len(it.events) > 0:
		return it.software
	case it.eventCount() > 0:
		return it.run.software
	default:
		return ""
	}
}

// partial returns the text so far, including the run in progress, and whether
// there is any.
func (it *item) partial(jo *job) (batch.Partial, bool) {
	pa := batch.Partial{
		ID: it.item.ID, Events: it.events, Versions: it.versions, Software: it.software, Service: it.service, Complete: it.complete, Step: jo.body.Step, Rows: it.rows,
	}
	if it.run != nil {
		cp := item{events: slices.Clip(it.events), versions: slices.Clip(it.versions), software: it.software}
		cp.appendEvents(it.run.snapshot(), it.run.software, jo.body.MinVersion)
		pa.Events, pa.Versions, pa.Software = cp.events, cp.versions, cp.software
	}
	return pa, len(pa.Events) > 0
}

func (it *item) result(state batch.State, score string) batch.Result {
	re := batch.Result{ID: it.item.ID, State: state}
	if state == batch.Completed {
		re.Text, re.Versions, re.Score = strings.Join(it.events, "\n"), batch.DistinctVersions(it.versions), score
	}
	return re
}
