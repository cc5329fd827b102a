package sample_test

import (
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/route"
	"bilberryshelf/sample"
)

// openSteps creates the steps that may start: step k is consumed at version k.
func (re *replay) openSteps() {
	for k := re.wanted; k <= replaySteps; k++ {
		if re.steps[k] != nil {
			continue
		}
		if uint64(k) > re.version+re.ahead {
			return
		}
		sp := sample.Spec{
			Trainer: "t", Step: strconv.Itoa(k), Service: "lm", GroupSize: re.groupSize, MaxTokens: 1 << 20,
			Staleness: re.staleness, Version: uint64(k),
		}
		for range re.slots / re.groupSize {
			sp.Prompts = append(sp.Prompts, "p")
		}
		st := sample.NewStep(sp)
		if re.extra {
			st.ExtraShare, st.ExtraAfter = 0.05, 0.25
		}
		re.steps[k] = st
	}
}

// start places what the steps want while there is room, the oldest step first.
func (re *replay) start() {
	for k := re.wanted; k <= replaySteps; k++ {
		st := re.steps[k]
		if st == nil {
			return
		}
		free := 0
		for _, wk := range re.workers {
			if !wk.down && wk.version+re.staleness >= uint64(k) {
				free += batchSize - len(wk.gens)
			}
		}
		if free <= 0 {
			return
		}
		st.Window = st.Running() + free
		for _, jo := range st.NextJobs(re.clock()) {
			re.place(k, st, jo)
		}
	}
}

func (re *replay) place(k int, st *sample.Step, jo sample.Job) {
	at, found := re.choose(jo)
	if !found {
		st.Failed(re.clock(), jo, 100*time.Millisecond)
		return
	}
	wk := re.workers[at]
	wk.gens = append(wk.gens, &gen{step: k, job: jo, left: re.length(k, jo.Slot), began: re.now})
}

func (re *replay) choose(jo sample.Job) (int, bool) {
	if !re.chosen {
		for range re.workers {
			re.turn++
			at := re.turn % len(re.workers)
			if wk := re.workers[at]; !wk.down && len(wk.gens) < batchSize && wk.version >= jo.MinVersion {
				return at, true
			}
		}
		return 0, false
	}
	var vi route.View
	for at, wk := range re.workers {
		state := core.Serving
		if wk.down {
			state = core.Down
		}
		mine := &atomic.Int64{}
		mine.Store(int64(len(wk.gens)))
		vi.Targets = append(vi.Targets, route.Target{
			Name: strconv.Itoa(at), Service: "lm", Region: "r", State: state, Capacity: batchSize, InFlight: mine,
			Version: wk.version, TrafficShare: wk.health.TrafficShare(re.clock(), re.typicalSpeed()),
		})
	}
	ta, er := route.Choose(vi, route.Query{Service: "lm", Region: "r", MinVersion: jo.MinVersion, RequireHealthy: true, IntN: re.random.IntN})
	if er != nil {
		return 0, false
	}
	at, _ := strconv.Atoi(ta.Name)
	return at, true
}

// typicalSpeed is the median over the workers.
func (re *replay) typicalSpeed() float64 {
	var speeds []float64
	for _, wk := range re.workers {
		if sp := wk.health.Speed(); sp > 0 {
			speeds = append(speeds, sp)
		}
	}
	if len(speeds) < 3 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// forward goes to the next thing that happens.
func (re *replay) forward() {
	step := 500 * time.Millisecond // the pace at which steps are looked through
	for _, wk := range re.workers {
		if next := wk.next(); next >= 0 && !wk.down {
			step = min(step, next)
		}
	}
	for _, ev := range re.events {
		if ev.at >= re.now {
			step = min(step, max(ev.at-re.now, 0))
		}
	}
	for _, wk := range re.workers {
		if !wk.down {
			wk.advance(step)
		}
	}
	re.now += step
	re.tellProgress()
	re.finishGens()
	due := re.events
	re.events = nil
	for _, ev := range due {
		if ev.at <= re.now {
			ev.do()
		} else {
			re.events = append(re.events, ev)
		}
	}
	if step == 0 {
		re.now += time.Microsecond
	}
}

// tellProgress reports the tokens of all that runs, as entries do.
func (re *replay) tellProgress() {
	for _, wk := range re.workers {
		for _, ge := range wk.gens {
			re.steps[ge.step].Progress(ge.job, int(ge.produced))
			if took := re.now - ge.began; ge.produced > 64 && took > 0 {
				wk.health.RecordSpeed(ge.produced / took.Seconds())
			}
		}
	}
}

func (re *replay) finishGens() {
	for _, wk := range re.workers {
		var kept []*gen
		for _, ge := range wk.gens {
			if ge.left > 1e-9 {
				kept = append(kept, ge)
				continue
			}
			re.steps[ge.step].Finished(re.clock(), ge.job, sample.Sample{Segments: ge.segments}, true)
		}
		wk.gens = kept
	}
}

func (re *replay) crash(at int) {
	wk := re.workers[at]
	if wk.down {
		return
	}
	wk.down = true
	for _, ge := range wk.gens {
		re.me.wasted += int(ge.produced)
		re.steps[ge.step].Failed(re.clock(), ge.job, 0)
	}
	wk.gens = nil
	re.after(crashTakes, func() { wk.down, wk.version = false, re.version })
}

// trainIfReady hands over what is fresh, and trains once the step is whole.
func (re *replay) trainIfReady() {
	if re.busy {
		return
	}
	st := re.steps[re.wanted]
	if st == nil {
		return
	}
	if st.Ready() {
		re.take(st)
	}
	if re.have[re.wanted] < re.slots {
		return
	}
	re.me.idle += re.now - re.waiting
	re.busy = true
	re.after(re.train, re.trained)
}

func (re *replay) take(st *sample.Step) {
	var have []sample.Slot
	gi, _, er := st.Take(sample.Take{Token: "", Have: have, Version: re.version})
	if er != nil {
		gi, _, _ = st.Take(sample.Take{Token: "other", Have: []sample.Slot{}, Version: re.version})
	}
	for _, sa := range gi.Samples {
		behind := re.version - min(sa.OldestVersion(), re.version)
		re.me.staleness = append(re.me.staleness, behind)
		if behind > re.staleness {
			re.me.overBound++
		}
		have = append(have, sa.Slot)
	}
	_, _, _ = st.Take(sample.Take{Token: gi.Token, Have: have, Version: re.version})
	re.have[re.wanted] += len(have)
}

// trained publishes the next version, which every worker swaps to in its turn.
func (re *replay) trained() {
	counts := re.steps[re.wanted].Counts()
	re.me.wasted += counts.WastedTokens
	re.me.tooOld += counts.TooOld
	re.busy, re.waiting = false, re.now
	re.wanted++
	re.version++
	version := re.version
	for at, wk := range re.workers {
		wait := time.Duration(at)*swapSpacing + swapTakes
		if re.fails[fmt.Sprintf("%d/%d", at, version)] {
			wait += swapTakes * 3
		}
		re.after(wait, func() { wk.version = max(wk.version, version) })
	}
	if re.ahead == 0 { // synchronous rounds wait for the last worker
		re.after(time.Duration(len(re.workers))*swapSpacing+swapTakes*4, re.openSteps)
		return
	}
	re.openSteps()
}
