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
	modelPatience    = 250 * time.Millisecond
	modelGuards      = 3
	modelEntries     = 2
	modelMostSends   = 6
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
	placing    sendPhase = "placing"
	attempting sendPhase = "attempting"
	asking     sendPhase = "asking"
	over       sendPhase = "over"
)

// send is one send of a call at an entry.
type send struct {
	number int
	call   *call
	entry  int
	plan   retry.Plan
	phase  sendPhase
	guard  int
	again  bool
	tried  []int
	id     core.AttemptID
	inc    uint64
	key    string
	until  time.Time
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
	state  fence.Settled
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

type world struct {
	mutant  mutant
	draw    chooser
	now     time.Time
	calls   []*call
	sends   []*send
	guards  []*guardModel
	known   [modelEntries][modelGuards]uint64
	net     []message
	nextID  uint64
	nextInc uint64
	fault   string
	trace   func(format string, args ...any)
}

// origin is the time at which the model starts.
var origin = time.Unix(1000, 0)

func (wo *world) tell(format string, args ...any) {
	if wo.trace != nil {
		wo.trace(format, args...)
	}
}

func newWorld(mu mutant, draw chooser) *world {
	wo := &world{mutant: mu, draw: draw, now: origin}
	for at := range modelGuards {
		wo.guards = append(wo.guards, &guardModel{})
		wo.freshTable(at)
		wo.guards[at].table.Quarantine = time.Time{}
	}
	for en := range wo.known {
		for gu := range wo.known[en] {
			wo.known[en][gu] = wo.guards[gu].table.Incarnation
		}
	}
	return wo
}

func (wo *world) freshTable(at int) {
	wo.nextInc++
	gu := wo.guards[at]
	gu.started = wo.now
	gu.table = fence.Table{Incarnation: wo.nextInc, Grace: modelGrace, Space: 1000, Quarantine: wo.now.Add(modelHold)}
	if wo.mutant.noQuarantine {
		gu.table.Quarantine = time.Time{}
	}
	gu.runs = nil
}

type action struct {
	weight int
	do     func()
}

// step draws one action among those that are possible.
func (wo *world) step() {
	actions := []action{{4, wo.advance}, {3, wo.newSend}, {1, wo.restartGuard}, {1, wo.loseTarget}, {1, wo.crashEntry}, {2, wo.hello}, {1, wo.sweep}}
	if len(wo.net) > 0 {
		actions = append(actions, action{12, wo.deliver}, action{2, wo.lose}, action{1, wo.cross})
	}
	if len(wo.sends) > 0 {
		actions = append(actions, action{4, wo.cut}, action{8, wo.place})
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

func (wo *world) advance() {
	wo.now = wo.now.Add(time.Duration(1+wo.draw("millis", 60)) * time.Millisecond)
}

func (wo *world) newSend() {
	if len(wo.sends) < modelMostSends && wo.draw("fresh", 2) == 0 {
		kind := wo.draw("kind", 3)
		ca := &call{number: len(wo.calls), idempotent: kind == 0, keyed: kind == 1, first: wo.now}
		wo.calls = append(wo.calls, ca)
		wo.sendCall(ca)
		return
	}
	var again []*call
	for _, ca := range wo.calls {
		if ca.keyed && !ca.answered && wo.now.Sub(ca.first) < modelHold-modelStartWithin-modelPatience {
			again = append(again, ca)
		}
	}
	if len(again) > 0 && len(wo.sends) < modelMostSends {
		wo.sendCall(again[wo.draw("again", len(again))])
	}
}

func (wo *world) sendCall(ca *call) {
	se := &send{
		number: len(wo.sends), call: ca, entry: wo.draw("entry", modelEntries), phase: placing,
		plan: retry.Plan{
			Idempotent: ca.idempotent, Home: ca.keyed, Left: 2, Asks: 2, Looks: 3,
			Deadline: wo.now.Add(modelPatience),
		},
	}
	se.key = ca.key()
	if se.key == "" && !ca.idempotent {
		se.key = fmt.Sprintf("send-%d", se.number)
	}
	ca.open++
	wo.sends = append(wo.sends, se)
}

func (wo *world) pickSend(phase sendPhase) *send {
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

// place sends an attempt of a request that waits for one.
func (wo *world) place() {
	se := wo.pickSend(placing)
	if se == nil {
		return
	}
	if !se.again {
		se.guard = wo.choose(se)
	}
	se.again = false
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

func (wo *world) choose(se *send) int {
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

func (wo *world) take() message {
	at := wo.draw("message", len(wo.net))
	me := wo.net[at]
	wo.net = slices.Delete(wo.net, at, at+1)
	return me
}

func (wo *world) lose() { wo.take() }

func (wo *world) deliver() {
	me := wo.take()
	wo.tell("deliver %s of call %d id %x guard %d err %v state %s", me.kind, me.send.call.number, me.id[0], me.guard, me.err, me.state)
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

// cross brings a reply to a send that it was not meant for.
func (wo *world) cross() {
	me := wo.take()
	se := wo.pickSend(attempting)
	if me.kind == replyMessage && se != nil {
		wo.reply(me, se)
	}
}

// check looks for a broken promise.
func (wo *world) check() {
	for _, ca := range wo.calls {
		if !ca.idempotent && ca.runs > 1 {
			wo.fault = fmt.Sprintf("call %d ran %d times", ca.number, ca.runs)
		}
		if ca.notRun && ca.runs > 0 {
			wo.fault = fmt.Sprintf("call %d was refused as not run and ran", ca.number)
		}
	}
}

// settleDown delivers all that is still under way, much later, and lets all
// runs end.
func (wo *world) settleDown() {
	wo.now = wo.now.Add(modelGrace * 2)
	wo.sweep()
	for range 500 {
		if len(wo.net) > 0 {
			wo.deliver()
		}
		wo.place()
		wo.commit()
		wo.finish()
		wo.check()
	}
}

// play runs the model and returns the broken promise, if any.
func play(mu mutant, steps int, draw chooser) (fault string) {
	wo := newWorld(mu, draw)
	for range steps {
		wo.step()
		if wo.fault != "" {
			return wo.fault
		}
	}
	wo.settleDown()
	return wo.fault
}
