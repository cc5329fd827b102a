package guard

import (
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/loan"
	"bilberryshelf/wire"
)

// admission is what the loop decides on a dispatch.
type admission struct {
	pass   fence.Admission
	run    *run
	answer *answer
	err    *core.Error
}

// admit decides on a dispatch. It runs on the loop.
//
// A key that is known is answered from the table whatever the state of loan
// and target, since its run is over or paid for. Anything else must pass the
// state of the target, the revision of the configuration, the loan, and the
// limits, before the table records it.
func (gu *Guard) admit(req *wire.DispatchRequest, id core.AttemptID) admission {
	now := gu.clock.Now()
	gu.table.Sweep(now, sweepFew)
	ti := gu.ticket(req, id)
	known := ti.Key != "" && gu.table.HasKey(ti.Key)
	if !known {
		if er := gu.mayRun(now, req); er != nil {
			return admission{err: er}
		}
	}
	pass, kept, er := gu.table.Begin(now, ti)
	if er != nil {
		return admission{err: er}
	}
	switch pass {
	case fence.Join:
		return admission{pass: pass, run: gu.byKey[ti.Key]}
	case fence.Replay:
		return admission{pass: pass, answer: kept.(*answer)}
	}
	return admission{pass: pass, run: gu.enter(now, req, ti)}
}

func (gu *Guard) ticket(req *wire.DispatchRequest, id core.AttemptID) fence.Ticket {
	hold := min(time.Duration(req.KeyHoldNanos), gu.settings.Timing.KeyHold.Std())
	return fence.Ticket{
		ID: id, Incarnation: req.Incarnation, Deadline: time.Unix(0, req.DeadlineNanos),
		Key: req.Key, KeyHold: hold, Digest: req.Digest, Idempotent: req.Idempotent, Fresh: req.Fresh,
	}
}

func (gu *Guard) mayRun(now time.Time, req *wire.DispatchRequest) *core.Error {
	if er := gu.mayServe(req); er != nil {
		return er
	}
	lo, share, found := gu.slice.Find(req.Loan)
	if !found {
		return core.Refuse(core.CodeNoLoan, "loan %q does not cover this target", req.Loan)
	}
	if er := gu.mayUse(now, lo); er != nil {
		return er
	}
	if share < 0 || (share > 0 && gu.perLoan[lo.ID] >= share) {
		return core.Refuse(core.CodeLoanLimit, "the lender's limit on loan %s is reached here", lo.ID).WithRetryAfter(gu.refill(now))
	}
	return gu.hasRoom(now, req.Alone)
}

func (gu *Guard) mayServe(req *wire.DispatchRequest) *core.Error {
	switch {
	case gu.phase == core.Draining:
		return core.Refuse(core.CodeDraining, "the target is leaving")
	case !gu.hasSlice:
		return core.Refuse(core.CodeNotReady, "the guard has no configuration yet")
	case !gu.targetUp:
		return core.Refuse(core.CodeTargetDown, "the target does not answer")
	case req.Revision < gu.slice.Revision:
		return &core.Error{
			Verdict: core.NotRun, Code: core.CodeStaleRevision, Revision: gu.slice.Revision,
			Text: "the sender's configuration is older than the guard's",
		}
	case req.Revision > gu.slice.Revision:
		return core.Refuse(core.CodeNotReady, "the guard's configuration is older than the sender's")
	}
	return nil
}

// mayUse checks the loan's span, and its rule for a guard that is cut off: an
// early recall cannot reach it.
func (gu *Guard) mayUse(now time.Time, lo loan.Loan) *core.Error {
	if lo.CutOff == loan.RefuseNewWork && now.Sub(gu.contact) > gu.settings.Timing.LostContact.Std() {
		return core.Refuse(core.CodeNoLoan, "loan %s stops while the guard hears from no entry", lo.ID)
	}
	return lo.Admit(now, gu.workOf(lo.ID).LeadTime(), gu.settings.Timing.ClockSkew.Std())
}

// workOf is what was seen of the work under a loan.
func (gu *Guard) workOf(id string) *loan.LeadEstimator {
	wo := gu.work[id]
	if wo == nil {
		wo = &loan.LeadEstimator{}
		gu.work[id] = wo
	}
	return wo
}

// aloneHold is how long places are kept free for a request that must run
// alone, counted from its last try.
const aloneHold = 2 * time.Second

func (gu *Guard) hasRoom(now time.Time, alone bool) *core.Error {
	crowded := len(gu.running) >= gu.settings.Limits.Capacity
	if alone && len(gu.running) > 0 {
		gu.reserved = now.Add(aloneHold)
		crowded = true
	}
	if !alone && (now.Before(gu.reserved) || gu.alone != core.AttemptID{}) {
		crowded = true
	}
	if !crowded {
		return nil
	}
	return core.Refuse(core.CodeFull, "the target is full").WithRetryAfter(gu.refill(now))
}

const (
	// refillFloor is the shortest time to come back.
	refillFloor = 20 * time.Millisecond
	// refillCeiling is the longest.
	refillCeiling = 10 * time.Second
)

// refill is the mean time between two finished requests.
func (gu *Guard) refill(now time.Time) time.Duration {
	rate := gu.finished.PerSecond(now)
	if rate <= 0 {
		return refillCeiling / 10
	}
	return min(max(time.Duration(float64(time.Second)/rate), refillFloor), refillCeiling)
}

// enter records a run that was let through.
func (gu *Guard) enter(now time.Time, req *wire.DispatchRequest, ti fence.Ticket) *run {
	ru := &run{
		id: ti.ID, key: ti.Key, loan: req.Loan, digest: req.Digest, alone: req.Alone,
		sample: req.Sample, started: now, done: make(chan struct{}),
	}
	if req.Sample {
		ru.labels = gu.loaded.labels()
	}
	gu.running[ti.ID] = ru
	gu.perLoan[req.Loan]++
	if ti.Key != "" {
		gu.byKey[ti.Key] = ru
	}
	if req.Alone {
		gu.alone, gu.reserved = ti.ID, time.Time{}
	}
	return ru
}

// finish records how a run ended. It runs on the loop.
func (gu *Guard) finish(ru *run, oc fence.Outcome, an *answer) {
	now := gu.clock.Now()
	var (
		kept any
		size int
	)
	if an != nil && ru.key != "" {
		kept, size = an, an.size()
	}
	gu.table.Finish(now, ru.id, oc, kept, size)
	delete(gu.running, ru.id)
	delete(gu.byKey, ru.key)
	if gu.perLoan[ru.loan]--; gu.perLoan[ru.loan] <= 0 {
		delete(gu.perLoan, ru.loan)
	}
	if gu.alone == ru.id {
		gu.alone = core.AttemptID{}
	}
	if oc == fence.Done {
		gu.finished.Add(now)
		gu.workOf(ru.loan).Observe(now.Sub(ru.started))
	}
	close(ru.done)
}
