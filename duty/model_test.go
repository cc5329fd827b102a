package duty

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// schedulesVariable is the environment variable with the number of schedules for a long
	// run, seedVariable that with another seed.
	schedulesVariable, seedVariable = "DUTY_SCHEDULES", "DUTY_SEED"
	defaultSchedules                = 10_000

	modelStep = 50 * time.Millisecond
	// faultyTime is followed by quietTime without faults, in which calls must be made again.
	faultyTime = 25 * time.Second
	quietTime  = 25 * time.Second
	opTimeout  = 700 * time.Millisecond
)

// mutant switches one safeguard off.
type mutant struct {
	name string
	// unconditional has the store ignore expected versions, sameNode gives both instances
	// one identity, guess treats a lost write as acknowledged.
	unconditional, sameNode, guess bool
	afterRead                      func(le *Lease)
	afterAck                       func(le *Lease, now Instant)
	beforePermit                   func(le *Lease, now *Instant)
	onWrite                        func(le *Lease, ro *Row)
}

var mutants = []mutant{
	{name: "rule 1: conditional writes", unconditional: true},
	{name: "rule 1: a lost write is not assumed to have taken effect", guess: true},
	{name: "rule 2: the token rises", onWrite: func(le *Lease, ro *Row) { ro.Token = max(le.row.Token, 1) }},
	{name: "rule 3: expiry", afterRead: func(le *Lease) { le.firstSeen = le.firstSeen.Add(-le.ttl() - expiryMargin) }},
	{name: "rule 4: monotonic clock", beforePermit: func(le *Lease, now *Instant) { le.renewed.At = now.At }},
	{name: "rule 4: clock with suspensions", beforePermit: func(le *Lease, now *Instant) { now.Boot = le.renewed.Boot }},
	{name: "rule 4: from sending, not from the answer", afterAck: func(le *Lease, now Instant) { le.renewed = now }},
	{name: "rule 5: wait", beforePermit: func(le *Lease, _ *Instant) { le.acquired = time.Time{} }},
	{name: "rule 6: wait of the predecessor", afterRead: func(le *Lease) { le.row.Cleared = true }},
	{name: "rule 6: instances, not names", sameNode: true},
	{name: "rule 7: no calls while releasing", beforePermit: func(le *Lease, _ *Instant) { le.releasing = false }},
}

// op is a call to the store. It takes effect at one time and is answered at another, each
// zero for never.
type op struct {
	step                    Step
	sent                    Instant
	effectAt, answerAt, end time.Duration
	row                     Row
	version                 uint64
	conflict                bool
}

// process is one start of a node.
type process struct {
	instance int
	lease    Lease
	op       *op
	// frozen is until when the process does nothing, cutOff until when it does not reach
	// the store, and failing until when its calls fail.
	frozen, cutOff, failing time.Duration
	// endsAt is when a stopping process ends at the latest.
	endsAt time.Duration
}

// model is one schedule.
type model struct {
	rand   *rand.Rand
	mutant mutant
	now    time.Duration
	// noBoot is set if the clock with suspensions is not available; there are none then.
	noBoot    bool
	row       Row
	version   uint64
	late      []*op
	processes [2]*process
	// restartAt is when an instance without a process starts one. asleep is how long an
	// instance was suspended altogether.
	restartAt [2]time.Duration
	asleep    [2]time.Duration
	starts    int
	// The last call.
	calls        int
	lastCall     time.Duration
	lastInstance int
	lastToken    uint64
	byToken      map[uint64]string
}

func (mo *model) chance(of int) bool { return mo.rand.IntN(of) == 0 }

func (mo *model) upTo(most time.Duration) time.Duration {
	return time.Duration(mo.rand.Int64N(int64(most))) + 1
}

// epoch is the time of the monotonic clocks at the start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (mo *model) clocks(instance int) Instant {
	in := Instant{At: epoch.Add(mo.now - mo.asleep[instance]), Boot: mo.now}
	if mo.noBoot {
		in.Boot = 0
	}
	return in
}

func (mo *model) start(instance int) *process {
	mo.starts++
	node := strconv.Itoa(instance)
	if mo.mutant.sameNode {
		node = "node"
	}
	return &process{instance: instance, lease: Lease{Name: fmt.Sprintf("%d/%d", instance, mo.starts), Node: node}}
}

