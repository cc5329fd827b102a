package retry_test

import (
	"fmt"
	"slices"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/retry"
)

// This is a model of callers, entries, guards and targets around the real
// plan and the real table. Every step is drawn: a message arrives, is lost or
// stays under way, a stream is cut while its request is still under way, a
// process dies, time passes between any two steps. The model counts what the
// targets truly ran.

// mutant switches off one part of the design, to show that the model notices.
type mutant struct {
	noSettle     bool // a cut attempt is taken for one that did not run
	noTombstone  bool // settle says forbidden without forbidding
	noDeadline   bool // the guard does not check deadlines
	noKeys       bool // the guard forgets keys
	noQuarantine bool // a restarted guard trusts its empty table
	noCommit     bool // the deadline is not checked again before the first byte
	lateSettle   bool // a settle question names a deadline counted from now
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

// call is one request of a caller, with all its sends.
type call struct {
	number     int
	idempotent bool
	keyed      bool
	first      time.Time
	runs       int
	// notRun is set once a verdict claimed that it did not run.
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
	asking     sendPhase = "asking"
	ended      sendPhase = "over"
)

// send is one send of a call at an entry.
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

func (wo *simulator) tracef(format string, args ...any) {
	if wo.trace != nil {
		wo.trace(format, args...)
	}
}

func newSimulator(mu mutant, draw chooser) *simulator {
	wo := &simulator{mutant: mu, draw: draw, now: origin}
	for at := range modelGuards {
		wo.guards = append(wo.guards, &guardModel{})
		wo.resetTable(at)
		wo.guards[at].table.QuarantineUntil = time.Time{}
	}
	for en := range wo.known {
		for gu := range wo.known[en] {
			wo.known[en][gu] = wo.guards[gu].table.Incarnation
		}
	}
	return wo
}

func (wo *simulator) resetTable(at int) {
	wo.nextInc++
	gu := wo.guards[at]
	gu.started = wo.now
	gu.table = fence.Table{Incarnation: wo.nextInc, Grace: modelGrace, MaxAnswerBytes: 1000, QuarantineUntil: wo.now.Add(modelHold)}
	if wo.mutant.noQuarantine {
		gu.table.QuarantineUntil = time.Time{}
	}
	gu.runs = nil
}

type action struct {
	weight int
	do     func()
}

// step draws one action among those that are possible.
func (wo *simulator) step() {
	actions := []action{{4, wo.advance}, {3, wo.newSend}, {1, wo.restartGuard}, {1, wo.loseTarget}, {1, wo.crashEntry}, {2, wo.hello}, {1, wo.sweep}}
	if len(wo.net) > 0 {
		actions = append(actions, action{12, wo.deliver}, action{2, wo.dropMessage}, action{1, wo.misdeliver})
	}
	if len(wo.sends) > 0 {
		actions = append(actions, action{4, wo.cut}, action{8, wo.dispatch})
	}
	actions = append(actions, action{8, wo.commit}, action{8, wo.finish})
	total := 0
	for _, ac := range actions {
		total += ac.weight
	}
	pick := wo.draw("action", total)
	for _, ac := range actions {
		if pick -= ac.weight; pick < 0 {
			ac.do()
			break
		}
	}
	wo.check()
}

func (wo *simulator) advance() {
	wo.now = wo.now.Add(time.Duration(1+wo.draw("millis", 60)) * time.Millisecond)
}

func (wo *simulator) newSend() {
	if len(wo.sends) < modelMaxSends && wo.draw("fresh", 2) == 0 {
		kind := wo.draw("kind", 3)
		ca := &call{number: len(wo.calls), idempotent: kind == 0, keyed: kind == 1, first: wo.now}
		wo.calls = append(wo.calls, ca)
		wo.sendCall(ca)
		return
	}
	var again []*call
	for _, ca := range wo.calls {
		if ca.keyed && !ca.answered && wo.now.Sub(ca.first) < modelHold-modelStartWithin-modelTimeout {
			again = append(again, ca)
		}
	}
	if len(again) > 0 && len(wo.sends) < modelMaxSends {
		wo.sendCall(again[wo.draw("again", len(again))])
	}
}

func (wo *simulator) sendCall(ca *call) {
	se := &send{
		number: len(wo.sends), call: ca, entry: wo.draw("entry", modelEntries), phase: pending,
		plan: retry.Plan{
			Idempotent: ca.idempotent, Pinned: ca.keyed, AttemptsLeft: 2, SettlesLeft: 2, ResendsLeft: 3,
			Deadline: wo.now.Add(modelTimeout),
		},
	}
	se.key = ca.key()
	if se.key == "" && !ca.idempotent {
		se.key = fmt.Sprintf("send-%d", se.number)
	}
	ca.open++
	wo.sends = append(wo.sends, se)
}

func (wo *simulator) pickSend(phase sendPhase) *send {
	var found []*send
	for _, se := range wo.sends {
		if se.phase == phase {
			found = append(found, se)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[wo.draw("send", len(found))]
}

// dispatch sends an attempt of a request that waits for one.
func (wo *simulator) dispatch() {
	se := wo.pickSend(pending)
	if se == nil {
		return
	}
	if !se.reattach {
		se.guard = wo.chooseGuard(se)
	}
	se.reattach = false
	wo.nextID++
	se.id = core.AttemptID{byte(wo.nextID), byte(wo.nextID >> 8)}
	se.inc = wo.known[se.entry][se.guard]
	se.phase = attempting
	se.until = wo.now.Add(modelStartWithin)
	if se.plan.Deadline.Before(se.until) { // as entry.startBy has it
		se.until = se.plan.Deadline
	}
	wo.net = append(wo.net, message{
		kind: dispatchMessage, send: se, guard: se.guard, id: se.id, inc: se.inc,
		until: se.until, key: se.key, idem: se.call.idempotent,
		fresh: !se.call.keyed && !se.plan.InDoubt(), number: se.call.number,
	})
}

func (wo *simulator) chooseGuard(se *send) int {
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
		return wo.draw("guard", modelGuards)
	}
	return free[wo.draw("guard", len(free))]
}

func (wo *simulator) takeMessage() message {
	at := wo.draw("message", len(wo.net))
	me := wo.net[at]
	wo.net = slices.Delete(wo.net, at, at+1)
	return me
}

func (wo *simulator) dropMessage() { wo.takeMessage() }

func (wo *simulator) deliver() {
	me := wo.takeMessage()
	wo.tracef("deliver %s of call %d id %x guard %d err %v state %s", me.kind, me.send.call.number, me.id[0], me.guard, me.err, me.state)
	switch me.kind {
	case dispatchMessage:
		wo.arrive(me)
	case settleMessage:
		wo.settle(me)
	case replyMessage:
		wo.reply(me, me.send)
	case settledMessage:
		if me.send.phase == asking && me.send.id == me.id {
			wo.report(me.send, retry.Report{Event: retry.Settled, State: string(me.state)})
		}
	}
}

// misdeliver brings a reply to a send that it was not meant for.
func (wo *simulator) misdeliver() {
	me := wo.takeMessage()
	se := wo.pickSend(attempting)
	if me.kind == replyMessage && se != nil {
		wo.reply(me, se)
	}
}

// check looks for a broken promise.
func (wo *simulator) check() {
	for _, ca := range wo.calls {
		if !ca.idempotent && ca.runs > 1 {
			wo.violation = fmt.Sprintf("call %d ran %d times", ca.number, ca.runs)
		}
		if ca.notRun && ca.runs > 0 {
			wo.violation = fmt.Sprintf("call %d was refused as not run and ran", ca.number)
		}
	}
}

// drain delivers all that is still under way, much later, and lets all
// runs end.
func (wo *simulator) drain() {
	wo.now = wo.now.Add(modelGrace * 2)
	wo.sweep()
	for range 500 {
		if len(wo.net) > 0 {
			wo.deliver()
		}
		wo.dispatch()
		wo.commit()
		wo.finish()
		wo.check()
	}
}

// simulate runs the model and returns the broken promise, if any.
func simulate(mu mutant, steps int, draw chooser) (fault string) {
	wo := newSimulator(mu, draw)
	for range steps {
		wo.step()
		if wo.violation != "" {
			return wo.violation
		}
	}
	wo.drain()
	return wo.violation
}
