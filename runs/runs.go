// Package runs owns batch jobs: it places their items on engines, gathers the
// texts, has them scored and lists them.
//
// One goroutine (the loop) owns all state. Runs, scoring calls and writes to
// the store happen on goroutines of their own and report to the loop.
package runs

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/meter"
	"bilberryshelf/place"
)

// Event is one event of a text.
type Event struct {
	Data string
	// Version is the version of the weights that generated it.
	Version uint64
}

// Send is a run of an item.
type Send struct {
	Job  *batch.Job
	Item *batch.Item
	// After is how many events are there already; the run goes on behind them.
	After int
}

// Ending says how a run ended.
type Ending string

// The endings.
const (
	// Whole means that the text is complete.
	Whole Ending = "whole"
	// Refused means that the engine did not run the item: it is full or loading.
	Refused Ending = "refused"
	// Moved means that another target has the address.
	Moved Ending = "moved"
	// Failed means that the engine ran the item and answered with an error.
	Failed Ending = "failed"
	// Never means that no engine can run the item.
	Never Ending = "never"
	// Cut means that the text ended early or that no answer came.
	Cut Ending = "cut"
)

// Outcome is what came of a run.
type Outcome struct {
	Ending Ending
	// Text says why, for the log.
	Text string
}

// Engine runs items. Its event function is called in the order of the events,
// and never after Run has returned.
type Engine interface {
	Run(ctx context.Context, ta fleet.Target, se Send, event func(Event)) Outcome
}

// Scorer has a text scored. Failures counts the answers in which the scoring
// call itself failed; an error with none of them may be tried again.
type Scorer interface {
	Score(ctx context.Context, sc batch.Scorer) (score string, failures int, err error)
}

// Config finds routes.
type Config interface {
	Find(host, path string) (conf.Route, bool)
}

// Owner runs the jobs that this entry owns. Set the exported fields, then call
// Init and Run.
type Owner struct {
	Name    string
	Domain  string
	Ledger  batch.Ledger
	Index   *batch.Index
	Engine  Engine
	Scorer  Scorer
	Current func() Config
	Clock   core.Clock
	Logger  log.Logger
	Meters  *meter.Set
	Loop    *core.Loop

	ctx     context.Context
	jobs    map[string]*job
	engines map[string]*engine
	placing bool
	// named maps a model to the version that its trainer named.
	named map[string]uint64
	// homes maps an engine's address to the model that it serves, loads a slot to
	// the address of the engine that loads under it.
	homes map[string]string
	loads map[string]load
	// memory keeps the partial texts of ended jobs by route, newest job last.
	memory map[string]map[string]batch.Partial
}

const (
	// tick is the pace of the checks that no event triggers.
	tick = 50 * time.Millisecond
	// gather is how long results are gathered before they are listed together.
	gather = 40 * time.Millisecond
	// storePause is the pause before a write is tried again.
	storePause = 100 * time.Millisecond
	// refusedRest is how long an engine that refused an item is left out, doubled
	// for each refusal in a row up to refusedRestMost; a load takes 0.9 s.
	refusedRest     = 60 * time.Millisecond
	refusedRestMost = 250 * time.Millisecond
	// loadMost is how long an engine is left out for a load whose end is not told.
	loadMost = 2 * time.Second
	// emptyFor is how long an engine stays empty for a load that does not come.
	emptyFor = 3 * time.Second
	// cutRest is how long an engine that cut a run is left out, doubled for each
	// cut in a row up to cutRestMost.
	cutRest     = 150 * time.Millisecond
	cutRestMost = 3 * time.Second
	// paceMemory is how long the pace of an engine without runs is remembered.
	paceMemory = 3 * time.Second
	// giveUpSlack is added to the time after which an item may be given up, since
	// the clocks of two entries differ.
	giveUpSlack = 3 * time.Second
	// saveEvery is the pause between saves of partial texts, saveLeast the events
	// since the last one that make a save worth its bytes: half a second of work.
	saveEvery = time.Second
	saveLeast = 12
	// partialsWait bounds the reads of texts of an earlier job or owner; by then an
	// item has made so much itself.
	partialsWait = time.Second
)

// Init makes the owner ready; runs end with the context. What is told before
// Run is kept.
func (ow *Owner) Init(ctx context.Context) {
	ow.ctx = ctx
	ow.jobs, ow.engines = map[string]*job{}, map[string]*engine{}
	ow.memory, ow.named = map[string]map[string]batch.Partial{}, map[string]uint64{}
	ow.homes, ow.loads = map[string]string{}, map[string]load{}
}

// Run does the checks that no event triggers until the context ends.
func (ow *Owner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.Clock.After(tick):
			ow.Loop.Do(ow.check)
		}
	}
}

