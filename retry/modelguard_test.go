package retry_test

import (
	"fmt"
	"slices"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
)

func (wo *simulator) arrive(me message) {
	gu := wo.guards[me.guard]
	ti := fence.Ticket{
		ID: me.id, Incarnation: me.inc, Deadline: me.until, Key: me.key, KeyHold: modelHold,
		Digest: uint64(me.number), Idempotent: me.idem, Fresh: me.fresh,
	}
	if wo.mutant.noKeys {
		ti.Key = ""
	}
	now := wo.now
	if wo.mutant.noDeadline {
		ti.Deadline = wo.now.Add(time.Hour)
	}
	pass, kept, er := gu.table.Begin(now, ti)
	switch {
	case er != nil:
		wo.answer(me, er)
	case pass == fence.Run:
		gu.runs = append(gu.runs, &running{msg: me})
	case pass == fence.Join:
		for _, ru := range gu.runs {
			if ru.msg.key == me.key {
				ru.waiters = append(ru.waiters, me)
			}
		}
	default:
		me.number = kept.(int)
		wo.answer(me, nil)
	}
}

func (wo *simulator) answer(me message, er *core.Error) {
	me.kind, me.err = replyMessage, er
	wo.net = append(wo.net, me)
}

// commit lets an admitted attempt give its first byte to the target.
func (wo *simulator) commit() {
	gu := wo.guards[wo.draw("guard", modelGuards)]
	for at, ru := range gu.runs {
		if ru.committed {
			continue
		}
		now := wo.now
		if wo.mutant.noCommit {
			now = time.Unix(0, 0)
		}
		if er := gu.table.Commit(now, ru.msg.id); er != nil {
			gu.runs = slices.Delete(gu.runs, at, at+1)
			wo.answer(ru.msg, er)
			wo.rejoinWaiters(ru)
			return
		}
		ru.committed = true
		if !wo.mutant.noDeadline && !wo.now.Before(ru.msg.until) {
			wo.violation = fmt.Sprintf("call %d started after its deadline", ru.msg.number)
		}
		wo.tracef("commit call %d id %x", ru.msg.number, ru.msg.id[0])
		wo.calls[ru.msg.number].runs++
		return
	}
}

// rejoinWaiters asks the table again for those who waited for a run.
func (wo *simulator) rejoinWaiters(ru *running) {
	for _, me := range ru.waiters {
		wo.arrive(me)
	}
}

func (wo *simulator) finish() { wo.endRun(wo.draw("guard", modelGuards), fence.Done) }

func (wo *simulator) endRun(guard int, oc fence.Outcome) {
	gu := wo.guards[guard]
	for at, ru := range gu.runs {
		if !ru.committed {
			continue
		}
		gu.runs = slices.Delete(gu.runs, at, at+1)
		if oc == fence.Done {
			gu.table.Finish(wo.now, ru.msg.id, oc, ru.msg.number, 1)
			wo.answer(ru.msg, nil)
		} else {
			gu.table.Finish(wo.now, ru.msg.id, oc, nil, 0)
			wo.answer(ru.msg, core.InDoubt(core.CodeTargetLost, "lost"))
		}
		wo.rejoinWaiters(ru)
		return
	}
}

// loseTarget kills a target with all that runs on it.
func (wo *simulator) loseTarget() {
	guard := wo.draw("guard", modelGuards)
	wo.tracef("target %d dies", guard)
	for range len(wo.guards[guard].runs) {
		wo.endRun(guard, fence.Lost)
	}
}

// restartGuard kills a guard, or lets it leave in order if nothing runs. The
// runs that the target has been given go on without it.
func (wo *simulator) restartGuard() {
	at := wo.draw("guard", modelGuards)
	gu := wo.guards[at]
	planned := len(gu.runs) == 0 && wo.draw("planned", 2) == 0 && !wo.now.Before(gu.table.QuarantineUntil)
	raw, err := gu.table.Pack()
	wo.resetTable(at)
	wo.tracef("guard %d restarts, planned %v", at, planned)
	if planned && err == nil {
		if err := gu.table.Restore(raw); err != nil {
			wo.violation = err.Error()
		}
	}
}

func (wo *simulator) crashEntry() {
	entry := wo.draw("entry", modelEntries)
	for _, se := range wo.sends {
		if se.entry == entry && se.phase != ended {
			se.phase = ended
			se.call.open--
		}
	}
}

func (wo *simulator) sweep() {
	for _, gu := range wo.guards {
		gu.table.Sweep(wo.now, 1000)
	}
}

func (wo *simulator) hello() {
	en, gu := wo.draw("entry", modelEntries), wo.draw("guard", modelGuards)
	wo.known[en][gu] = wo.guards[gu].table.Incarnation
}
