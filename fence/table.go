// Package fence decides in the guard what may run on its target: attempts by id
// and deadline, requests by idempotency key, orders by fencing token.
//
// The table of attempts follows these rules.
//
//  1. An attempt names the incarnation (the start) of the guard that it was sent
//     to. Another incarnation refuses it with not-run. A table without an
//     incarnation refuses every attempt and answers every settle query with
//     unknown: its guard is still starting, and the table will be replaced.
//  2. An attempt has a deadline in the guard's clock. From the deadline on it is
//     refused with not-run, both on arrival and right before its first byte is
//     sent to the target.
//  3. An id is recorded before the first byte is sent to the target and is kept
//     until its deadline and a grace period have passed. A second arrival is
//     refused.
//  4. A settle query for an id that was never seen forbids the id until its
//     deadline before it answers forbidden. After the deadline and the grace
//     period the table may have removed the id, so the answer is unknown.
//  5. A settle query for another incarnation is answered with unknown: what the
//     previous process did is not known.
//  6. A key is recorded with the first attempt that has it. A later attempt joins
//     the run in progress or gets the stored answer; the key never runs again. A
//     key with another digest is refused.
//  7. If a run of a key ended without a known outcome, the key is in doubt until
//     it expires: every later attempt is refused with may-have-run. An idempotent
//     request may run again.
//  8. After a start without the previous table there is a quarantine, as long as
//     keys are held: an unknown key of a non-idempotent request is refused with
//     may-have-run, since the previous process may have run it. A key that its
//     entry marks as fresh cannot have run anywhere and is admitted.
//  9. A settle query for a key that was never seen forbids the key for the time
//     that keys are held. Another target can then run it safely.
//  10. An answer that does not fit into the space for answers is dropped; its key
//     is kept.
package fence

import (
	"time"

	"bilberryshelf/core"
)

// Ticket describes an attempt that asks for admission.
type Ticket struct {
	ID          core.AttemptID
	Incarnation uint64
	Deadline    time.Time
	// Key is the idempotency key; empty for none.
	Key string
	// KeyHold is how long the key is kept after its run or its deadline.
	KeyHold time.Duration
	// Digest identifies the request that the key was used for.
	Digest     uint64
	Idempotent bool
	// Fresh is set if the key cannot have run anywhere (rule 8).
	Fresh bool
}

// Admission defines how an admitted attempt gets its answer.
type Admission string

// The admissions.
const (
	// Run means that the attempt runs on the target.
	Run Admission = "run"
	// Join means that the attempt waits for the run of the same key.
	Join Admission = "join"
	// Replay means that the attempt gets the stored answer of the same key.
	Replay Admission = "replay"
)

// Outcome states how a run ended.
type Outcome string

// The outcomes.
const (
	// Done means that the target gave its complete answer.
	Done Outcome = "done"
	// NotStarted means that no byte was sent to the target.
	NotStarted Outcome = "undone"
	// Lost means that the target got the request and did not answer.
	Lost Outcome = "lost"
)

// SettleState is the answer to a settle query: the state of its attempt or key.
type SettleState string

// The answers to a settle query.
const (
	// Unknown means that the guard cannot tell whether the attempt or key has run.
	Unknown SettleState = "unknown"
	// Forbidden means that it has not run and will not run on this target.
	Forbidden SettleState = "forbidden"
	// Running means that it is admitted and has not ended.
	Running SettleState = "running"
	// Ran means that it has run and the target answered.
	Ran SettleState = "ran"
)

type phase string

const (
	accepted  phase = "accepted"
	committed phase = "committed"
	finished  phase = "finished"
	forbidden phase = "forbidden"
)

type attempt struct {
	phase    phase
	deadline time.Time
	key      string
	outcome  Outcome
}

type keyRecord struct {
	digest    uint64
	phase     phase
	outcome   Outcome
	answer    any
	size      int
	hold      time.Duration
	expiresAt time.Time
}

// Table holds the attempts and keys of one incarnation of a guard. It is not safe
// for concurrent use. Grace, MaxAnswerBytes and QuarantineUntil may be zero, which
// means none.
type Table struct {
	// Incarnation is the number of this start. Zero refuses everything (rule 1).
	Incarnation uint64
	// Grace is how long an id is kept after its deadline.
	Grace time.Duration
	// MaxAnswerBytes bounds the total size of the stored answers.
	MaxAnswerBytes int
	// QuarantineUntil is the end of the quarantine of unknown keys (rule 8).
	QuarantineUntil time.Time

	attempts    map[core.AttemptID]*attempt
	keys        map[string]*keyRecord
	expiries    expiryQueue
	answerBytes int
}

