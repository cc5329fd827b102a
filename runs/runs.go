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

	"bilberryshelf/batch"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/meter"
)

// Event is one event of a text.
type Event struct {
	Data string
	// Version is the version of the weights that generated it.
	Version uint64
}

// Request is a run of an item.
type Request struct {
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
	// Misdirected means that another target has the address.
	Misdirected Ending = "moved"
	// Failed means that the engine ran the item and answered with an error.
	Failed Ending = "failed"
	// Unservable means that no engine can run the item.
	Unservable Ending = "never"
	// Cut means that the text ended early or that no answer came.
	Cut Ending = "cut"
)

// Outcome is what came of a run.
type Outcome struct {
	Ending Ending
	// Detail says why, for the log.
	Detail string
}

// Engine runs items. Its event function is called in the order of the events,
// and never after Run has returned.
type Engine interface {
	Run(ctx context.Context, ta fleet.Target, se Request, event func(Event)) Outcome
}

// Scorer has a text scored. Failures counts the answers in which the scoring
// call itself failed; an error with none of them may be tried again.
type Scorer interface {
	Score(ctx context.Context, sc batch.Scorer) (score string, failures int, err error)
}

// Owner runs the jobs that this entry owns. Set the exported fields, then call
// Init and Run.
type Owner struct {
	Ledger batch.Ledger
	Index  *batch.Index
	Engine Engine
	Scorer Scorer
	Clock  core.Clock
	Logger log.Logger
	Meters *meter.Set
	Loop   *core.Loop

	ctx         context.Context
	jobs        map[string]*job
	engines     map[string]*engine
	placeQueued bool
	// announced maps a model to the version that its trainer named.
	announced map[string]uint64
	// servedModels maps an engine's address to the model that it serves, loads a slot to
	// the address of the engine that loads under it.
	servedModels map[string]string
	loads        map[string]load
	// longestText maps a route to the events of the longest text that was seen whole.
	longestText map[string]int
	// routePartials keeps the partial texts of ended jobs by route, newest job last.
	routePartials map[string]map[string]batch.Partial
}

const (
	// checkInterval is the pace of the checks that no event triggers.
	checkInterval = 50 * time.Millisecond
	// writeInterval is the pause between two writes of results: what comes meanwhile is
	// listed together, and a single result at once.
	writeInterval = 40 * time.Millisecond
	// usualScoreTime is how long a scoring call takes: 30 to 200 ms by the sheets.
	usualScoreTime = 200 * time.Millisecond
	// storeRetryDelay is the pause before a write is tried again.
	storeRetryDelay = 100 * time.Millisecond
	// refusedBackoff is how long an engine that refused an item is left out, doubled
	// for each refusal in a row up to refusedRestMost; a load takes 0.9 s.
	refusedBackoff    = 60 * time.Millisecond
	maxRefusedBackoff = 250 * time.Millisecond
	// maxLoadTime is how long an engine is left out for a load whose end is not told.
	maxLoadTime = 2 * time.Second
	// emptyTimeout is how long an engine stays empty for a load that does not come,
	// passFor how long it is passed over then: a cut lasts several seconds.
	emptyTimeout = 3 * time.Second
	skipTime     = 6 * time.Second
	// cutBackoff is how long an engine that cut a run is left out, doubled for each
	// cut in a row up to cutRestMost.
	cutBackoff    = 150 * time.Millisecond
	maxCutBackoff = 3 * time.Second
	// maxPaceAge is how long the pace of an engine without runs is trusted.
	maxPaceAge = 3 * time.Second
	// saveInterval is the pause between saves of partial texts, saveLeast the events
	// since the last one that make a save worth its bytes: half a second of work.
	saveInterval  = time.Second
	minSaveEvents = 12
	// partialsTimeout bounds the reads of texts of an earlier job or owner; by then an
	// item has made so much itself.
	partialsTimeout = time.Second
)

// Init makes the owner ready; runs end with the context. What is told before
// Run is kept.
func (ow *Owner) Init(ctx context.Context) {
	ow.ctx = ctx
	ow.jobs, ow.engines = map[string]*job{}, map[string]*engine{}
	ow.routePartials, ow.announced = map[string]map[string]batch.Partial{}, map[string]uint64{}
	ow.servedModels, ow.loads = map[string]string{}, map[string]load{}
	ow.longestText = map[string]int{}
}

// Run does the checks that no event triggers until the context ends.
func (ow *Owner) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ow.Clock.After(checkInterval):
			ow.Loop.Do(ow.check)
		}
	}
}

// check does what no event triggers.
func (ow *Owner) check() {
	now := ow.Clock.Now()
	ow.updatePaces(now)
	for _, jo := range ow.jobs {
		ow.applyHead(jo)
	}
	for _, jo := range ow.jobs {
		ow.expire(now, jo)
		ow.writeResults(now, jo)
		ow.savePartials(now, jo)
	}
	for _, jo := range ow.jobs {
		ow.emptyEngines(now, jo)
	}
	ow.place()
}

// postAfter posts a function to the loop after a span.
func (ow *Owner) postAfter(span time.Duration, call func()) {
	go func() {
		select {
		case <-ow.ctx.Done():
		case <-ow.Clock.After(span):
			ow.Loop.Post(call)
		}
	}()
}
