// Package sample keeps the samples of a trainer's step: which slots are still to
// be generated, which are running and which have been delivered.
//
// A step has a single consumer, its trainer, which decides what counts as
// delivered. A step follows these rules.
//
//  1. A take carries the token of the last answer that the trainer received, and
//     the slots that it has. Both confirm delivery; a confirmed slot is never
//     delivered again.
//  2. At most one answer is unconfirmed. A take that repeats the token of the take
//     before it gets the same answer again, since the trainer did not receive that
//     answer. So two concurrent takes get the same samples.
//  3. A take has an unknown token if the previous owner of the step failed, or if
//     answers arrived at the trainer out of order. It must list all slots that the
//     trainer has, and these are confirmed; without the list it is refused.
//  4. A sample is delivered only if the version stated in the take is newer than
//     the oldest version that produced any part of the sample by no more than the
//     staleness bound. Otherwise it is dropped and counted, and its slot is
//     generated again. This also holds for an answer that is sent again.
//  5. A sample whose versions are in doubt is dropped the same way.
//  6. A slot may have two concurrent runs if the first has run longer than others
//     did, produces tokens much more slowly, and the budget of extra runs allows
//     it. A long sample at normal speed does not qualify: a second run would only
//     produce it twice. The first sample to finish is used. Both runs have the
//     same seed, so short samples are not preferred.
//  7. Each run of a slot has its own number, which is part of its key, so a new
//     owner finds the runs of the previous one at the guards.
package sample

import (
	"slices"
	"time"
)

type slotState struct {
	running   int
	runs      int
	started   time.Time
	tokens    int
	sample    *Sample
	confirmed bool
	notBefore time.Time
}

// Step is the state of one step at the entry that owns it. It is not safe for
// concurrent use.
type Step struct {
	Spec Spec
	// ExtraShare limits the extra runs to this fraction of the slots (rule 6).
	ExtraShare float64
	// ExtraAfter is the multiple of the typical duration that a run must exceed
	// before an extra run starts.
	ExtraAfter float64
	// Window limits the runs in progress; zero means no limit.
	Window int

	slots     []slotState
	counts    Counts
	version   uint64
	running   int
	confirmed int
	durations []time.Duration
	rates     []float64
	token     string
	prevToken string
	pending   []int
}

// NewStep returns a step with no slot started.
func NewStep(sp Spec) *Step {
	return &Step{Spec: sp, slots: make([]slotState, sp.Slots()), version: sp.Version}
}

func (st *Step) slotIndex(sl Slot) int { return sl.Group*st.Spec.GroupSize + sl.Index }

func (st *Step) slotAt(at int) Slot {
	return Slot{Group: at / st.Spec.GroupSize, Index: at % st.Spec.GroupSize}
}

func (st *Step) valid(sl Slot) bool {
	return sl.Group >= 0 && sl.Index >= 0 && sl.Index < st.Spec.GroupSize && sl.Group < len(st.Spec.Prompts)
}

// Counts returns the counts of the step so far.
func (st *Step) Counts() Counts { return st.counts }

// Running returns the number of runs in progress.
func (st *Step) Running() int { return st.running }

// Complete reports whether the trainer has confirmed every slot.
func (st *Step) Complete() bool { return st.confirmed == len(st.slots) }

// Ready reports whether there are samples that the trainer has not confirmed.
func (st *Step) Ready() bool {
	return slices.ContainsFunc(st.slots, func(ss slotState) bool { return ss.sample != nil && !ss.confirmed })
}

// minVersion returns the oldest version that a new run may start with.
func (st *Step) minVersion() uint64 {
	if st.version < st.Spec.Staleness {
		return 0
	}
	return st.version - st.Spec.Staleness
}

// NextJobs returns the runs to start now: first the slots without a run or a
// sample, in order, then extra runs of stragglers. Every returned job counts as
// started.
func (st *Step) NextJobs(now time.Time) []Job {
	var jobs []Job
	for at := range st.slots {
		if st.Window > 0 && st.running >= st.Window {
			return jobs
		}
		ss := &st.slots[at]
		if ss.sample == nil && !ss.confirmed && ss.running == 0 && !now.Before(ss.notBefore) {
			jobs = append(jobs, st.start(now, at, false))
		}
	}
	return append(jobs, st.extraJobs(now)...)
}

