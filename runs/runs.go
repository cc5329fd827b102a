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
	// longest maps a route to the events of the longest text that was seen whole.
	longest map[string]int
	// memory keeps the partial texts of ended jobs by route, newest job last.
	memory map[string]map[string]batch.Partial
}

const (
	// tick is the pace of the checks that no event triggers.
	tick = 50 * time.Millisecond
	// gather is the pause between two writes of results: what comes meanwhile is
	// listed together, and a single result at once.
	gather = 40 * time.Millisecond
	// scoreUsual is how long a scoring call takes: 30 to 200 ms by the sheets.
	scoreUsual = 200 * time.Millisecond
	// storePause is the pause before a write is tried again.
	storePause = 100 * time.Millisecond
	// refusedRest is how long an engine that refused an item is left out, doubled
	// for each refusal in a row up to refusedRestMost; a load takes 0.9 s.
	refusedRest     = 60 * time.Millisecond
	refusedRestMost = 250 * time.Millisecond
	// loadMost is how long an engine is left out for a load whose end is not told.
	loadMost = 2 * time.Second
	// emptyFor is how long an engine stays empty for a load that does not come,
	// passFor how long it is passed over then: a cut lasts several seconds.
	emptyFor = 3 * time.Second
	passFor  = 6 * time.Second
	// cutRest is how long an engine that cut a run is left out, doubled for each
	// cut in a row up to cutRestMost.
	cutRest     = 150 * time.Millisecond
	cutRestMost = 3 * time.Second
	// paceMemory is how long the pace of an engine without runs is trusted.
	paceMemory = 3 * time.Second
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
	ow.longest = map[string]int{}
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
	ow.place()
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
