package retry_test

import (
	"fmt"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/retry"
)

// cut ends an attempt at its entry while its messages may be in flight, or ends the
// wait for the answer to a settle query.
func (sm *simulator) cut() {
	if se := sm.pickSend(settling); se != nil && sm.draw("asking", 2) == 0 {
		sm.report(se, retry.Report{Event: retry.Unsettled})
		return
	}
	if se := sm.pickSend(attempting); se != nil {
		se.tried = append(se.tried, se.guard)
		sm.report(se, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "cut")})
	}
}

func (sm *simulator) settle(me message) {
	gu := sm.guards[me.guard]
	table := &gu.table
	if sm.mutant.noTombstone {
		table = &fence.Table{Incarnation: gu.table.Incarnation, Grace: modelGrace}
		if gu.table.HasAttempt(me.id) {
			table = &gu.table
		}
	}
	me.state = table.Settle(sm.now, me.id, me.inc, me.until)
	me.kind = settledMessage
	sm.net = append(sm.net, me)
}

// reply handles a reply at an entry as the entry handles the frames of an attempt:
// a reply that names another attempt ends the stream as cut.
func (sm *simulator) reply(me message, se *send) {
	if se.phase != attempting {
		return
	}
	switch {
	case me.id != se.id && me.send == se:
		return // late: its stream is closed
	case me.id != se.id:
		sm.report(se, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "crossed")})
	case me.err != nil:
		if me.err.Code == core.CodeOldIncarnation {
			sm.known[se.entry][se.guard] = sm.guards[se.guard].table.Incarnation
		}
		sm.report(se, retry.Report{Event: retry.Refused, Error: me.err})
	default:
		sm.end(se, nil, me.number)
	}
}

// report passes a report to the plan and executes the next action.
func (sm *simulator) report(se *send, re retry.Report) {
	if sm.mutant.noSettle && re.Event == retry.Cut && !se.call.idempotent {
		re = retry.Report{Event: retry.Settled, State: string(fence.Forbidden)}
	}
	next := se.plan.Next(sm.now, re, func() bool { return true })
	sm.tracef("call %d at guard %d: %s %v %s -> %s %v", se.call.number, se.guard, re.Event, re.Error, re.State, next.Action, next.Error)
	switch next.Action {
	case retry.Finish:
		sm.end(se, next.Error, 0)
	case retry.Settle:
		se.phase = settling
		until := se.until
		if sm.mutant.lateSettle {
			until = sm.now.Add(modelStartWithin)
		}
		sm.net = append(sm.net, message{
			kind: settleMessage, send: se, guard: se.guard, id: se.id, inc: se.inc, until: until,
		})
	case retry.Attach:
		se.phase, se.reattach = pending, true
	case retry.SameTarget, retry.OtherTarget:
		se.phase = pending
	}
}

// end records the final answer to the caller.
func (sm *simulator) end(se *send, er *core.Error, number int) {
	se.phase = ended
	ca := se.call
	ca.open--
	switch {
	case er == nil && number != ca.number:
		sm.violation = fmt.Sprintf("call %d got the answer of call %d", ca.number, number)
	case er == nil:
		ca.answered = true
		if ca.runs == 0 {
			sm.violation = fmt.Sprintf("call %d was answered and never ran", ca.number)
		}
	case er.Verdict == core.NotRun && !ca.keyed:
		ca.notRun = true
	}
}
