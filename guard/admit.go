package guard

import (
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/loan"
	"bilberryshelf/wire"
)

// decision is what the loop decides on a dispatch.
type decision struct {
	admission fence.Admission
	run       *run
	answer    *answer
	err       *core.Error
}

// admit decides on a dispatch. It runs on the loop.
//
// A key that is known is answered from the table whatever the state of loan
// and target, since its run is over or paid for. Anything else must pass the
// state of the target, the revision of the configuration, the loan, and the
// limits, before the table records it.
func (gu *Guard) admit(req *wire.DispatchRequest, id core.AttemptID) decision {
	now := gu.clock.Now()
	gu.table.Sweep(now, admitSweep)
	ti := gu.newTicket(req, id)
	known := ti.Key != "" && gu.table.HasKey(ti.Key)
	if !known {
		if er := gu.checkNewRun(now, req); er != nil {
			return decision{err: er}
		}
	}
	pass, kept, er := gu.table.Begin(now, ti)
	if er != nil {
		return decision{err: er}
	}
	switch pass {
	case fence.Join:
		return decision{admission: pass, run: gu.byKey[ti.Key]}
	case fence.Replay:
		return decision{admission: pass, answer: kept.(*answer)}
	}
	return decision{admission: pass, run: gu.startRun(now, req, ti)}
}

func (gu *Guard) newTicket(req *wire.DispatchRequest, id core.AttemptID) fence.Ticket {
	hold := min(time.Duration(req.KeyHoldNanos), gu.settings.Timing.KeyHold.Std())
	return fence.Ticket{
		ID: id, Incarnation: req.Incarnation, Deadline: time.Unix(0, req.DeadlineNanos),
		Key: req.Key, KeyHold: hold, Digest: req.Digest, Idempotent: req.Idempotent, Fresh: req.Fresh,
	}
}

func (gu *Guard) checkNewRun(now time.Time, req *wire.DispatchRequest) *core.Error {
	if er := gu.checkState(req); er != nil {
		return er
	}
	lo, share, found := gu.slice.Find(req.Loan)
	if !found {
		return core.Refuse(core.CodeNoLoan, "loan %q does not cover this target", req.Loan)
	}
	if er := gu.checkLoan(now, lo); er != nil {
		return er
	}
	if share < 0 || (share > 0 && gu.runsPerLoan[lo.ID] >= share) {
		return core.Refuse(core.CodeLoanLimit, "the lender's limit on loan %s is reached here", lo.ID).WithRetryAfter(gu.retryAfter(now))
	}
	return gu.checkCapacity(now, req.Alone)
}

func (gu *Guard) checkState(req *wire.DispatchRequest) *core.Error {
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

// checkLoan checks the loan's span, and its rule for a guard that is cut off: an
// early recall cannot reach it.
func (gu *Guard) checkLoan(now time.Time, lo loan.Loan) *core.Error {
	if lo.CutOff == loan.RefuseNewWork && now.Sub(gu.lastContact) > gu.settings.Timing.LostContact.Std() {
		return core.Refuse(core.CodeNoLoan, "loan %s stops while the guard hears from no entry", lo.ID)
	}
	return lo.Admit(now, gu.leadEstimator(lo.ID).LeadTime(), gu.settings.Timing.ClockSkew.Std())
}

// leadEstimator is what was seen of the work under a loan.
func (gu *Guard) leadEstimator(id string) *loan.LeadEstimator {
	wo := gu.leadEstimators[id]
	if wo == nil {
		wo = &loan.LeadEstimator{}
		gu.leadEstimators[id] = wo
	}
	return wo
}

// reservationTime is how long places are kept free for a request that must run
// alone, counted from its last try.
const reservationTime = 2 * time.Second

func (gu *Guard) checkCapacity(now time.Time, alone bool) *core.Error {
	crowded := len(gu.running) >= gu.settings.Limits.Capacity
	if alone && len(gu.running) > 0 {
		gu.reservedUntil = now.Add(reservationTime)
		crowded = true
	}
	if !alone && (now.Before(gu.reservedUntil) || gu.aloneID != core.AttemptID{}) {
		crowded = true
	}
	if !crowded {
		return nil
	}
	return core.Refuse(core.CodeFull, "the target is full").WithRetryAfter(gu.retryAfter(now))
}

const (
	// minRetryAfter is the shortest time to come back.
	minRetryAfter = 20 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = 10 * time.Second
)

// retryAfter is the mean time between two finished requests.
func (gu *Guard) retryAfter(now time.Time) time.Duration {
	rate := gu.completions.PerSecond(now)
	if rate <= 0 {
		return maxRetryAfter / 10
	}
	return min(max(time.Duration(float64(time.Second)/rate), minRetryAfter), maxRetryAfter)
}

// startRun records a run that was let through.
func (gu *Guard) startRun(now time.Time, req *wire.DispatchRequest, ti fence.Ticket) *run {
	ru := &run{
		id: ti.ID, key: ti.Key, loan: req.Loan, digest: req.Digest, alone: req.Alone,
		sample: req.Sample, started: now, done: make(chan struct{}),
	}
	if req.Sample {
		ru.check = gu.versions.versionCheck()
	}
	gu.running[ti.ID] = ru
	gu.runsPerLoan[req.Loan]++
	if ti.Key != "" {
		gu.byKey[ti.Key] = ru
	}
	if req.Alone {
		gu.aloneID, gu.reservedUntil = ti.ID, time.Time{}
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
	if gu.runsPerLoan[ru.loan]--; gu.runsPerLoan[ru.loan] <= 0 {
		delete(gu.runsPerLoan, ru.loan)
	}
	if gu.aloneID == ru.id {
		gu.aloneID = core.AttemptID{}
	}
	if oc == fence.Done {
		gu.completions.Add(now)
		gu.leadEstimator(ru.loan).Observe(now.Sub(ru.started))
	}
	close(ru.done)
}