// check does what no event triggers.
func (ow *Owner) check() {
	now := ow.Clock.Now()
	ow.measure(now)
	for _, jo := range ow.jobs {
		ow.follow(jo)
	}
	for _, jo := range ow.jobs {
		ow.expire(now, jo)
		ow.list(now, jo)
		ow.save(now, jo)
	}
	for _, jo := range ow.jobs {
		ow.empty(now, jo)
	}
	ow.leave(now)
	ow.place()
}

// Named records the version of a model that its trainer named.
func (ow *Owner) Named(model string, version uint64) {
	ow.Loop.Post(func() {
		ow.named[model] = max(ow.named[model], version)
	})
}

// follow compares a job with its head as the feed told it.
func (ow *Owner) follow(jo *job) {
	kn, found := ow.Index.Get(jo.body.ID)
	if !found || kn.Version <= jo.known.Version || jo.writing {
		return
	}
	switch {
	case kn.Head.Epoch != jo.known.Head.Epoch:
		ow.drop(jo, replaced)
	case kn.Head.Ended:
		ow.drop(jo, ended)
	default:
		jo.known = kn
	}
}

// Owns tells whether a job runs here.
func (ow *Owner) Owns(id string) bool {
	owns := false
	ow.Loop.Do(func() { owns = ow.jobs[id] != nil })
	return owns
}

// Start takes a job over. Listed names the items whose results stand already.
func (ow *Owner) Start(body *batch.Job, kn batch.Known, route conf.Route, listed map[string]bool) {
	ow.Loop.Post(func() {
		if ow.jobs[body.ID] != nil || !kn.Head.Open() {
			return
		}
		jo := newJob(body, kn, route, listed)
		ow.jobs[body.ID] = jo
		level.Info(ow.Logger).Log("msg", "job started", "id", body.ID, "route", route.Name, "model", body.Model, "step", body.Step, //nolint:errcheck
			"items", len(body.Items), "listed", len(listed), "oldest", body.Oldest, "epoch", kn.Head.Epoch, "age", kn.Head.Age(ow.Clock.Now()))
		ow.recall(jo)
	})
}

// recall looks for texts that an earlier job of the route or a former owner left.
// The items run meanwhile; one that has less than the text goes on behind it.
func (ow *Owner) recall(jo *job) {
	jo.reuse(ow.memory[jo.route.Name])
	ow.take(jo)
	wanted := map[string]bool{}
	for _, it := range jo.items {
		wanted[it.item.ID] = it.state != done
	}
	go func() {
		call, cancel := context.WithTimeout(ow.ctx, partialsWait)
		defer cancel()
		for _, from := range []string{jo.route.Name, jo.body.ID} {
			stored, err := ow.Ledger.Partials(call, from, jo.body.Step, func(id string) bool { return wanted[id] })
			if err != nil {
				level.Warn(ow.Logger).Log("msg", "partial texts not read, items begin anew", "id", jo.body.ID, "from", from, "err", err) //nolint:errcheck
			}
			ow.Loop.Post(func() {
				if used := jo.reuse(stored); used > 0 && !jo.gone {
					level.Info(ow.Logger).Log("msg", "partial texts reused", "id", jo.body.ID, "from", from, "items", used) //nolint:errcheck
					ow.take(jo)
				}
			})
		}
	}()
}

// take scores the items whose text is whole, and places the others.
func (ow *Owner) take(jo *job) {
	for _, it := range jo.items {
		if it.state == waiting && it.whole {
			ow.complete(jo, it)
		}
	}
	ow.place()
}

// End stops the items of a job that was ended through this entry.
func (ow *Owner) End(id string) {
	ow.Loop.Post(func() {
		if jo := ow.jobs[id]; jo != nil {
			ow.drop(jo, ended)
		}
	})
}

// load is an engine that loads weights, and since when this is known.
type load struct {
	addr string
	at   time.Time
}

// Home records which model an engine serves.
func (ow *Owner) Home(addr, model string) {
	ow.Loop.Post(func() { ow.homes[addr] = model })
}

// Loading records which engine loads under a slot; an empty address frees it.
func (ow *Owner) Loading(slot, addr string) {
	ow.Loop.Post(func() {
		ow.loads[slot] = load{addr: addr, at: ow.Clock.Now()}
		ow.place()
	})
}

