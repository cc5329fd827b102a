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
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
)

// Slot is one place in a step.
type Slot struct {
	Group int `json:"group"`
	Index int `json:"index"`
}

// Segment is a run of tokens produced by one version of the weights.
type Segment struct {
	Version uint64 `json:"version"`
	Tokens  int    `json:"tokens"`
}

// Sample is a finished generation.
type Sample struct {
	Slot     Slot      `json:"slot"`
	Text     string    `json:"text"`
	Segments []Segment `json:"segments"`
	// Run is the number of the run that produced it.
	Run int `json:"run"`
}

// Oldest is the oldest version that produced any part; zero if none is known.
func (sa Sample) Oldest() uint64 {
	var oldest uint64
	for at, se := range sa.Segments {
		if at == 0 || se.Version < oldest {
			oldest = se.Version
		}
	}
	return oldest
}

// Tokens is the length in tokens.
func (sa Sample) Tokens() int {
	total := 0
	for _, se := range sa.Segments {
		total += se.Tokens
	}
	return total
}

// Spec is what a trainer asks for.
type Spec struct {
	Trainer string `json:"trainer"`
	Step    string `json:"step"`
	Service string `json:"service"`
	// Prompts has one entry for each group.
	Prompts   []string `json:"prompts"`
	GroupSize int      `json:"group-size"`
	MaxTokens int      `json:"max-tokens"`
	// Staleness is how many versions a sample may be behind.
	Staleness uint64    `json:"staleness"`
	Version   uint64    `json:"version"`
	Deadline  time.Time `json:"deadline"`
}

// MostSlots bounds the slots of a step.
const MostSlots = 1 << 16

// Check reports what is wrong with a spec.
func (sp Spec) Check() *core.Error {
	switch {
	case sp.Step == "" || sp.Service == "":
		return core.Refuse(core.CodeBadRequest, "a step needs step and service")
	case len(sp.Prompts) == 0 || sp.GroupSize < 1:
		return core.Refuse(core.CodeBadRequest, "a step needs prompts and a group-size of 1 or more")
	case len(sp.Prompts)*sp.GroupSize > MostSlots:
		return core.Refuse(core.CodeBadRequest, "a step has at most %d slots", MostSlots)
	case sp.MaxTokens < 1:
		return core.Refuse(core.CodeBadRequest, "max-tokens must be 1 or more")
	}
	return nil
}

// Slots is the number of slots.
func (sp Spec) Slots() int { return len(sp.Prompts) * sp.GroupSize }

// Same reports whether two specs ask for the same samples.
func (sp Spec) Same(other Spec) bool {
	return sp.Trainer == other.Trainer && sp.Step == other.Step && sp.Service == other.Service &&
		sp.GroupSize == other.GroupSize && sp.MaxTokens == other.MaxTokens &&
		slices.Equal(sp.Prompts, other.Prompts)
}

// Job is one run of a slot.
type Job struct {
	Slot Slot
	// Run counts the runs of the slot from 0.
	Run int
	// Extra marks a second run beside one that goes on.
	Extra bool
	// Least is the oldest version of weights that may start it.
	Least uint64
}

// Key is the idempotency key of a run; the same at every entry.
func (sp Spec) Key(jo Job) string {
	return "sample/" + sp.Trainer + "/" + sp.Step + "/" + strconv.Itoa(jo.Slot.Group) + "/" +
		strconv.Itoa(jo.Slot.Index) + "/" + strconv.Itoa(jo.Run)
}

// Take is what a trainer states when it asks for samples.
type Take struct {
	Token string `json:"token"`
	// Have names the slots that the trainer has; nil leaves it to the token.
	Have    []Slot `json:"have"`
	Version uint64 `json:"version"`
	// Most bounds the samples of the answer; zero means no bound.
	Most int `json:"most,omitempty"`
}

// Given is the answer to a take.
type Given struct {
	Token   string   `json:"token"`
	Samples []Sample `json:"samples"`
	// Left is the number of slots that the trainer does not have yet, those in
	// Samples included.
	Left int `json:"left"`
}

// Counts is what a step has cost so far.
type Counts struct {
	Delivered     int `json:"delivered"`
	TooOld        int `json:"too-old"`
	InDoubt       int `json:"in-doubt"`
	Extra         int `json:"extra"`
	WastedTokens  int `json:"wasted-tokens"`
	CreatedTokens int `json:"created-tokens"`
}

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
	former    string
	pending   []int
}

// NewStep starts a step.
func NewStep(sp Spec) *Step {
	return &Step{Spec: sp, slots: make([]slotState, sp.Slots()), version: sp.Version}
}

func (st *Step) at(sl Slot) int { return sl.Group*st.Spec.GroupSize + sl.Index }

func (st *Step) slot(at int) Slot {
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

// least is the oldest version that a new run may start with.
func (st *Step) least() uint64 {
	if st.version < st.Spec.Staleness {
		return 0
	}
	return st.version - st.Spec.Staleness
}

// Want lists the runs to start now: the slots without one, in order, then
// extra runs of the stragglers. Every job returned counts as started.
func (st *Step) Want(now time.Time) []Job {
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
	return append(jobs, st.extras(now)...)
}

func (st *Step) start(now time.Time, at int, extra bool) Job {
	ss := &st.slots[at]
	jo := Job{Slot: st.slot(at), Run: ss.runs, Extra: extra, Least: st.least()}
	ss.runs++
	ss.running++
	if !extra {
		ss.started, ss.tokens = now, 0
	}
	st.running++
	return jo
}

// extras finds the stragglers (rule 6). Only a step whose slots have all been
// started has places to spare for them.
func (st *Step) extras(now time.Time) []Job {
	typical, rate := st.typical()
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
		slow := float64(ss.tokens) < slowShare*rate*took.Seconds()
		if !late || !slow || len(jobs) >= budget {
			continue
		}
		jobs = append(jobs, st.start(now, at, true))
	}
	st.counts.Extra += len(jobs)
	return jobs
}

