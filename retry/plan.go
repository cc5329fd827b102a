// Package retry decides what follows each attempt of a request: an attempt at
// another target, a settle query to the guard, an attempt at the same target, or
// the final answer.
//
// A plan follows these rules.
//
//  1. An attempt that is refused with not-run has had no effect; the next target
//     may be tried.
//  2. If the stream of an idempotent request is cut, the request is sent to another
//     target at once. The attempt may have run, so a later failure has the verdict
//     may-have-run.
//  3. If the stream of a non-idempotent request is cut, its guard is first asked
//     with a settle query. Forbidden counts as not-run. After running and ran, the
//     request is sent to the same guard again, where its key joins the run or gets
//     the stored answer; from then on the request counts as run, whatever happens
//     to these attempts. Unknown ends the request with may-have-run.
//  4. A non-idempotent request is never sent to a second guard while an earlier
//     one may have run it.
//  5. A keyed request is pinned to one target and is never sent to another.
//  6. Retries are taken from a budget that all requests share, so that they stay
//     a fixed share of the load. Settle queries and attempts to join a run do not
//     run anything and are not charged.
//  7. A refusal because the information of one side is outdated, or because the
//     guard is not ready yet, is not a failure: the request is sent again after a
//     short wait, a limited number of times. A refusal for lack of capacity ends
//     the plan for now; when the request leaves the queue again, it continues with
//     the same plan.
//  8. If the next action cannot start before the deadline, the request ends at once
//     with the verdict so far.
package retry

import (
	"time"

	"bilberryshelf/core"
)

// Event is the outcome of the last action.
type Event string

// The events.
const (
	// Refused means that the guard refused the attempt.
	Refused Event = "refused"
	// Cut means that the stream ended before the answer was complete.
	Cut Event = "cut"
	// Settled means that the guard answered a settle query.
	Settled Event = "settled"
	// Unsettled means that a settle query got no answer.
	Unsettled Event = "unsettled"
)

// Action is what to do next.
type Action string

// The actions.
const (
	// OtherTarget sends the request to another target.
	OtherTarget Action = "elsewhere"
	// SameTarget sends the request to the same target after the wait.
	SameTarget Action = "again"
	// Attach sends the request to the same target to join its run.
	Attach Action = "attach"
	// Settle sends a settle query to the same guard.
	Settle Action = "ask"
	// Finish ends the request with the error in Next.
	Finish Action = "finish"
)

// The answers to a settle query; see fence.SettleState.
const (
	stateForbidden = "forbidden"
	stateRunning   = "running"
	stateRan       = "ran"
)

// Report is the outcome of an action with its details.
type Report struct {
	Event Event
	// Error is the refusal, or the cause of a cut stream.
	Error *core.Error
	// State is the answer to a settle query.
	State string
}

// Next is an action with its details.
type Next struct {
	Action Action
	// Wait is how long to wait before the action.
	Wait time.Duration
	// Error is the final error of Finish.
	Error *core.Error
}

// Plan is the progress of one request. The zero value is a non-idempotent
// request that is not pinned and has no further attempts.
type Plan struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Pinned is set if only one target may run the request (rule 5).
	Pinned bool
	// AttemptsLeft is the number of further attempts, not counting the current one.
	AttemptsLeft int
	// SettlesLeft is the number of settle queries left.
	SettlesLeft int
	// ResendsLeft is the number of resends left after transient refusals (rule 7).
	ResendsLeft int
	// Deadline is the caller's deadline.
	Deadline time.Time

	// verdict covers the attempts that may have run; empty if there are none.
	verdict core.Verdict
	last    *core.Error
}

// Next returns the action that follows a report. It calls budget only for a retry;
// budget takes the retry from the shared budget and reports whether there was one.
func (pl *Plan) Next(now time.Time, re Report, budget func() bool) Next {
	switch re.Event {
	case Refused:
		return pl.refused(now, re, budget)
	case Cut:
		return pl.cut(now, re, budget)
	case Settled:
		return pl.settled(now, re, budget)
	default:
		return pl.unsettled(now, re, budget)
	}
}

func (pl *Plan) refused(now time.Time, re Report, budget func() bool) Next {
	pl.last = re.Error
	if re.Error.Verdict != core.NotRun {
		pl.verdict = pl.verdict.Combine(re.Error.Verdict)
		if !pl.Idempotent || pl.Pinned { // rules 3 and 4
			return pl.finish()
		}
		return pl.retry(now, budget)
	}
	if pl.verdict != "" && !pl.Idempotent { // rule 4
		return pl.finish()
	}
	if noCapacity(re.Error.Code) {
		return pl.finish()
	}
	if transient(re.Error.Code) {
		return pl.resend(now)
	}
	return pl.retry(now, budget)
}

const (
	// minResendWait is the shortest wait before a resend.
	minResendWait = 5 * time.Millisecond
	// maxResendWait is the longest.
	maxResendWait = 250 * time.Millisecond
)