// Begin admits or refuses an attempt. With Replay it returns the stored answer.
func (ta *Table) Begin(now time.Time, ti Ticket) (Admission, any, *core.Error) {
	if ta.Incarnation == 0 || ti.Incarnation != ta.Incarnation { // rule 1
		return "", nil, core.Refuse(core.CodeOldIncarnation, "the attempt is for incarnation %d, this is %d", ti.Incarnation, ta.Incarnation)
	}
	if !now.Before(ti.Deadline) { // rule 2
		return "", nil, core.Refuse(core.CodeDeadline, "the attempt arrived after its deadline")
	}
	if at, seen := ta.attempts[ti.ID]; seen { // rule 3
		if at.phase == forbidden {
			return "", nil, core.Refuse(core.CodeSettledNotRun, "the attempt was settled as not run before it arrived")
		}
		return "", nil, core.InDoubt(core.CodeDuplicate, "an attempt with this id arrived before")
	}
	if ti.Key == "" {
		ta.recordAttempt(ti)
		return Run, nil, nil
	}
	return ta.beginKeyed(now, ti)
}

func (ta *Table) beginKeyed(now time.Time, ti Ticket) (Admission, any, *core.Error) {
	ke, known := ta.keys[ti.Key]
	if !known {
		if !ti.Idempotent && !ti.Fresh && now.Before(ta.QuarantineUntil) { // rule 8
			return "", nil, core.InDoubt(core.CodeKeyHomeRestarted, "the key's guard restarted and cannot know whether the key ran").
				WithRetryAfter(ta.QuarantineUntil.Sub(now))
		}
		ta.recordAttempt(ti)
		ta.recordKey(ti.Key, &keyRecord{digest: ti.Digest, phase: accepted, hold: ti.KeyHold, expiresAt: ti.Deadline.Add(ti.KeyHold)})
		return Run, nil, nil
	}
	return ta.beginKnownKey(ke, ti)
}

// beginKnownKey admits or refuses an attempt whose key is in the table.
func (ta *Table) beginKnownKey(ke *keyRecord, ti Ticket) (Admission, any, *core.Error) {
	switch { // rule 6
	case ke.phase == forbidden:
		return "", nil, core.Refuse(core.CodeKeyMoved, "the key was moved to another target")
	case ke.digest != ti.Digest:
		return "", nil, core.Refuse(core.CodeKeyConflict, "the key was used for another request")
	case ke.phase != finished:
		return Join, nil, nil
	case ke.outcome == Lost && ti.Idempotent: // rule 7
		ta.recordAttempt(ti)
		ke.phase = accepted
		return Run, nil, nil
	case ke.outcome == Lost:
		return "", nil, core.InDoubt(core.CodeTargetLost, "the target was lost while it ran this key")
	case ke.answer == nil: // rule 10
		return "", nil, &core.Error{Verdict: core.Ran, Code: core.CodeAnswerDropped, Text: "the key ran, but its answer is no longer stored"}
	}
	return Replay, ke.answer, nil
}

func (ta *Table) recordKey(key string, ke *keyRecord) {
	if ta.keys == nil {
		ta.keys = map[string]*keyRecord{}
	}
	ta.keys[key] = ke
	ta.expiries.push(expiry{at: ke.expiresAt, key: key})
}

func (ta *Table) recordAttempt(ti Ticket) {
	ta.storeAttempt(ti.ID, &attempt{phase: accepted, deadline: ti.Deadline, key: ti.Key})
}

func (ta *Table) storeAttempt(id core.AttemptID, at *attempt) {
	if ta.attempts == nil {
		ta.attempts = map[core.AttemptID]*attempt{}
	}
	ta.attempts[id] = at
	ta.expiries.push(expiry{at: at.deadline.Add(ta.Grace), id: id})
}

// Commit must be called right before the first byte is sent to the target. It
// refuses an attempt whose deadline has passed since Begin (rule 2) and finishes it
// as NotStarted.
func (ta *Table) Commit(now time.Time, id core.AttemptID) *core.Error {
	at, seen := ta.attempts[id]
	if !seen || at.phase != accepted {
		return core.Refuse(core.CodeSettledNotRun, "the attempt is not waiting to run")
	}
	if !now.Before(at.deadline) {
		ta.Finish(now, id, NotStarted, nil, 0)
		return core.Refuse(core.CodeDeadline, "the deadline passed before the attempt was sent to the target")
	}
	at.phase = committed
	if ke := ta.keys[at.key]; ke != nil {
		ke.phase = committed
	}
	return nil
}

