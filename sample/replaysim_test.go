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

// openSteps creates the steps that may start. Step k is consumed at version k.
func (re *replay) openSteps() {
	for k := re.neededStep; k <= replaySteps; k++ {
		if re.steps[k] != nil {
			continue
		}
		if uint64(k) > re.version+re.maxAhead {
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

// start places the jobs of the steps on free workers, the oldest step first.
func (re *replay) start() {
	for k := re.neededStep; k <= replaySteps; k++ {
		st := re.steps[k]
		if st == nil {
			return
		}
		free := 0
		for _, wk := range re.workers {
			if !wk.down && wk.version+re.staleness >= uint64(k) {
				free += batchSize - len(wk.generations)
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
	wk.generations = append(wk.generations, &generation{step: k, job: jo, left: re.length(k, jo.Slot), began: re.now})
}

func (re *replay) choose(jo sample.Job) (int, bool) {
	if !re.healthAware {
		for range re.workers {
			re.nextWorker++
			at := re.nextWorker % len(re.workers)
			if wk := re.workers[at]; !wk.down && len(wk.generations) < batchSize && wk.version >= jo.MinVersion {
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
		inFlight := &atomic.Int64{}
		inFlight.Store(int64(len(wk.generations)))
		vi.Targets = append(vi.Targets, route.Target{
			Name: strconv.Itoa(at), Service: "lm", Region: "r", State: state, Capacity: batchSize, InFlight: inFlight,
			Version: wk.version, TrafficShare: wk.health.TrafficShare(re.clock(), re.medianSpeed()),
		})
	}
	ta, er := route.Choose(vi, route.Query{Service: "lm", Region: "r", MinVersion: jo.MinVersion, RequireHealthy: true, IntN: re.random.IntN})
	if er != nil {
		return 0, false
	}
	at, _ := strconv.Atoi(ta.Name)
	return at, true
}

// medianSpeed returns the median token rate of the workers, or zero if fewer than
// three have one.
func (re *replay) medianSpeed() float64 {
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

// advanceTime moves the clock to the next event, or by the polling interval if
// that is earlier.
func (re *replay) advanceTime() {
	step := 500 * time.Millisecond // the interval at which steps are polled
	for _, wk := range re.workers {
		if nextFinish := wk.nextFinish(); nextFinish >= 0 && !wk.down {
			step = min(step, nextFinish)
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
	re.reportProgress()
	re.finishGenerations()
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

// reportProgress reports the tokens of all sequences in progress, as entries do.
func (re *replay) reportProgress() {
	for _, wk := range re.workers {
		for _, ge := range wk.generations {
			re.steps[ge.step].Progress(ge.job, int(ge.produced))
			if took := re.now - ge.began; ge.produced > 64 && took > 0 {
				wk.health.RecordSpeed(ge.produced / took.Seconds())
			}
		}
	}
}

func (re *replay) finishGenerations() {
	for _, wk := range re.workers {
		var kept []*generation
		for _, ge := range wk.generations {
			if ge.left > 1e-9 {
				kept = append(kept, ge)
				continue
			}
			re.steps[ge.step].Finished(re.clock(), ge.job, sample.Sample{Segments: ge.segments}, true)
		}
		wk.generations = kept
	}
}

func (re *replay) crash(at int) {
	wk := re.workers[at]
	if wk.down {
		return
	}
	wk.down = true
	for _, ge := range wk.generations {
		re.me.wasted += int(ge.produced)
		re.steps[ge.step].Failed(re.clock(), ge.job, 0)
	}
	wk.generations = nil
	re.after(restartTime, func() { wk.down, wk.version = false, re.version })
}

// trainIfReady delivers the samples within the staleness bound, and starts
// training once the step is complete.
func (re *replay) trainIfReady() {
	if re.training {
		return
	}
	st := re.steps[re.neededStep]
	if st == nil {
		return
	}
	if st.Ready() {
		re.take(st)
	}
	if re.received[re.neededStep] < re.slots {
		return
	}
	re.me.idle += re.now - re.idleSince
	re.training = true
	re.after(re.train, re.finishTraining)
}

func (re *replay) take(st *sample.Step) {
	var received []sample.Slot
	tr, _, er := st.Take(sample.Take{Token: "", Have: received, Version: re.version})
	if er != nil {
		tr, _, _ = st.Take(sample.Take{Token: "other", Have: []sample.Slot{}, Version: re.version})
	}
	for _, sa := range tr.Samples {
		behind := re.version - min(sa.OldestVersion(), re.version)
		re.me.staleness = append(re.me.staleness, behind)
		if behind > re.staleness {
			re.me.overBound++
		}
		received = append(received, sa.Slot)
	}
	_, _, _ = st.Take(sample.Take{Token: tr.Token, Have: received, Version: re.version})
	re.received[re.neededStep] += len(received)
}

// finishTraining publishes the next version. The workers swap to it one after the
// other.
func (re *replay) finishTraining() {
	counts := re.steps[re.neededStep].Counts()
	re.me.wasted += counts.WastedTokens
	re.me.tooOld += counts.TooOld
	re.training, re.idleSince = false, re.now
	re.neededStep++
	re.version++
	version := re.version
	for at, wk := range re.workers {
		wait := time.Duration(at)*swapSpacing + swapTime
		if re.failedSwaps[fmt.Sprintf("%d/%d", at, version)] {
			wait += swapTime * 3
		}
		re.after(wait, func() { wk.version = max(wk.version, version) })
	}
	if re.maxAhead == 0 { // synchronous rounds wait for the last worker
		re.after(time.Duration(len(re.workers))*swapSpacing+swapTime*4, re.openSteps)
		return
	}
	re.openSteps()
}