func (st *Step) start(now time.Time, at int, extra bool) Job {
	ss := &st.slots[at]
	jo := Job{Slot: st.slotAt(at), Run: ss.runs, Extra: extra, MinVersion: st.minVersion()}
	ss.runs++
	ss.running++
	if !extra {
		ss.started, ss.tokens = now, 0
	}
	st.running++
	return jo
}

// extraJobs starts extra runs of the stragglers (rule 6). NextJobs calls it
// after it has started every other slot that it can, so extra runs do not delay first
// runs.
func (st *Step) extraJobs(now time.Time) []Job {
	typical, rate := st.typicalRun()
	if typical == 0 || st.ExtraShare <= 0 {
		return nil
	}
	budget := int(st.ExtraShare*float64(len(st.slots))) - st.counts.Extra
	threshold := time.Duration(st.ExtraAfter * float64(typical))
	var jobs []Job
	for at := range st.slots {
		ss := &st.slots[at]
		took := now.Sub(ss.started)
		overdue := ss.running == 1 && ss.sample == nil && !ss.confirmed && took > threshold
		slow := float64(ss.tokens) < slowRateShare*rate*took.Seconds()
		if !overdue || !slow || len(jobs) >= budget || (st.Window > 0 && st.running >= st.Window) {
			continue
		}
		jobs = append(jobs, st.start(now, at, true))
	}
	st.counts.Extra += len(jobs)
	return jobs
}

// minDurations is the number of finished runs needed to compute a typical
// duration.
const minDurations = 8

// slowRateShare is the fraction of the typical token rate below which a run is
// slow.
const slowRateShare = 0.6

// typicalRun returns the 90th percentile of the durations and the median of the
// token rates, in tokens per second, of the runs so far. Both are zero until
// enough runs have finished.
func (st *Step) typicalRun() (took time.Duration, rate float64) {
	if len(st.durations) < minDurations {
		return 0, 0
	}
	durations, rates := slices.Clone(st.durations), slices.Clone(st.rates)
	slices.Sort(durations)
	slices.Sort(rates)
	return durations[len(durations)*9/10], rates[len(rates)/2]
}

// Progress records how many tokens a run has produced so far.
func (st *Step) Progress(jo Job, tokens int) {
	ss := &st.slots[st.slotIndex(jo.Slot)]
	ss.tokens = max(ss.tokens, tokens)
}

// Finished records the sample of a run. certain is false if the versions that
// produced the sample are in doubt.
func (st *Step) Finished(now time.Time, jo Job, sa Sample, certain bool) {
	at := st.slotIndex(jo.Slot)
	ss := &st.slots[at]
	st.runEnded(ss)
	st.counts.CreatedTokens += sa.Tokens()
	if took := now.Sub(ss.started); took > 0 && !jo.Extra {
		st.durations = append(st.durations, took)
		st.rates = append(st.rates, float64(sa.Tokens())/took.Seconds())
	}
	switch {
	case !certain || sa.OldestVersion() == 0: // rule 5
		st.counts.InDoubt++
		st.counts.WastedTokens += sa.Tokens()
	case ss.confirmed || ss.sample != nil: // rule 6
		st.counts.WastedTokens += sa.Tokens()
	default:
		sa.Slot, sa.Run = jo.Slot, jo.Run
		ss.sample = &sa
	}
}

// Failed records that a run ended without a sample. The slot may be started again
// after the wait.
func (st *Step) Failed(now time.Time, jo Job, wait time.Duration) {
	ss := &st.slots[st.slotIndex(jo.Slot)]
	st.runEnded(ss)
	ss.notBefore = now.Add(wait)
	if jo.Extra {
		st.counts.Extra-- // a failed run does not use up the budget
	}
}

func (st *Step) runEnded(ss *slotState) {
	ss.running--
	st.running--
}
