package retry_test

import (
	"fmt"
	"slices"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/retry"
)

// This is a model of callers, entries, guards and targets with the real retry plan
// and the real fence table. Every step is drawn at random: a message arrives, is
// lost or stays in flight, a stream is cut while its request is in flight, a process
// dies, or time passes. The model counts what the targets really ran.

// mutant disables one rule of the design, to show that the model detects it.
type mutant struct {
	noSettle     bool // a cut attempt counts as not run
	noTombstone  bool // settle answers forbidden without recording it
	noDeadline   bool // the guard does not check deadlines
	noKeys       bool // the guard ignores keys
	noQuarantine bool // a restarted guard has no quarantine
	noCommit     bool // the deadline is not checked again before the first byte
	lateSettle   bool // a settle query has a new deadline, counted from now
}

// chooser draws numbers below a bound.
type chooser func(label string, below int) int

const (
	modelStartWithin = 50 * time.Millisecond
	modelGrace       = 100 * time.Millisecond
	modelHold        = 500 * time.Millisecond
	modelTimeout     = 250 * time.Millisecond
	modelGuards      = 3
	modelEntries     = 2
	modelMaxSends    = 6
)

// call is one request of a caller; it may be sent several times.
type call struct {
	number     int
	idempotent bool
	keyed      bool
	first      time.Time
	runs       int
	// notRun is set when the call has been answered with the verdict not-run.
	notRun   bool
	answered bool
	open     int
}

func (ca *call) key() string {
	if ca.keyed {
		return fmt.Sprintf("key-%d", ca.number)
	}
	return ""
}

type sendPhase string

const (
	pending    sendPhase = "placing"
	attempting sendPhase = "attempting"
	settling   sendPhase = "asking"
	ended      sendPhase = "over"
)

// send is one submission of a call to an entry.
type send struct {
	number   int
	call     *call
	entry    int
	plan     retry.Plan
	phase    sendPhase
	guard    int
	reattach bool
	tried    []int
	id       core.AttemptID
	inc      uint64
	key      string
	until    time.Time
}

type messageKind string

const (
	dispatchMessage messageKind = "dispatch"
	replyMessage    messageKind = "reply"
	settleMessage   messageKind = "settle"
	settledMessage  messageKind = "settled"
)

type message struct {
	kind   messageKind
	send   *send
	guard  int
	id     core.AttemptID
	inc    uint64
	until  time.Time
	key    string
	idem   bool
	fresh  bool
	number int
	err    *core.Error
	state  fence.SettleState
}

// running is an admitted attempt at a guard.
type running struct {
	msg       message
	committed bool
	waiters   []message
}

type guardModel struct {
	table   fence.Table
	runs    []*running
	started time.Time
}

type simulator struct {
	mutant    mutant
	draw      chooser
	now       time.Time
	calls     []*call
	sends     []*send
	guards    []*guardModel
	known     [modelEntries][modelGuards]uint64
	net       []message
	nextID    uint64
	nextInc   uint64
	violation string
	trace     func(format string, args ...any)
}

// origin is the time at which the model starts.
var origin = time.Unix(1000, 0)

func (sm *simulator) tracef(format string, args ...any) {
	if sm.trace != nil {
		sm.trace(format, args...)
	}
}

func newSimulator(mu mutant, draw chooser) *simulator {
	sm := &simulator{mutant: mu, draw: draw, now: origin}
	for at := range modelGuards {
		sm.guards = append(sm.guards, &guardModel{})
		sm.resetTable(at)
		sm.guards[at].table.QuarantineUntil = time.Time{}
	}
	for en := range sm.known {
		for gu := range sm.known[en] {
			sm.known[en][gu] = sm.guards[gu].table.Incarnation
		}
	}
	return sm
}

func (sm *simulator) resetTable(at int) {
	sm.nextInc++
	gu := sm.guards[at]
	gu.started = sm.now
	gu.table = fence.Table{Incarnation: sm.nextInc, Grace: modelGrace, MaxAnswerBytes: 1000, QuarantineUntil: sm.now.Add(modelHold)}
	if sm.mutant.noQuarantine {
		gu.table.QuarantineUntil = time.Time{}
	}
	gu.runs = nil
}

type action struct {
	weight int
	do     func()
}

// step draws and executes one of the possible actions.
func (sm *simulator) step() {
	actions := []action{{4, sm.advance}, {3, sm.newSend}, {1, sm.restartGuard}, {1, sm.loseTarget}, {1, sm.crashEntry}, {2, sm.hello}, {1, sm.sweep}}
	if len(sm.net) > 0 {
		actions = append(actions, action{12, sm.deliver}, action{2, sm.dropMessage}, action{1, sm.misdeliver})
	}
	if len(sm.sends) > 0 {
		actions = append(actions, action{4, sm.cut}, action{8, sm.dispatch})
	}
	actions = append(actions, action{8, sm.commit}, action{8, sm.finish})
	total := 0
	for _, ac := range actions {
		total += ac.weight
	}
	pick := sm.draw("action", total)
	for _, ac := range actions {
		if pick -= ac.weight; pick < 0 {
			ac.do()
			break
		}
	}
	sm.check()
}

func (sm *simulator) advance() {
	sm.now = sm.now.Add(time.Duration(1+sm.draw("millis", 60)) * time.Millisecond)
}