// run returns what went wrong, or the empty text.
func (mo *model) run() string {
	before := 0
	for mo.now = 0; mo.now < faultyTime+quietTime; mo.now += modelStep {
		if mo.now == faultyTime+quietTime-5*time.Second {
			before = mo.calls
		}
		mo.applyLate()
		for instance := range mo.processes {
			if fault := mo.advance(instance); fault != "" {
				return fmt.Sprintf("%s at %v", fault, mo.now)
			}
		}
	}
	if mo.calls == before {
		return "no calls although there are no faults"
	}
	return ""
}

func (mo *model) advance(instance int) string {
	pr := mo.processes[instance]
	if pr == nil {
		if mo.now >= mo.restartAt[instance] {
			mo.processes[instance] = mo.start(instance)
		}
		return ""
	}
	if mo.now < pr.frozen {
		return ""
	}
	if fault := mo.call(pr); fault != "" {
		return fault
	}
	if mo.ends(pr) {
		mo.processes[instance], mo.restartAt[instance] = nil, mo.now+mo.upTo(2*time.Second)
		return ""
	}
	if mo.now < faultyTime {
		mo.draw(pr)
	}
	if mo.now >= pr.frozen {
		mo.proceed(pr)
	}
	return ""
}

// ends reports whether a process ends now, by a stop or a crash.
func (mo *model) ends(pr *process) bool {
	_, holds := pr.lease.Holds()
	if pr.endsAt > 0 && (mo.now >= pr.endsAt || !holds && pr.op == nil) {
		return true
	}
	return mo.now < faultyTime && mo.chance(700)
}

// draw draws the faults of a process.
func (mo *model) draw(pr *process) {
	switch mo.rand.IntN(600) {
	case 0: // a pause: both clocks go on
		pr.frozen = mo.now + mo.upTo(8*time.Second)
	case 1, 2:
		if !mo.noBoot {
			span := mo.upTo(8 * time.Second).Truncate(modelStep)
			pr.frozen = mo.now + span
			mo.asleep[pr.instance] += span
		}
	case 3:
		pr.cutOff = mo.now + mo.upTo(8*time.Second)
	case 4:
		pr.failing = mo.now + mo.upTo(10*time.Second)
	case 5, 6, 7:
		if pr.endsAt == 0 {
			pr.lease.Release()
			pr.endsAt = mo.now + 2*time.Second
		}
	}
}

// call makes a call if it is permitted, and checks it.
func (mo *model) call(pr *process) string {
	now, le := mo.clocks(pr.instance), &pr.lease
	if mo.mutant.beforePermit != nil {
		cp, changed := *le, now
		mo.mutant.beforePermit(&cp, &changed)
		le, now = &cp, changed
	}
	token, ok := le.Permit(now)
	if !ok {
		return ""
	}
	switch owner := mo.byToken[token]; {
	case mo.row.Holder != pr.lease.Name:
		return fmt.Sprintf("%s calls while %q holds the lease", pr.lease.Name, mo.row.Holder)
	case owner != "" && owner != pr.lease.Name:
		return fmt.Sprintf("%s and %s call with token %d", owner, pr.lease.Name, token)
	case token < mo.lastToken:
		return fmt.Sprintf("token %d after %d", token, mo.lastToken)
	case mo.calls > 0 && mo.lastInstance != pr.instance && mo.now-mo.lastCall < le.ttl():
		return fmt.Sprintf("%s calls %v after the other instance", pr.lease.Name, mo.now-mo.lastCall)
	}
	mo.byToken[token] = pr.lease.Name
	mo.calls, mo.lastCall, mo.lastInstance, mo.lastToken = mo.calls+1, mo.now, pr.instance, token
	pr.lease.Called(mo.clocks(pr.instance), mo.now >= pr.failing)
	return ""
}

// proceed ends a call to the store whose time has come, or makes the next step.
func (mo *model) proceed(pr *process) {
	now := mo.clocks(pr.instance)
	if cu := pr.op; cu != nil {
		if answered := cu.answerAt > 0 && mo.now >= cu.answerAt; answered || mo.now >= cu.end {
			pr.op = nil
			mo.finish(pr, cu, answered, now)
		}
		return
	}
	st := pr.lease.Next(now, Candidacy{Eligible: pr.endsAt == 0, Wait: time.Duration(pr.instance) * 700 * time.Millisecond})
	if st.Kind == Wait {
		return
	}
	if st.Kind == Write && mo.mutant.onWrite != nil {
		mo.mutant.onWrite(&pr.lease, &st.Row)
		pr.lease.pending = st.Row
	}
	pr.op = mo.send(pr, st, now)
}