// leastDurations is how many runs must have finished before a typical
// duration is known.
const leastDurations = 8

// slowShare is the share of the typical speed below which a run is slow.
const slowShare = 0.6

// typical is the 90th percentile of the durations so far, and the median of
// the speeds in tokens a second.
func (st *Step) typical() (took time.Duration, rate float64) {
	if len(st.durations) < leastDurations {
		return 0, 0
	}
	durations, rates := slices.Clone(st.durations), slices.Clone(st.rates)
	slices.Sort(durations)
	slices.Sort(rates)
	return durations[len(durations)*9/10], rates[len(rates)/2]
}

// Progress tells how many tokens a run has produced so far.
func (st *Step) Progress(jo Job, tokens int) {
	ss := &st.slots[st.at(jo.Slot)]
	ss.tokens = max(ss.tokens, tokens)
}

// Finished takes in the sample of a run. Certain says that its versions are
// known for sure.
func (st *Step) Finished(now time.Time, jo Job, sa Sample, certain bool) {
	at := st.at(jo.Slot)
	ss := &st.slots[at]
	st.ended(ss)
	st.counts.CreatedTokens += sa.Tokens()
	if took := now.Sub(ss.started); took > 0 && !jo.Extra {
		st.durations = append(st.durations, took)
		st.rates = append(st.rates, float64(sa.Tokens())/took.Seconds())
	}
	switch {
	case !certain || sa.Oldest() == 0: // rule 5
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
	ss := &st.slots[st.at(jo.Slot)]
	st.ended(ss)
	ss.notBefore = now.Add(wait)
	if jo.Extra {
		st.counts.Extra-- // it cost nothing that counts
	}
}

func (st *Step) ended(ss *slotState) {
	ss.running--
	st.running--
}

// Take answers a trainer. It returns the keys of the runs whose receipt is
// now confirmed, so that the guards may drop them.
func (st *Step) Take(ta Take) (Given, []string, *core.Error) {
	unknown := ta.Token != st.token && ta.Token != st.former
	if unknown && ta.Have == nil { // rule 3
		return Given{}, nil, core.Refuse(core.CodeConflict, "the token is unknown here; name all slots that you have")
	}
	st.version = max(st.version, ta.Version)
	var released []string
	for _, sl := range ta.Have { // rules 1 and 3
		if st.valid(sl) {
			released = st.confirm(st.at(sl), released)
		}
	}
	switch {
	case ta.Token == st.token: // rule 1
		for _, at := range st.pending {
			released = st.confirm(at, released)
		}
	case ta.Token == st.former && len(st.pending) > 0: // rule 2
		return st.give(ta, st.keep()), released, nil
	}
	st.former = ta.Token
	return st.give(ta, st.choose(ta.Most)), released, nil
}

// keep is the pending answer without what has been confirmed since.
func (st *Step) keep() []int {
	return slices.DeleteFunc(slices.Clone(st.pending), func(at int) bool { return st.slots[at].confirmed })
}

func (st *Step) choose(most int) []int {
	var chosen []int
	for at := range st.slots {
		if most > 0 && len(chosen) >= most {
			break
		}
		if ss := &st.slots[at]; ss.sample != nil && !ss.confirmed {
			chosen = append(chosen, at)
		}
	}
	return chosen
}

// give makes the answer of what is fresh enough (rule 4).
func (st *Step) give(ta Take, chosen []int) Given {
	gi := Given{Samples: []Sample{}, Left: len(st.slots) - st.confirmed}
	st.pending = nil
	for _, at := range chosen {
		ss := &st.slots[at]
		if ss.sample == nil {
			continue
		}
		if st.version > ss.sample.Oldest()+st.Spec.Staleness {
			st.counts.TooOld++
			st.counts.WastedTokens += ss.sample.Tokens()
			ss.sample = nil
			continue
		}
		gi.Samples = append(gi.Samples, *ss.sample)
		st.pending = append(st.pending, at)
	}
	if len(gi.Samples) == 0 {
		st.token, gi.Token = ta.Token, ta.Token
		return gi
	}
	st.token = st.makeToken()
	gi.Token = st.token
	return gi
}

// makeToken names an answer by its content, so that the same answer has the
// same token.
func (st *Step) makeToken() string {
	ha := xxhash.New()
	_, _ = ha.WriteString(st.former)
	for _, at := range st.pending {
		_, _ = ha.Write(binary.LittleEndian.AppendUint64(nil, uint64(at)))
		_, _ = ha.Write(binary.LittleEndian.AppendUint64(nil, uint64(st.slots[at].sample.Run)))
	}
	return strconv.FormatUint(ha.Sum64(), 36)
}

func (st *Step) confirm(at int, released []string) []string {
	ss := &st.slots[at]
	if ss.confirmed {
		return released
	}
	ss.confirmed = true
	st.confirmed++
	st.counts.Delivered++
	if ss.sample != nil {
		released = append(released, st.Spec.Key(Job{Slot: st.slot(at), Run: ss.sample.Run}))
		ss.sample = nil
	}
	return released
}
