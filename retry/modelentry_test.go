package retry_test

import (
	"fmt"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/retry"
)

// cut ends an attempt at its entry while its messages may be under way, or
// gives up waiting for the answer to a settle question.
func (wo *simulator) cut() {
	if se := wo.pickSend(asking); se != nil && wo.draw("asking", 2) == 0 {
		wo.report(se, retry.Report{Event: retry.Unsettled})
		return
	}
	if se := wo.pickSend(attempting); se != nil {
		se.tried = append(se.tried, se.guard)
		wo.report(se, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "cut")})
	}
}

func (wo *simulator) settle(me message) {
	gu := wo.guards[me.guard]
	table := &gu.table
	if wo.mutant.noTombstone {
		table = &fence.Table{Incarnation: gu.table.Incarnation, Grace: modelGrace}
		if gu.table.HasAttempt(me.id) {
			table = &gu.table
		}
	}
	me.state = table.Settle(wo.now, me.id, me.inc, me.until)
	me.kind = settledMessage
	wo.net = append(wo.net, me)
}

// reply takes a reply in at an entry as the frames of an attempt are: one that
// names another attempt ends the stream as cut.
func (wo *simulator) reply(me message, se *send) {
	if se.phase != attempting {
		return
	}
	switch {
	case me.id != se.id && me.send == se:
		return // late: its stream is closed
	case me.id != se.id:
		wo.report(se, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "crossed")})
	case me.err != nil:
		if me.err.Code == core.CodeOldIncarnation {
			wo.known[se.entry][se.guard] = wo.guards[se.guard].table.Incarnation
		}
		wo.report(se, retry.Report{Event: retry.Refused, Error: me.err})
	default:
		wo.end(se, nil, me.number)
	}
}

// report asks the plan what follows, and does it.
func (wo *simulator) report(se *send, re retry.Report) {
	if wo.mutant.noSettle && re.Event == retry.Cut && !se.call.idempotent {
		re = retry.Report{Event: retry.Settled, State: string(fence.Forbidden)}
	}
	next := se.plan.Next(wo.now, re, func() bool { return true })
	wo.tracef("call %d at guard %d: %s %v %s -> %s %v", se.call.number, se.guard, re.Event, re.Error, re.State, next.Action, next.Error)
	switch next.Action {
	case retry.Finish:
		wo.end(se, next.Error, 0)
	case retry.Settle:
		se.phase = asking
		until := se.until
		if wo.mutant.lateSettle {
			until = wo.now.Add(modelStartWithin)
		}
		wo.net = append(wo.net, message{
			kind: settleMessage, send: se, guard: se.guard, id: se.id, inc: se.inc, until: until,
		})
	case retry.Attach:
		se.phase, se.reattach = pending, true
	case retry.SameTarget, retry.OtherTarget:
		se.phase = pending
	}
}

// end gives the caller the final answer.
func (wo *simulator) end(se *send, er *core.Error, number int) {
	se.phase = ended
	ca := se.call
	ca.open--
	switch {
	case er == nil && number != ca.number:
		wo.violation = fmt.Sprintf("call %d got the answer of call %d", ca.number, number)
	case er == nil:
		ca.answered = true
		if ca.runs == 0 {
			wo.violation = fmt.Sprintf("call %d was answered and never ran", ca.number)
		}
	case er.Verdict == core.NotRun && !ca.keyed:
		ca.notRun = true
	}
}
