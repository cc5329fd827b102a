package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/place"
)

// sharedReplay simulates three jobs with two open steps each on 49 engines with shared
// hosts. A third of them is always 1.3 times slower. At any moment 15% of the hosts are 2.5
// times slower, drawn anew each 600 ms.
type sharedReplay struct {
	rng *rand.Rand
	// shared has the engines marked as on shared hosts, window is the time over which the
	// long-run pace is averaged.
	shared bool
	window time.Duration
	// spell makes a fifth of the engines 2.7 times slower for 8 s from 8 s on.
	spell bool
	// noSlowMoves drops the moves off slow engines.
	noSlowMoves bool

	engines []place.Engine
	noise   []float64
	// paces is the history of each engine's pace by time step, time and events the terms of
	// its long-run pace.
	paces        [][]float64
	time, events []float64
	jobs         [][]*sharedStep
	moves        int
	durations    []time.Duration
}

type sharedStep struct {
	began time.Duration
	items []*simItem
}

const (
	sharedEngines = 49
	sharedSlots   = 12
	sharedRunTime = 24 * time.Second
	batchPace     = 48 * time.Millisecond
	// moveDelay is the time that a run loses at its start.
	moveDelay = 100 * time.Millisecond
	// momentDelay is the delay after which the momentary pace follows: three of five gaps.
	momentDelay = 150 * time.Millisecond
	itemGroups  = 27
	groupItems  = 8
	stepTime    = 4 * time.Second
)

func (sr *sharedReplay) newStep(now time.Duration) *sharedStep {
	st := &sharedStep{began: now}
	for at := range itemGroups * groupItems {
		events := min(max(15*math.Exp(0.75*sr.rng.NormFloat64()), 1), 135)
		hint := events * math.Exp(0.5*sr.rng.NormFloat64())
		st.items = append(st.items, &simItem{
			Item:            place.Item{Index: at, Group: fmt.Sprint(now, at/groupItems), RemainingEvents: max(int(hint), 1), Load: 1},
			remainingEvents: events, engine: -1,
		})
	}
	return st
}

func (sr *sharedReplay) init(seed uint64) {
	sr.rng = rand.New(rand.NewPCG(seed, 1))
	for at := range sharedEngines {
		sr.engines = append(sr.engines, place.Engine{ID: fmt.Sprint("e", at), Slots: sharedSlots, Version: 1, SharedHost: sr.shared})
	}
	sr.noise, sr.paces = make([]float64, sharedEngines), make([][]float64, sharedEngines)
	sr.time, sr.events = make([]float64, sharedEngines), make([]float64, sharedEngines)
	for range 3 {
		sr.jobs = append(sr.jobs, []*sharedStep{sr.newStep(0), sr.newStep(0)})
	}
}

// run simulates the jobs and returns the mean duration of their steps and the number of
// moves.
func (sr *sharedReplay) run(seed uint64) (time.Duration, int) {
	sr.init(seed)
	for now := time.Duration(0); now < sharedRunTime; now += timeStep {
		if now%(600*time.Millisecond) == 0 {
			for at := range sr.noise {
				sr.noise[at] = 1
				if sr.rng.Float64() < 0.15 {
					sr.noise[at] = 2.5
				}
			}
		}
		sr.advance(now)
		sr.endSteps(now)
		if now%(50*time.Millisecond) == 0 {
			sr.place(now)
		}
	}
	var sum time.Duration
	for _, du := range sr.durations {
		sum += du
	}
	return sum / time.Duration(max(len(sr.durations), 1)), sr.moves
}

func (sr *sharedReplay) paceOf(now time.Duration, at int) float64 {
	out := float64(batchPace) * sr.noise[at] * (0.5 + 0.5*float64(sr.engines[at].Running)/8)
	if at%3 == 0 {
		out *= 1.3
	}
	if sr.spell && at%5 == 0 && now >= 8*time.Second && now < 16*time.Second {
		out *= 2.7
	}
	return out
}

func (sr *sharedReplay) advance(now time.Duration) {
	for at := range sr.engines {
		en := &sr.engines[at]
		sr.paces[at] = append(sr.paces[at], sr.paceOf(now, at))
		en.PaceStale = en.Running == 0
		if en.Running == 0 { // as runs.longPace
			if floor := float64(sr.window / 4); sr.time[at] > floor {
				weight := max(math.Exp(-float64(timeStep)/float64(sr.window)), floor/sr.time[at])
				sr.time[at], sr.events[at] = sr.time[at]*weight, sr.events[at]*weight
			}
			continue
		}
		en.Pace = time.Duration(sr.paces[at][max(len(sr.paces[at])-1-int(momentDelay/timeStep), 0)])
		weight := math.Exp(-float64(timeStep) / float64(sr.window))
		added := float64(timeStep)
		sr.time[at], sr.events[at] = sr.time[at]*weight+added, sr.events[at]*weight+added/sr.paceOf(now, at)
		if sr.events[at] >= 5 {
			en.LongPace = time.Duration(sr.time[at] / sr.events[at])
		}
	}
	speeds := make([]float64, len(sr.engines))
	for at := range speeds {
		speeds[at] = float64(timeStep) / sr.paceOf(now, at)
	}
	sr.eachItem(func(_ *sharedStep, it *simItem) {
		if it.engine < 0 || it.doneAt > 0 || now < it.started+moveDelay {
			return
		}
		before := int(it.remainingEvents)
		it.remainingEvents -= speeds[it.engine]
		if done := before - int(it.remainingEvents); done > 0 {
			it.lastEvent = now
			it.RemainingEvents = max(it.RemainingEvents-done, 1)
		}
		if it.remainingEvents <= 0 {
			it.doneAt = now
			sr.leave(it)
		}
	})
}