// Finish records how an attempt ended. The answer of a keyed attempt is stored if
// its size in bytes fits into the space left.
func (ta *Table) Finish(now time.Time, id core.AttemptID, oc Outcome, answer any, size int) {
	at, seen := ta.attempts[id]
	if !seen || at.phase == finished {
		return
	}
	at.phase, at.outcome = finished, oc
	ke := ta.keys[at.key]
	if ke == nil || ke.phase == forbidden {
		return
	}
	if oc == NotStarted {
		delete(ta.keys, at.key)
		return
	}
	ke.phase, ke.outcome = finished, oc
	ke.expiresAt = now.Add(ke.hold)
	if answer != nil && ta.answerBytes+size <= ta.MaxAnswerBytes {
		ke.answer, ke.size = answer, size
		ta.answerBytes += size
	}
}

// Settle answers a settle query for an attempt. An attempt that was never seen is
// forbidden until the given deadline (rules 3, 4 and 5).
func (ta *Table) Settle(now time.Time, id core.AttemptID, incarnation uint64, deadline time.Time) SettleState {
	if ta.Incarnation == 0 || incarnation != ta.Incarnation { // rules 1 and 5
		return Unknown
	}
	at, seen := ta.attempts[id]
	if seen {
		return at.settleState()
	}
	if now.After(deadline.Add(ta.Grace)) {
		return Unknown
	}
	ta.storeAttempt(id, &attempt{phase: forbidden, deadline: deadline})
	return Forbidden
}

func (at *attempt) settleState() SettleState {
	switch {
	case at.phase == forbidden, at.phase == finished && at.outcome == NotStarted:
		return Forbidden
	case at.phase == finished && at.outcome == Done:
		return Ran
	case at.phase == finished:
		return Unknown
	default:
		return Running
	}
}

// SettleKey answers a settle query for a key. A key that was never seen is forbidden
// for the duration hold, so that another target can run it safely (rule 9).
func (ta *Table) SettleKey(now time.Time, key string, hold time.Duration) SettleState {
	ke, known := ta.keys[key]
	switch {
	case ta.Incarnation == 0: // rule 1
		return Unknown
	case !known && now.Before(ta.QuarantineUntil):
		return Unknown
	case !known:
		ta.recordKey(key, &keyRecord{phase: forbidden, expiresAt: now.Add(hold)})
		return Forbidden
	case ke.phase == forbidden:
		return Forbidden
	case ke.phase != finished:
		return Running
	case ke.outcome == Done:
		return Ran
	}
	return Unknown
}

// Sweep checks at most the given number of due expiries, removes what has expired,
// and returns how many attempts and keys remain. It never removes runs in progress.
func (ta *Table) Sweep(now time.Time, limit int) (attempts, keys int) {
	for range limit {
		ex, found := ta.expiries.pop(now)
		if !found {
			break
		}
		if ex.key != "" {
			ta.sweepKey(now, ex.key)
		} else {
			ta.sweepAttempt(now, ex.id)
		}
	}
	return len(ta.attempts), len(ta.keys)
}

func (ta *Table) sweepAttempt(now time.Time, id core.AttemptID) {
	at := ta.attempts[id]
	if at.phase == finished || at.phase == forbidden {
		delete(ta.attempts, id)
		return
	}
	ta.expiries.push(expiry{at: now.Add(ta.Grace), id: id})
}

func (ta *Table) sweepKey(now time.Time, key string) {
	ke := ta.keys[key]
	switch {
	case ke == nil:
	case ke.phase != finished && ke.phase != forbidden:
		ta.expiries.push(expiry{at: now.Add(ta.Grace), key: key})
	case now.Before(ke.expiresAt):
		ta.expiries.push(expiry{at: ke.expiresAt, key: key})
	default:
		ta.answerBytes -= ke.size
		delete(ta.keys, key)
	}
}

// DropAnswer drops the stored answer of a key after the caller has confirmed its
// receipt. The key itself stays until it expires.
func (ta *Table) DropAnswer(key string) {
	ke := ta.keys[key]
	if ke == nil {
		return
	}
	ta.answerBytes -= ke.size
	ke.answer, ke.size = nil, 0
}

// HasKey reports whether the key is in the table.
func (ta *Table) HasKey(key string) bool {
	_, known := ta.keys[key]
	return known
}

// HasAttempt reports whether the attempt is in the table.
func (ta *Table) HasAttempt(id core.AttemptID) bool {
	_, known := ta.attempts[id]
	return known
}