// loading tells whether an engine loads weights, as far as is known.
func (ow *Owner) loading(now time.Time, addr string) bool {
	for _, lo := range ow.loads {
		if lo.addr == addr && now.Sub(lo.at) < loadMost {
			return true
		}
	}
	return false
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
			ow.drop(jo, released)
		}
	})
	for _, jo := range left {
		if _, err := ow.Ledger.SavePartials(ctx, jo.body.ID, jo.left); err != nil {
			level.Warn(ow.Logger).Log("msg", "partial texts not saved", "id", jo.body.ID, "err", err) //nolint:errcheck
		}
		kn, _ := ow.Index.Get(jo.body.ID)
		if kn.Version < jo.known.Version {
			kn = jo.known
		}
		if _, err := ow.Ledger.Adopt(ctx, jo.body.ID, kn, ""); err != nil {
			level.Warn(ow.Logger).Log("msg", "job not released", "id", jo.body.ID, "err", err) //nolint:errcheck
		}
	}
}

// The reasons for which an entry leaves a job.
const (
	ended    = "ended"
	released = "released"
	replaced = "another owner"
	complete = "complete"
)

// drop forgets a job and ends its runs. What was generated is kept for a later
// job.
func (ow *Owner) drop(jo *job, why string) {
	delete(ow.jobs, jo.body.ID)
	jo.gone = true
	var partials []batch.Partial
	for _, it := range jo.items {
		jo.unused = append(jo.unused, it.rows...)
		if it.run != nil {
			it.keep(it.run.take(), jo.body.Oldest)
			it.run.cancel()
			it.run = nil
		}
		if pa, some := it.partial(jo); some && (why == ended || why == released) && !jo.whole(it.item.Group) {
			partials = append(partials, pa)
		}
	}
	level.Info(ow.Logger).Log("msg", "job left", "id", jo.body.ID, "why", why, "listed", jo.known.Head.Listed, //nolint:errcheck
		"total", jo.known.Head.Total, "partials", len(partials), "age", jo.known.Head.Age(ow.Clock.Now()))
	jo.left = partials
	ow.place()
	if why == released || why == replaced {
		return
	}
	kept := map[string]batch.Partial{}
	for at := range partials {
		partials[at].Rows = nil // they lie under the job, and these under the route
		kept[partials[at].ID] = partials[at]
	}
	ow.memory[jo.route.Name] = kept
	go func() {
		_, err := ow.Ledger.SavePartials(ow.ctx, jo.route.Name, partials)
		if err == nil {
			err = ow.Ledger.DropRows(ow.ctx, jo.unused)
		}
		if err != nil {
			level.Warn(ow.Logger).Log("msg", "partial texts not saved", "id", jo.body.ID, "err", err) //nolint:errcheck
		}
	}()
}

// expire gives up items whose time is over.
func (ow *Owner) expire(now time.Time, jo *job) {
	if jo.route.GiveUp <= 0 || jo.known.Head.Age(now) < jo.route.GiveUp+giveUpSlack {
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
	jo.unused = append(jo.unused, it.rows...)
	jo.results = append(jo.results, it.result(state, score))
	if jo.since.IsZero() {
		jo.since = ow.Clock.Now()
	}
	if !jo.listing {
		jo.listing = true
		ow.later(gather, func() {
			jo.listing = false
			if !jo.gone {
				ow.list(ow.Clock.Now(), jo)
			}
		})
	}
	now := ow.Clock.Now()
	age := jo.known.Head.Age(now)
	ow.Meters.Observe("item", jo.route.Name, age)
	if state == batch.Completed {
		level.Info(ow.Logger).Log("msg", "item completed", "job", jo.body.ID, "id", it.item.ID, "events", len(it.events), "hint", it.item.Hint, //nolint:errcheck
			"age", age, "due", jo.route.Due, "begun", it.begun, "runs", it.runs, "scored-for", now.Sub(it.wholeAt), "carried", it.carried)
	}
	if state == batch.Errored {
		level.Warn(ow.Logger).Log("msg", "item errored", "job", jo.body.ID, "id", it.item.ID, "why", why, //nolint:errcheck
			"failures", it.failures, "events", len(it.events), "age", jo.known.Head.Age(ow.Clock.Now()))
		ow.Meters.Count("items-errored", jo.route.Name, 1)
	}
}

// later posts a function to the loop after a span.
func (ow *Owner) later(span time.Duration, call func()) {
	go func() {
		select {
		case <-ow.ctx.Done():
		case <-ow.Clock.After(span):
			ow.Loop.Post(call)
		}
	}()
}

// engineViews are the engines of a service as the placing sees them.
func (ow *Owner) engineViews(now time.Time, service, model string) []place.Engine {
	var views []place.Engine
	for _, en := range ow.engines {
		if !en.emptied.IsZero() && (now.Sub(en.emptied) > emptyFor || en.version(model) >= ow.named[model]) {
			en.emptied = time.Time{}
		}
		if en.target.Service == service && !en.target.Draining {
			vi := en.view(now, model)
			vi.Loading = ow.loading(now, en.target.Addr)
			vi.Home = ow.homes[en.target.Addr]
			views = append(views, vi)
		}
	}
	return views
}
