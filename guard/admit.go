package guard

import (
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fence"
	"bilberryshelf/loan"
	"bilberryshelf/wire"
)

// decision is the result of admit: a refusal, or how the attempt gets its answer.
// run is the run to start or to wait for; answer is a stored answer.
type decision struct {
	admission fence.Admission
	run       *run
	answer    *answer
	err       *core.Error
}

// admit admits or refuses an attempt. It runs on the loop.
//
// An attempt with a known key is decided by the table alone, whatever the state of
// the loan and the target, because its run has ended or was already admitted. Every
// other attempt is checked against the state of the target, the revision of the
// configuration, the loan and the limits before the table records it.
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
	ad, stored, er := gu.table.Begin(now, ti)
	if er != nil {
		return decision{err: er}
	}
	switch ad {
	case fence.Join:
		return decision{admission: ad, run: gu.byKey[ti.Key]}
	case fence.Replay:
		return decision{admission: ad, answer: stored.(*answer)}
	}
	return decision{admission: ad, run: gu.startRun(now, req, ti)}
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
		return core.Refuse(core.CodeLoanLimit, "loan %s has reached the lender's limit on this target", lo.ID).WithRetryAfter(gu.retryAfter(now))
	}
	if er := gu.checkCapacity(now, req.Alone); er != nil {
		return er
	}
	return gu.rate.admit(now, gu.incarnation())
}

func (gu *Guard) checkState(req *wire.DispatchRequest) *core.Error {
	switch {
	case gu.phase == core.Draining:
		return core.Refuse(core.CodeDraining, "the target is draining")
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

// checkLoan checks that the loan admits new work now. A loan may require that a guard
// without contact with any entry refuses new work, because an early recall of the loan
// cannot reach it.
func (gu *Guard) checkLoan(now time.Time, lo loan.Loan) *core.Error {
	if lo.CutOff == loan.RefuseNewWork && now.Sub(gu.lastContact) > gu.settings.Timing.LostContact.Std() {
		return core.Refuse(core.CodeNoLoan, "loan %s admits no new work while the guard has no contact with any entry", lo.ID)
	}
	return lo.Admit(now, gu.leadEstimator(lo.ID).LeadTime(), gu.settings.Timing.ClockSkew.Std())
}

// leadEstimator returns the estimator of a loan's lead time, creating it if needed.
func (gu *Guard) leadEstimator(id string) *loan.LeadEstimator {
	le := gu.leadEstimators[id]
	if le == nil {
		le = &loan.LeadEstimator{}
		gu.leadEstimators[id] = le
	}
	return le
}

// reservationTime is how long new runs are refused in favor of a request that must
// run alone, counted from its last attempt.
const reservationTime = 2 * time.Second

func (gu *Guard) checkCapacity(now time.Time, alone bool) *core.Error {
	full := len(gu.running) >= gu.settings.Limits.Capacity
	if alone && len(gu.running) > 0 {
		gu.reservedUntil = now.Add(reservationTime)
		full = true
	}
	if !alone && (now.Before(gu.reservedUntil) || gu.aloneID != core.AttemptID{}) {
		full = true
	}
	if !full {
		return nil
	}
	return core.Refuse(core.CodeFull, "the target is full").WithRetryAfter(gu.retryAfter(now))
}

const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// retryAfter returns the mean time between two completed requests, within
// minRetryAfter and maxRetryAfter. If no request has completed, it returns a tenth of
// maxRetryAfter.
func (gu *Guard) retryAfter(now time.Time) time.Duration {
	rate := gu.completions.PerSecond(now)
	if rate <= 0 {
		return maxRetryAfter / 10
	}
	return min(max(time.Duration(float64(time.Second)/rate), minRetryAfter), maxRetryAfter)
}

// startRun records the run of an admitted attempt.
func (gu *Guard) startRun(now time.Time, req *wire.DispatchRequest, ti fence.Ticket) *run {
	ru := &run{
		id: ti.ID, key: ti.Key, loan: req.Loan, digest: req.Digest, alone: req.Alone,
		sample: req.Sample, target: gu.incarnation(), started: now, done: make(chan struct{}),
	}
	if req.Sample {
		ru.check = gu.versions.versionCheck(gu.settings.Engine.LateReports)
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

// finish records how a run ended and wakes the attempts that wait for it. It runs on
// the loop.
func (gu *Guard) finish(ru *run, oc fence.Outcome, an *answer) {
	now := gu.clock.Now()
	var (
		stored any
		size   int
	)
	if an != nil && ru.key != "" {
		stored, size = an, an.size()
	}
	gu.table.Finish(now, ru.id, oc, stored, size)
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
