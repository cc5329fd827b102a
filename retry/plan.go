// Package retry decides what follows each attempt of a request: another
// target, a settle question, the same target again, or the final answer.
//
// A plan follows these rules.
//
//  1. A refusal with not-run leaves no trace; the next target may be tried.
//  2. A cut attempt of an idempotent request is tried elsewhere at once; its
//     doubt stays in the verdict of a later failure.
//  3. A cut attempt of a non-idempotent request is settled with its guard
//     first. Forbidden counts as not-run. Running and ran lead back to the
//     same guard, where the key joins the run or gets the kept answer; from
//     then on the request is known to have run, whatever becomes of the
//     attempts to join. Unknown ends the request with may-have-run.
//  4. A non-idempotent request is never sent to a second guard while a first
//     one may have run it.
//  5. A keyed request stays with its home: it is never sent elsewhere.
//  6. Retries take from a budget shared by all requests, so that they stay a
//     set share of the load. Settle questions and re-attachments do not run
//     anything and take nothing.
//  7. A refusal because one side's configuration is behind is not a failure:
//     the request is sent again after a short wait, a set number of times. A
//     refusal for lack of room ends the plan for now; after its next turn in the
//     queue, the request goes on with the same plan.
//  8. What cannot be decided before the deadline is answered at once with the
//     verdict so far.
package retry

import (
	"time"

	"bilberryshelf/core"
)

// Event is what became of the last step.
type Event string

// The events.
const (
	// Refused means that the guard answered with a refusal.
	Refused Event = "refused"
	// Cut means that no whole answer arrived and none will on this stream.
	Cut Event = "cut"
	// Settled means that the guard answered a settle question.
	Settled Event = "settled"
	// Unsettled means that a settle question got no answer.
	Unsettled Event = "unsettled"
)

// Action is what to do next.
type Action string

// The moves.
const (
	// OtherTarget sends the request to another target.
	OtherTarget Action = "elsewhere"
	// SameTarget sends the request to the same target after the wait.
	SameTarget Action = "again"
	// Attach sends the request to the same target to join its run.
	Attach Action = "attach"
	// Settle puts a settle question to the same guard.
	Settle Action = "ask"
	// Finish ends the request with the error.
	Finish Action = "finish"
)

// The fence's answers to a settle question, as the plan reads them.
const (
	stateForbidden = "forbidden"
	stateRunning   = "running"
	stateRan       = "ran"
)

// Report is an event with its details.
type Report struct {
	Event Event
	// Error is the refusal, or the failure of a cut stream.
	Error *core.Error
	// State is the answer to the settle question.
	State string
}

// Next is a move with its details.
type Next struct {
	Action Action
	Wait   time.Duration
	Error  *core.Error
}

// Plan is the progress of one request. The zero value is a non-idempotent
// request without a home and with no attempt left.
type Plan struct {
	// Idempotent allows a second run.
	Idempotent bool
	// Pinned binds the request to its first target (rule 5).
	Pinned bool
	// AttemptsLeft is the number of further attempts.
	AttemptsLeft int
	// SettlesLeft is the number of settle questions left.
	SettlesLeft int
	// ResendsLeft is the number of further looks for a place (rule 7).
	ResendsLeft int
	// Deadline is the end of the caller's patience.
	Deadline time.Time

	verdict core.Verdict
	last    *core.Error
}

// Next takes the report of the last step and returns the next one. Budget
// says whether a retry is affordable; it is asked only when one is wanted.
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
	// minResendWait is the shortest wait before a place is looked for again.
	minResendWait = 5 * time.Millisecond
	// maxResendWait is the longest.
	maxResendWait = 250 * time.Millisecond
)

// resend waits for a place (rule 7).
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

// noCapacity reports the refusals for lack of room.
func noCapacity(code core.Code) bool { return code == core.CodeFull || code == core.CodeLoanLimit }

// CanRequeue reports whether a request that ended with this error may wait for
// another turn: it found no room, and no attempt so far may have run.
func (pl *Plan) CanRequeue(er *core.Error) bool {
	return er != nil && noCapacity(er.Code) && er.Verdict == core.NotRun && pl.verdict == ""
}

// transient reports the refusals that a moment may lift.
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
	case re.State == stateRunning, re.State == stateForbidden: // forbidden: only the attempt to join
		pl.verdict = pl.verdict.Combine(core.MayHaveRun)
		return pl.attach(now)
	}
	pl.verdict = pl.verdict.Combine(core.MayHaveRun)
	return pl.finish()
}

// attach goes back to the guard where the request runs or ran.
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

// retry spends an attempt, or finishes.
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

// permanent reports the refusals that no other target would answer otherwise.
func permanent(code core.Code) bool {
	switch code {
	case core.CodeKeyConflict, core.CodeNoLoan, core.CodePoison, core.CodeBadRequest, core.CodeQueueWait:
		return true
	default:
		return false
	}
}

// finish makes the final error: the last reason with the verdict of all
// attempts together.
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

// finalVerdict leaves out the doubt of a cut attempt that a settle question
// resolved: its error carries may-have-run, the plan's verdict does not.
func (pl *Plan) finalVerdict(er *core.Error) core.Verdict {
	if pl.verdict == "" {
		return core.NotRun
	}
	return pl.verdict.Combine(er.Verdict)
}

// InDoubt reports whether an attempt so far may have run.
func (pl *Plan) InDoubt() bool { return pl.verdict != "" }

// Abort ends a request that cannot go on, with the verdict so far.
func (pl *Plan) Abort() *core.Error { return pl.finish().Error }
