package sample_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bilberryshelf/sample"
)

// The model has a trainer, up to two owners of its step, and engines whose actual
// weight versions the owners do not see. Runs end in any order, answers are lost
// or sent twice, owners crash, and the trainer restarts from the slots it has.

// mutant disables one part of the design.
type mutant struct {
	forgetToken  bool // takes confirm no slot, so the owner does not know which answer is unconfirmed
	skipAgeCheck bool // the owner delivers samples of any age
	labelLatest  bool // samples are labelled with the latest version, not with the one that produced them
}

type drawFunc func(label string, below int) int

// job is a run on an engine. produced holds the segments that the engine
// generated.
type job struct {
	sample.Job
	owner    *sample.Step
	began    time.Time
	produced []sample.Segment
}

type model struct {
	mutant  mutant
	draw    drawFunc
	now     time.Time
	version uint64
	spec    sample.Spec
	owners  []*sample.Step
	jobs    []*job
	// cached holds the samples that the guards keep, by key. producedByKey holds the
	// segments that the engines generated for them.
	cached        map[string]sample.Sample
	producedByKey map[string][]sample.Segment
	// The state of the trainer.
	token string
	have  map[sample.Slot]int
	// tokensOnly is set if the trainer sends no list of slots and has one owner.
	tokensOnly bool
	// answer is the answer that the trainer has not processed yet, if any.
	answer        *sample.TakeResponse
	statedVersion uint64
	violation     string
}

func newModel(mu mutant, draw drawFunc) *model {
	mo := &model{
		mutant: mu, draw: draw, now: time.Unix(0, 0), version: 1,
		cached: map[string]sample.Sample{}, producedByKey: map[string][]sample.Segment{}, have: map[sample.Slot]int{},
		spec: sample.Spec{
			Trainer: "chemists", Step: "one", Service: "blend-lm", Prompts: []string{"a", "b", "c"},
			GroupSize: 2, MaxTokens: 8, Staleness: 1, Version: 1,
		},
	}
	mo.tokensOnly = draw("tokens only", 2) == 0
	for range 2 {
		mo.owners = append(mo.owners, mo.newOwner())
	}
	return mo
}

func (mo *model) newOwner() *sample.Step {
	sp := mo.spec
	if mo.mutant.skipAgeCheck {
		sp.Staleness = 100
	}
	st := sample.NewStep(sp)
	st.Window, st.ExtraShare, st.ExtraAfter = 4, 0.5, 1.5
	return st
}

func (mo *model) owner() (int, *sample.Step) {
	if mo.tokensOnly {
		return 0, mo.owners[0]
	}
	at := mo.draw("owner", len(mo.owners))
	return at, mo.owners[at]
}

func (mo *model) act() {
	actions := []struct {
		weight int
		do     func()
	}{
		{4, mo.start},
		{8, mo.end},
		{1, mo.fail},
		{6, mo.take},
		{3, mo.receive},
		{1, mo.loseAnswer},
		{2, mo.swap},
		{1, mo.crash},
		{2, func() { mo.now = mo.now.Add(time.Second) }},
	}
	total := 0
	for _, ac := range actions {
		total += ac.weight
	}
	pick := mo.draw("action", total)
	for _, ac := range actions {
		if pick -= ac.weight; pick < 0 {
			ac.do()
			return
		}
	}
}

func (mo *model) start() {
	_, st := mo.owner()
	for _, jo := range st.NextJobs(mo.now) {
		mo.jobs = append(mo.jobs, &job{Job: jo, owner: st, began: mo.now, produced: []sample.Segment{{Version: mo.version, Tokens: 1}}})
	}
}

// swap loads a new version of the weights while runs are in progress.
func (mo *model) swap() {
	if mo.version >= 6 {
		return
	}
	mo.version++
	for _, jo := range mo.jobs {
		if mo.draw("produces more", 2) == 0 {
			jo.produced = append(jo.produced, sample.Segment{Version: mo.version, Tokens: 2})
		}
	}
}

func (mo *model) removeJob() *job {
	if len(mo.jobs) == 0 {
		return nil
	}
	at := mo.draw("job", len(mo.jobs))
	jo := mo.jobs[at]
	mo.jobs = append(mo.jobs[:at], mo.jobs[at+1:]...)
	return jo
}

// end finishes a run. If a guard has cached the sample of the key, that sample is
// returned.
func (mo *model) end() {
	jo := mo.removeJob()
	if jo == nil {
		return
	}
	key := mo.spec.Key(jo.Job)
	sa, found := mo.cached[key]
	if !found {
		sa = sample.Sample{Text: key, Segments: jo.produced}
		if mo.mutant.labelLatest {
			sa.Segments = []sample.Segment{{Version: mo.version, Tokens: 1}}
		}
		mo.cached[key], mo.producedByKey[key] = sa, jo.produced
	}
	jo.owner.Finished(mo.now, jo.Job, sa, mo.draw("certain", 8) > 0)
}

