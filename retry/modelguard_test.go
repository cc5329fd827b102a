package retry_test

import (
	"fmt"
	"slices"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
)

func (sm *simulator) arrive(me message) {
	gu := sm.guards[me.guard]
	ti := fence.Ticket{
		ID: me.id, Incarnation: me.inc, Deadline: me.until, Key: me.key, KeyHold: modelHold,
		Digest: uint64(me.number), Idempotent: me.idem, Fresh: me.fresh,
	}
	if sm.mutant.noKeys {
		ti.Key = ""
	}
	now := sm.now
	if sm.mutant.noDeadline {
		ti.Deadline = sm.now.Add(time.Hour)
	}
	ad, stored, er := gu.table.Begin(now, ti)
	switch {
	case er != nil:
		sm.answer(me, er)
	case ad == fence.Run:
		gu.runs = append(gu.runs, &running{msg: me})
	case ad == fence.Join:
		for _, ru := range gu.runs {
			if ru.msg.key == me.key {
				ru.waiters = append(ru.waiters, me)
			}
		}
	default:
		me.number = stored.(int)
		sm.answer(me, nil)
	}
}

func (sm *simulator) answer(me message, er *core.Error) {
	me.kind, me.err = replyMessage, er
	sm.net = append(sm.net, me)
}

// commit sends the first byte of an admitted attempt to the target.
func (sm *simulator) commit() {
	gu := sm.guards[sm.draw("guard", modelGuards)]
	for at, ru := range gu.runs {
		if ru.committed {
			continue
		}
		now := sm.now
		if sm.mutant.noCommit {
			now = time.Unix(0, 0)
		}
		if er := gu.table.Commit(now, ru.msg.id); er != nil {
			gu.runs = slices.Delete(gu.runs, at, at+1)
			sm.answer(ru.msg, er)
			sm.rejoinWaiters(ru)
			return
		}
		ru.committed = true
		if !sm.mutant.noDeadline && !sm.now.Before(ru.msg.until) {
			sm.violation = fmt.Sprintf("call %d started after its deadline", ru.msg.number)
		}
		sm.tracef("commit call %d id %x", ru.msg.number, ru.msg.id[0])
		sm.calls[ru.msg.number].runs++
		return
	}
}

// rejoinWaiters passes the attempts that waited for a run to the table again.
func (sm *simulator) rejoinWaiters(ru *running) {
	for _, me := range ru.waiters {
		sm.arrive(me)
	}
}

func (sm *simulator) finish() { sm.endRun(sm.draw("guard", modelGuards), fence.Done) }

func (sm *simulator) endRun(guard int, oc fence.Outcome) {
	gu := sm.guards[guard]
	for at, ru := range gu.runs {
		if !ru.committed {
			continue
		}
		gu.runs = slices.Delete(gu.runs, at, at+1)
		if oc == fence.Done {
			gu.table.Finish(sm.now, ru.msg.id, oc, ru.msg.number, 1)
			sm.answer(ru.msg, nil)
		} else {
			gu.table.Finish(sm.now, ru.msg.id, oc, nil, 0)
			sm.answer(ru.msg, core.InDoubt(core.CodeTargetLost, "lost"))
		}
		sm.rejoinWaiters(ru)
		return
	}
}

// loseTarget kills a target with all its runs.
func (sm *simulator) loseTarget() {
	guard := sm.draw("guard", modelGuards)
	sm.tracef("target %d dies", guard)
	for range len(sm.guards[guard].runs) {
		sm.endRun(guard, fence.Lost)
	}
}

// restartGuard kills a guard, or restarts it as planned if nothing runs. The runs
// that were committed to the target continue without it.
func (sm *simulator) restartGuard() {
	at := sm.draw("guard", modelGuards)
	gu := sm.guards[at]
	planned := len(gu.runs) == 0 && sm.draw("planned", 2) == 0 && !sm.now.Before(gu.table.QuarantineUntil)
	raw, err := gu.table.Pack()
	sm.resetTable(at)
	sm.tracef("guard %d restarts, planned %v", at, planned)
	if planned && err == nil {
		if err := gu.table.Restore(raw); err != nil {
			sm.violation = err.Error()
		}
	}
}

func (sm *simulator) crashEntry() {
	entry := sm.draw("entry", modelEntries)
	for _, se := range sm.sends {
		if se.entry == entry && se.phase != ended {
			se.phase = ended
			se.call.open--
		}
	}
}

func (sm *simulator) sweep() {
	for _, gu := range sm.guards {
		gu.table.Sweep(sm.now, 1000)
	}
}

func (sm *simulator) hello() {
	en, gu := sm.draw("entry", modelEntries), sm.draw("guard", modelGuards)
	sm.known[en][gu] = sm.guards[gu].table.Incarnation
}