// finish tells the lease how a call to the store ended.
func (mo *model) finish(pr *process, cu *op, answered bool, now Instant) {
	switch {
	case !answered && mo.mutant.guess && cu.step.Kind == Write:
		pr.lease.Acknowledged(now.At, pr.lease.version+1)
	case !answered || cu.conflict:
		pr.lease.Failed(now.At)
	case cu.step.Kind == Read:
		pr.lease.RowRead(cu.sent.At, now.At, cu.row, cu.version)
		if mo.mutant.afterRead != nil {
			mo.mutant.afterRead(&pr.lease)
		}
	default:
		pr.lease.Acknowledged(now.At, cu.version)
		if mo.mutant.afterAck != nil {
			mo.mutant.afterAck(&pr.lease, now)
		}
	}
}

// send draws when a call takes effect and is answered. An effect may come long after the
// caller has given up.
func (mo *model) send(pr *process, st Step, sent Instant) *op {
	cu := &op{step: st, sent: sent, end: mo.now + opTimeout}
	cu.effectAt = mo.now + mo.upTo(100*time.Millisecond)
	cu.answerAt = cu.effectAt + mo.upTo(100*time.Millisecond)
	if mo.now < faultyTime {
		switch mo.rand.IntN(25) {
		case 0: // the answer is lost
			cu.answerAt = 0
		case 1: // the effect is late
			cu.effectAt, cu.answerAt = mo.now+mo.upTo(8*time.Second), 0
		case 2: // the call is lost
			cu.effectAt, cu.answerAt = 0, 0
		case 3: // the process stands still until after the answer
			pr.frozen = mo.now + mo.upTo(8*time.Second)
		}
	}
	if mo.now < pr.cutOff {
		cu.effectAt, cu.answerAt = 0, 0
	}
	if cu.effectAt > 0 {
		mo.late = append(mo.late, cu)
	}
	return cu
}

// applyLate applies the calls that take effect now, in the order of their time.
func (mo *model) applyLate() {
	kept := mo.late[:0]
	for _, cu := range mo.late {
		if mo.now < cu.effectAt {
			kept = append(kept, cu)
			continue
		}
		if cu.step.Kind == Write {
			if cu.step.Expect != mo.version && !mo.mutant.unconditional {
				cu.conflict = true
				continue
			}
			mo.version++
			mo.row = cu.step.Row
		}
		cu.row, cu.version = mo.row, mo.version
	}
	mo.late = kept
}

// runModel runs schedules until one fails, and returns what went wrong and its number.
func runModel(seed uint64, from, to int, mu mutant) (fault string, at, calls int) {
	for at = from; at < to; at++ {
		mo := &model{rand: rand.New(rand.NewPCG(seed, uint64(at))), mutant: mu, byToken: map[uint64]string{}}
		mo.noBoot = mo.chance(8)
		fault = mo.run()
		if calls += mo.calls; fault != "" {
			return fault, at, calls
		}
	}
	return "", to, calls
}

func number(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	value, err := strconv.Atoi(text)
	require.NoError(t, err, variable)
	return value
}

// No schedule of crashes, stops, pauses, suspensions, partitions and lost or late answers
// may lead to calls of two holders that break the rules of the package, or to no calls.
func TestModel(t *testing.T) {
	schedules, seed := number(t, schedulesVariable, defaultSchedules), uint64(number(t, seedVariable, 1))
	const parts = 4 // run at the same time
	for part := range parts {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			t.Parallel()
			from, to := part*schedules/parts, (part+1)*schedules/parts
			fault, at, calls := runModel(seed, from, to, mutant{})
			require.Empty(t, fault, "schedule %d", at)
			t.Logf("%d schedules, %d calls", to-from, calls)
		})
	}
}

// The model must find the fault if any one safeguard is switched off.
func TestSafeguards(t *testing.T) {
	for _, mu := range mutants {
		t.Run(mu.name, func(t *testing.T) {
			fault, at, _ := runModel(1, 0, defaultSchedules, mu)
			require.NotEmpty(t, fault, "the model finds no fault without this safeguard")
			t.Logf("schedule %d: %s", at, fault)
		})
	}
}