func (sr *sharedReplay) leave(it *simItem) {
	sr.engines[it.engine].Running--
	sr.engines[it.engine].Load--
}

func (sr *sharedReplay) eachItem(visit func(st *sharedStep, it *simItem)) {
	for _, steps := range sr.jobs {
		for _, st := range steps {
			for _, it := range st.items {
				visit(st, it)
			}
		}
	}
}

// endSteps replaces the steps of which nine tenths of the groups are complete.
func (sr *sharedReplay) endSteps(now time.Duration) {
	for _, steps := range sr.jobs {
		for at, st := range steps {
			complete := 0
			for group := range slices.Chunk(st.items, groupItems) {
				if !slices.ContainsFunc(group, func(it *simItem) bool { return it.doneAt == 0 }) {
					complete++
				}
			}
			if complete < itemGroups*9/10 {
				continue
			}
			for _, it := range st.items {
				if it.engine >= 0 && it.doneAt == 0 {
					sr.leave(it)
				}
			}
			sr.durations = append(sr.durations, now-st.began)
			steps[at] = sr.newStep(now)
		}
	}
}

func (sr *sharedReplay) place(now time.Duration) {
	snapshot := place.NewSnapshot(slices.Clone(sr.engines))
	var (
		queue []place.Item
		items []*simItem
	)
	sr.eachItem(func(st *sharedStep, it *simItem) {
		if it.doneAt > 0 {
			return
		}
		wi := it.Item
		wi.Index = len(items)
		if it.engine >= 0 {
			wi.Avoid = sr.engines[it.engine].ID
			wi.MoveReason = snapshot.MoveReason(place.Run{
				Engine: wi.Avoid, SinceLastEvent: now - max(it.lastEvent, it.started), Started: it.lastEvent > it.started,
				RemainingEvents: it.RemainingEvents, Slack: max(stepTime-700*time.Millisecond-(now-st.began), 0),
			})
			if wi.MoveReason == "" || (sr.noSlowMoves && wi.MoveReason == place.Slow) {
				return
			}
		}
		queue, items = append(queue, wi), append(items, it)
	})
	place.SortItems(queue)
	if at, last, found := snapshot.Probe(queue); found {
		sr.assign(now, items[queue[last].Index], at)
		snapshot.Assign(at, queue[last])
		queue = queue[:last]
	}
	for _, wi := range queue {
		if at := snapshot.Choose(wi); at >= 0 {
			snapshot.Assign(at, wi)
			sr.assign(now, items[wi.Index], at)
		} else if wi.MoveReason == "" {
			break // no slot is free
		}
	}
}

func (sr *sharedReplay) assign(now time.Duration, it *simItem, at int) {
	if it.engine >= 0 {
		sr.moves++
		sr.leave(it)
	}
	sr.engines[at].Running++
	sr.engines[at].Load++
	it.engine, it.started = at, now
}

func meanShared(re sharedReplay) (step time.Duration, moves int) {
	const seeds = 6
	var (
		durations [seeds]time.Duration
		counts    [seeds]int
		group     sync.WaitGroup
	)
	for seed := range seeds {
		group.Go(func() {
			sr := re
			durations[seed], counts[seed] = sr.run(uint64(seed))
		})
	}
	group.Wait()
	for seed := range seeds {
		step, moves = step+durations[seed]/seeds, moves+counts[seed]
	}
	return step, moves / seeds
}

// Guards against runs that move whenever their host is slow for some hundred ms, long items
// on engines that are quick only at the moment, and runs that stay on an engine that is slow
// for seconds.
func TestReplaySharedHosts(t *testing.T) {
	for _, spell := range []bool{false, true} {
		with, moves := meanShared(sharedReplay{shared: true, window: place.SharedPaceWindow, spell: spell})
		without, movesBefore := meanShared(sharedReplay{window: place.SharedPaceWindow, spell: spell})
		t.Logf("spell %v: with the rule %v and %d moves, without %v and %d", spell, with, moves, without, movesBefore)
		require.Less(t, with, without)
		require.Less(t, moves, movesBefore/5)
		if !spell {
			require.Less(t, with, without*985/1000, "the choice for long items by the momentary pace takes longer")
			continue
		}
		staying, _ := meanShared(sharedReplay{shared: true, window: place.SharedPaceWindow, spell: true, noSlowMoves: true})
		t.Logf("without moves off slow engines %v", staying)
		require.Less(t, with, staying)
	}
}