func (mo *model) fail() {
	if jo := mo.removeJob(); jo != nil {
		jo.owner.Failed(mo.now, jo.Job, 0)
	}
}

// take asks an owner for samples. The answer of an earlier take may still be
// unprocessed.
func (mo *model) take() {
	_, st := mo.owner()
	ta := sample.Take{Token: mo.token, Version: mo.version, MaxSamples: mo.draw("most", 4)}
	if !mo.tokensOnly {
		ta.Have = []sample.Slot{}
		for sl := range mo.have {
			ta.Have = append(ta.Have, sl)
		}
	}
	if mo.mutant.forgetToken {
		ta.Token, ta.Have = "forgotten", []sample.Slot{}
	}
	tr, _, er := st.Take(ta)
	if er != nil {
		return
	}
	mo.checkAge(tr)
	if mo.tokensOnly || mo.answer == nil {
		mo.answer, mo.statedVersion = &tr, mo.version
	}
}

// checkAge checks the labels (P1) and the age (P2) of the delivered samples.
func (mo *model) checkAge(tr sample.TakeResponse) {
	for _, sa := range tr.Samples {
		produced := mo.producedByKey[sa.Text]
		if fmt.Sprint(produced) != fmt.Sprint(sa.Segments) {
			mo.violation = fmt.Sprintf("%s is labelled %v and came from %v", sa.Text, sa.Segments, produced)
		}
		if (sample.Sample{Segments: produced}).OldestVersion()+mo.spec.Staleness < mo.version {
			mo.violation = fmt.Sprintf("%s is too old", sa.Text)
		}
	}
}

// receive processes the pending answer at the trainer.
func (mo *model) receive() {
	if mo.answer == nil {
		return
	}
	tr := *mo.answer
	mo.answer = nil
	if tr.Token == mo.token && mo.tokensOnly {
		return
	}
	mo.token = tr.Token
	for _, sa := range tr.Samples {
		if mo.have[sa.Slot] > 0 && !mo.tokensOnly {
			continue // the client ignores a slot that it already has
		}
		if mo.have[sa.Slot]++; mo.have[sa.Slot] > 1 {
			mo.violation = fmt.Sprintf("slot %v was delivered twice", sa.Slot)
		}
	}
}

func (mo *model) loseAnswer() { mo.answer = nil }

// crash replaces an owner by a new one without state. The samples cached at the
// guards remain. A trainer that relies on tokens alone cannot recover from it, so
// it has no crashes.
func (mo *model) crash() {
	if mo.tokensOnly {
		return
	}
	at, previous := mo.owner()
	mo.owners[at] = mo.newOwner()
	for _, jo := range mo.jobs {
		if jo.owner == previous {
			jo.owner = sample.NewStep(mo.spec) // the result of the run is lost
		}
	}
}

// finishAll completes the step and checks that every slot was delivered.
func (mo *model) finishAll() {
	for range 2000 {
		if len(mo.have) == mo.spec.Slots() || mo.violation != "" {
			break
		}
		mo.start()
		mo.end()
		mo.take()
		mo.receive()
		mo.now = mo.now.Add(time.Second)
	}
	if mo.violation == "" && len(mo.have) != mo.spec.Slots() {
		mo.violation = fmt.Sprintf("%d of %d slots were delivered", len(mo.have), mo.spec.Slots())
	}
}

func runModel(mu mutant, draw drawFunc) string {
	mo := newModel(mu, draw)
	for range 120 {
		if mo.act(); mo.violation != "" {
			return mo.violation
		}
	}
	mo.finishAll()
	return mo.violation
}

func seededDraw(seed uint64) drawFunc {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, below int) int { return random.IntN(below) }
}

// P1, P2 and P3 must hold when answers are lost or reordered and owners crash.
func TestStepModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string, below int) int { return rapid.IntRange(0, below-1).Draw(rt, label) }
		if violation := runModel(mutant{}, draw); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
	for seed := range uint64(3000) {
		require.Empty(t, runModel(mutant{}, seededDraw(seed)), "seed %d", seed)
	}
}

// Guards against a model that cannot fail: each mutant must break a promise at the
// recorded seed, and the complete design must keep it at the same seed.
func TestMutantsAreDetected(t *testing.T) {
	for _, tc := range []struct {
		name      string
		mutant    mutant
		seed      uint64
		violation string
	}{
		{"no-token", mutant{forgetToken: true}, 8, "slot {0 0} was delivered twice"},
		{"no-age-check", mutant{skipAgeCheck: true}, 0, "sample/chemists/one/1/0/0 is too old"},
		{"label-by-order", mutant{labelLatest: true}, 0, "sample/chemists/one/0/1/0 is labelled [{3 1}] and came from [{2 1}]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.violation, runModel(tc.mutant, seededDraw(tc.seed)))
			require.Empty(t, runModel(mutant{}, seededDraw(tc.seed)))
		})
	}
}