func (sm *simulator) newSend() {
	if len(sm.sends) < modelMaxSends && sm.draw("fresh", 2) == 0 {
		kind := sm.draw("kind", 3)
		ca := &call{number: len(sm.calls), idempotent: kind == 0, keyed: kind == 1, first: sm.now}
		sm.calls = append(sm.calls, ca)
		sm.sendCall(ca)
		return
	}
	var resendable []*call
	for _, ca := range sm.calls {
		if ca.keyed && !ca.answered && sm.now.Sub(ca.first) < modelHold-modelStartWithin-modelTimeout {
			resendable = append(resendable, ca)
		}
	}
	if len(resendable) > 0 && len(sm.sends) < modelMaxSends {
		sm.sendCall(resendable[sm.draw("again", len(resendable))])
	}
}

func (sm *simulator) sendCall(ca *call) {
	se := &send{
		number: len(sm.sends), call: ca, entry: sm.draw("entry", modelEntries), phase: pending,
		plan: retry.Plan{
			Idempotent: ca.idempotent, Pinned: ca.keyed, AttemptsLeft: 2, SettlesLeft: 2, ResendsLeft: 3,
			Deadline: sm.now.Add(modelTimeout),
		},
	}
	se.key = ca.key()
	if se.key == "" && !ca.idempotent {
		se.key = fmt.Sprintf("send-%d", se.number)
	}
	ca.open++
	sm.sends = append(sm.sends, se)
}

func (sm *simulator) pickSend(phase sendPhase) *send {
	var found []*send
	for _, se := range sm.sends {
		if se.phase == phase {
			found = append(found, se)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[sm.draw("send", len(found))]
}

// dispatch sends the next attempt of a pending request.
func (sm *simulator) dispatch() {
	se := sm.pickSend(pending)
	if se == nil {
		return
	}
	if !se.reattach {
		se.guard = sm.chooseGuard(se)
	}
	se.reattach = false
	sm.nextID++
	se.id = core.AttemptID{byte(sm.nextID), byte(sm.nextID >> 8)}
	se.inc = sm.known[se.entry][se.guard]
	se.phase = attempting
	se.until = sm.now.Add(modelStartWithin)
	if se.plan.Deadline.Before(se.until) { // as in startDeadline of package entry
		se.until = se.plan.Deadline
	}
	sm.net = append(sm.net, message{
		kind: dispatchMessage, send: se, guard: se.guard, id: se.id, inc: se.inc,
		until: se.until, key: se.key, idem: se.call.idempotent,
		fresh: !se.call.keyed && !se.plan.InDoubt(), number: se.call.number,
	})
}

func (sm *simulator) chooseGuard(se *send) int {
	if se.call.keyed {
		return se.call.number % modelGuards
	}
	var free []int
	for at := range modelGuards {
		if !slices.Contains(se.tried, at) {
			free = append(free, at)
		}
	}
	if len(free) == 0 {
		return sm.draw("guard", modelGuards)
	}
	return free[sm.draw("guard", len(free))]
}

func (sm *simulator) takeMessage() message {
	at := sm.draw("message", len(sm.net))
	me := sm.net[at]
	sm.net = slices.Delete(sm.net, at, at+1)
	return me
}

func (sm *simulator) dropMessage() { sm.takeMessage() }

func (sm *simulator) deliver() {
	me := sm.takeMessage()
	sm.tracef("deliver %s of call %d id %x guard %d err %v state %s", me.kind, me.send.call.number, me.id[0], me.guard, me.err, me.state)
	switch me.kind {
	case dispatchMessage:
		sm.arrive(me)
	case settleMessage:
		sm.settle(me)
	case replyMessage:
		sm.reply(me, me.send)
	case settledMessage:
		if me.send.phase == settling && me.send.id == me.id {
			sm.report(me.send, retry.Report{Event: retry.Settled, State: string(me.state)})
		}
	}
}

// misdeliver delivers a reply to a send that it does not belong to.
func (sm *simulator) misdeliver() {
	me := sm.takeMessage()
	se := sm.pickSend(attempting)
	if me.kind == replyMessage && se != nil {
		sm.reply(me, se)
	}
}

// check records a violation of a promise, if any.
func (sm *simulator) check() {
	for _, ca := range sm.calls {
		if !ca.idempotent && ca.runs > 1 {
			sm.violation = fmt.Sprintf("call %d ran %d times", ca.number, ca.runs)
		}
		if ca.notRun && ca.runs > 0 {
			sm.violation = fmt.Sprintf("call %d was refused as not run and ran", ca.number)
		}
	}
}

// drain delivers all messages in flight after a long delay and lets all runs end.
func (sm *simulator) drain() {
	sm.now = sm.now.Add(modelGrace * 2)
	sm.sweep()
	for range 500 {
		if len(sm.net) > 0 {
			sm.deliver()
		}
		sm.dispatch()
		sm.commit()
		sm.finish()
		sm.check()
	}
}

// simulate runs the model and returns the violation of a promise, if any.
func simulate(mu mutant, steps int, draw chooser) (violation string) {
	sm := newSimulator(mu, draw)
	for range steps {
		sm.step()
		if sm.violation != "" {
			return sm.violation
		}
	}
	sm.drain()
	return sm.violation
}
