package retry_test

import (
	"fmt"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/retry"
)

// cut ends an attempt at its entry while its messages may be under way, or
// gives up waiting for the answer to a settle question.
func (wo *world) cut() {
	if se := wo.pickSend(asking); se != nil && wo.draw("asking", 2) == 0 {
		wo.report(se, retry.Report{Event: retry.Unsettled})
		return
	}
	if se := wo.pickSend(attempting); se != nil {
		se.tried = append(se.tried, se.guard)
		wo.report(se, retry.Report{Event: retry.Cut, Error: core.InDoubt(core.CodeAnswerCut, "cut")})
	}
}

func (wo *world) settle(me message) {
	gu := wo.guards[me.guard]
	table := &gu.table
	if wo.mutant.noTombstone {
		table = &fence.Table{Incarnation: gu.table.Incarnation, Grace: modelGrace}
		if gu.table.Known(me.id) {
			table = &gu.table
		}
	}
	me.state = table.Settle(wo.now, me.id, me.inc, me.until)
	me.kind = settledMessage
	wo.net = append(wo.net, me)
}

// reply takes a reply in at an entry as the frames of an attempt are: one that
// names another attempt ends the stream as cut.
func (wo *world) reply(me message, se *send) {
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
func (wo *world) report(se *send, re retry.Report) {
	if wo.mutant.noSettle && re.Event == retry.Cut && !se.call.idempotent {
		re = retry.Report{Event: retry.Settled, State: string(fence.Forbidden)}
	}
	next := se.plan.Next(wo.now, re, func() bool { return true })
	wo.tell("call %d at guard %d: %s %v %s -> %s %v", se.call.number, se.guard, re.Event, re.Error, re.State, next.Move, next.Error)
	switch next.Move {
	case retry.Finish:
		wo.end(se, next.Error, 0)
	case retry.Ask:
		se.phase = asking
		until := se.until
		if wo.mutant.lateSettle {
			until = wo.now.Add(modelStartWithin)
		}
		wo.net = append(wo.net, message{
			kind: settleMessage, send: se, guard: se.guard, id: se.id, inc: se.inc, until: until,
		})
	case retry.Attach:
		se.phase, se.again = placing, true
	case retry.Again, retry.Elsewhere:
		se.phase = placing
	}
}

// end gives the caller the final answer.
func (wo *world) end(se *send, er *core.Error, number int) {
	se.phase = over
	ca := se.call
	ca.open--
	switch {
	case er == nil && number != ca.number:
		wo.fault = fmt.Sprintf("call %d got the answer of call %d", ca.number, number)
	case er == nil:
		ca.answered = true
		if ca.runs == 0 {
			wo.fault = fmt.Sprintf("call %d was answered and never ran", ca.number)
		}
	case er.Verdict == core.NotRun && !ca.keyed:
		ca.notRun = true
	}
}
