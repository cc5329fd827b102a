// Package sample keeps the samples of a trainer's step: which slots are to be
// generated, which are running, which are handed over.
//
// The trainer is the one consumer, so it decides what it has. A step follows
// these rules.
//
//  1. A take names the token of the last answer that the trainer received, and
//     the slots that it has. Both confirm: a confirmed slot is never handed
//     over again.
//  2. At most one answer is unconfirmed. A take with the token before it gets
//     that same answer again, since it was lost; so two takes at once get the
//     same samples.
//  3. A take with an unknown token comes from a trainer whose former owner is
//     gone, or whose answers crossed. It must name all slots that it has, and
//     those count; without them it is refused.
//  4. A sample is handed over only if the version stated in the take is no
//     more than the staleness bound above the oldest version that produced any
//     part of it. Otherwise it is dropped, counted, and its slot generated
//     anew. This holds for an answer that is given again, too.
//  5. A sample whose versions are in doubt is dropped the same way.
//  6. A slot may run twice at once: when it has run longer than others did, its
//     tokens come much slower than theirs, and the budget of extra runs allows.
//     A long answer at the ordinary speed would only be made twice. The first
//     sample counts; both runs have the same seed, so that no answer is
//     preferred for being short.
//  7. Each run of a slot has its own number, which is part of its key, so a
//     new owner finds the runs of the former one at the guards.
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

// Step is the state of one step at its owner. It is not safe for concurrent
// use.
type Step struct {
	Spec Spec
	// ExtraShare bounds the extra runs as a share of the slots (rule 6).
	ExtraShare float64
	// ExtraAfter is how many times the typical duration a run must last before
	// an extra one starts.
	ExtraAfter float64
	// Window bounds the runs in progress; zero means no bound.
	Window int

	slots     []slotState
	counts    Counts
	version   uint64
	running   int
	next      int
	confirmed int
	durations []time.Duration
	rates     []float64
	token     string
	prevToken string
	pending   []int
}

// NewStep starts a step.
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

// Counts tells what the step has cost.
func (st *Step) Counts() Counts { return st.counts }

// Running is the number of runs in progress.
func (st *Step) Running() int { return st.running }

// Complete reports whether the trainer has confirmed every slot.
func (st *Step) Complete() bool { return st.confirmed == len(st.slots) }

// Ready reports whether a take would get samples.
func (st *Step) Ready() bool {
	return slices.ContainsFunc(st.slots, func(ss slotState) bool { return ss.sample != nil && !ss.confirmed })
}

// minVersion is the oldest version that a new run may start with.
func (st *Step) minVersion() uint64 {
	if st.version < st.Spec.Staleness {
		return 0
	}
	return st.version - st.Spec.Staleness
}

// NextJobs lists the runs to start now: the slots without one, in order, then
// extra runs of the stragglers. Every job returned counts as started.
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

// extraJobs finds the stragglers (rule 6). Only a step whose slots have all been
// started has places to spare for them.
func (st *Step) extraJobs(now time.Time) []Job {
	typical, rate := st.typicalRun()
	if typical == 0 || st.ExtraShare <= 0 {
		return nil
	}
	budget := int(st.ExtraShare*float64(len(st.slots))) - st.counts.Extra
	patience := time.Duration(st.ExtraAfter * float64(typical))
	var jobs []Job
	for at := range st.slots {
		ss := &st.slots[at]
		took := now.Sub(ss.started)
		late := ss.running == 1 && ss.sample == nil && !ss.confirmed && took > patience
		slow := float64(ss.tokens) < slowRateShare*rate*took.Seconds()
		if !late || !slow || len(jobs) >= budget {
			continue
		}
		jobs = append(jobs, st.start(now, at, true))
	}
	st.counts.Extra += len(jobs)
	return jobs
}

// minDurations is how many runs must have finished before a typical
// duration is known.
const minDurations = 8

// slowRateShare is the share of the typical speed below which a run is slow.
const slowRateShare = 0.6

// typicalRun is the 90th percentile of the durations so far, and the median of
// the speeds in tokens a second.
func (st *Step) typicalRun() (took time.Duration, rate float64) {
	if len(st.durations) < minDurations {
		return 0, 0
	}
	durations, rates := slices.Clone(st.durations), slices.Clone(st.rates)
	slices.Sort(durations)
	slices.Sort(rates)
	return durations[len(durations)*9/10], rates[len(rates)/2]
}

// Progress tells how many tokens a run has produced so far.
func (st *Step) Progress(jo Job, tokens int) {
	ss := &st.slots[st.slotIndex(jo.Slot)]
	ss.tokens = max(ss.tokens, tokens)
}

// Finished takes in the sample of a run. Certain says that its versions are
// known for sure.
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

// Failed takes in a run without a sample; the slot is wanted again after the
// wait.
func (st *Step) Failed(now time.Time, jo Job, wait time.Duration) {
	ss := &st.slots[st.slotIndex(jo.Slot)]
	st.runEnded(ss)
	ss.notBefore = now.Add(wait)
	if jo.Extra {
		st.counts.Extra-- // it cost nothing that counts
	}
}

func (st *Step) runEnded(ss *slotState) {
	ss.running--
	st.running--
}