// resend sends the request again after a transient refusal (rule 7).
func (pl *Plan) resend(now time.Time) Next {
	wait := min(max(pl.last.RetryAfter, minResendWait), maxResendWait)
	if pl.ResendsLeft == 0 || !now.Add(wait).Before(pl.Deadline) {
		return pl.finish()
	}
	pl.ResendsLeft--
	if pl.Pinned {
		return Next{Action: SameTarget, Wait: wait}
	}
	return Next{Action: OtherTarget, Wait: wait}
}

// noCapacity reports whether a refusal is for lack of capacity.
func noCapacity(code core.Code) bool {
	return code == core.CodeFull || code == core.CodeLoanLimit || code == core.CodeTargetLimit
}

// CanRequeue reports whether a request that ended with this error may wait in the
// queue again: it was refused for lack of capacity, and no attempt so far may have
// run.
func (pl *Plan) CanRequeue(er *core.Error) bool {
	return er != nil && noCapacity(er.Code) && er.Verdict == core.NotRun && pl.verdict == ""
}

// transient reports whether a refusal may pass within a short wait.
func transient(code core.Code) bool {
	switch code {
	case core.CodeStaleRevision, core.CodeNotReady, core.CodeOldIncarnation:
		return true
	default:
		return false
	}
}

func (pl *Plan) cut(now time.Time, re Report, budget func() bool) Next {
	pl.last = re.Error
	if pl.Idempotent { // rule 2
		pl.verdict = pl.verdict.Combine(core.MayHaveRun)
		return pl.retry(now, budget)
	}
	if pl.SettlesLeft == 0 || !now.Before(pl.Deadline) {
		pl.verdict = pl.verdict.Combine(core.MayHaveRun)
		return pl.finish()
	}
	pl.SettlesLeft--
	return Next{Action: Settle}
}

func (pl *Plan) settled(now time.Time, re Report, budget func() bool) Next {
	switch {
	case re.State == stateForbidden && pl.verdict == "":
		return pl.retry(now, budget)
	case re.State == stateRan:
		pl.verdict = core.Ran
		return pl.attach(now)
	case re.State == stateRunning, re.State == stateForbidden: // forbidden applies only to the attempt to join
		pl.verdict = pl.verdict.Combine(core.MayHaveRun)
		return pl.attach(now)
	}
	pl.verdict = pl.verdict.Combine(core.MayHaveRun)
	return pl.finish()
}

// attach sends the request again to the guard where it runs or ran.
func (pl *Plan) attach(now time.Time) Next {
	if pl.AttemptsLeft == 0 || !now.Before(pl.Deadline) {
		return pl.finish()
	}
	pl.AttemptsLeft--
	return Next{Action: Attach}
}

func (pl *Plan) unsettled(now time.Time, re Report, _ func() bool) Next {
	if re.Error != nil {
		pl.last = re.Error
	}
	if pl.SettlesLeft > 0 && now.Before(pl.Deadline) {
		pl.SettlesLeft--
		return Next{Action: Settle}
	}
	pl.verdict = pl.verdict.Combine(core.MayHaveRun)
	return pl.finish()
}

// retry uses an attempt for a retry, or finishes.
func (pl *Plan) retry(now time.Time, budget func() bool) Next {
	if pl.last != nil && permanent(pl.last.Code) {
		return pl.finish()
	}
	wait := time.Duration(0)
	if pl.Pinned && pl.last != nil {
		wait = pl.last.RetryAfter
	}
	if pl.AttemptsLeft == 0 || !now.Add(wait).Before(pl.Deadline) {
		return pl.finish()
	}
	if !budget() { // rule 6
		return pl.finish()
	}
	pl.AttemptsLeft--
	if pl.Pinned {
		return Next{Action: SameTarget, Wait: wait}
	}
	return Next{Action: OtherTarget}
}

// permanent reports whether every target would refuse the request in this way.
func permanent(code core.Code) bool {
	switch code {
	case core.CodeKeyConflict, core.CodeNoLoan, core.CodePoison, core.CodeBadRequest, core.CodeQueueWait:
		return true
	default:
		return false
	}
}

// finish returns the final error: the last one, with the verdict of all attempts
// together.
func (pl *Plan) finish() Next {
	er := pl.last
	if er == nil {
		er = core.Refuse(core.CodeNoTarget, "no target answered")
	}
	if er.Verdict != core.NotRun || pl.verdict != "" {
		er = er.WithVerdict(pl.finalVerdict(er))
	}
	return Next{Action: Finish, Error: er}
}

// finalVerdict returns the verdict of all attempts. It ignores the may-have-run of
// a cut attempt's error if a settle query has shown that the attempt did not run;
// the plan's verdict does not include it.
func (pl *Plan) finalVerdict(er *core.Error) core.Verdict {
	if pl.verdict == "" {
		return core.NotRun
	}
	return pl.verdict.Combine(er.Verdict)
}

// InDoubt reports whether an attempt so far may have run.
func (pl *Plan) InDoubt() bool { return pl.verdict != "" }

// Abort returns the final error of a request that cannot continue, with the verdict
// so far.
func (pl *Plan) Abort() *core.Error { return pl.finish().Error }
