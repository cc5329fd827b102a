// Package fence decides at the target what may run: attempts by id and
// deadline, requests by idempotency key, orders by fencing number.
//
// The table of attempts follows these rules.
//
//  1. An attempt names the incarnation (the start) of the guard it was meant
//     for. Another incarnation refuses it with not-run. A table without an
//     incarnation refuses everything and answers every question with unknown:
//     its guard is still starting, and what it says would be forgotten.
//  2. An attempt carries a deadline in the guard's clock. It is refused with
//     not-run from its deadline on, when it arrives and again right before
//     the first byte goes to the target.
//  3. An id is recorded before the first byte goes to the target and is kept
//     until its deadline and a grace have passed; a second arrival is refused.
//  4. Settle on a never-seen id forbids it until its deadline, and only then
//     says forbidden. After deadline and grace the table may have forgotten
//     the id, so it says unknown.
//  5. Settle meant for another incarnation says unknown: what the former
//     process did is not known.
//  6. A key is recorded with the first attempt that carries it. A later one
//     joins the run in progress or gets the kept answer; it never runs again.
//     A key with another digest is refused.
//  7. A key whose run ended without a known outcome stays in doubt until it
//     lapses: every later attempt is told may-have-run. An idempotent request
//     may run anew.
//  8. For a hold after a start without the former table, an unknown key of a
//     non-idempotent request is refused with may-have-run, since the former
//     process may have run it. A key that its entry calls fresh cannot have
//     been run by anybody, and is let through.
//  9. Settle on a never-seen key forbids the key for the hold, so that its
//     new home may run it.
//  10. An answer that no longer fits the space is dropped, the key is kept.
package fence

import (
	"time"

	"bilberryshelf/core"
)

// Ticket is what an attempt shows to be let through.
type Ticket struct {
	ID          core.AttemptID
	Incarnation uint64
	Deadline    time.Time
	Key         string
	KeyHold     time.Duration
	Digest      uint64
	Idempotent  bool
	// Fresh says that the key cannot have been run anywhere (rule 8).
	Fresh bool
}

// Admission says what an admitted attempt is to do.
type Admission string

// The passes.
const (
	// Run lets the attempt run on the target.
	Run Admission = "run"
	// Join makes it wait for the run of the same key.
	Join Admission = "join"
	// Replay hands out the kept answer of the same key.
	Replay Admission = "replay"
)

// Outcome says how a run ended.
type Outcome string

// The outcomes.
const (
	// Done means that the target answered in full.
	Done Outcome = "done"
	// NotStarted means that the first byte never reached the target.
	NotStarted Outcome = "undone"
	// Lost means that the target was given the request and did not answer.
	Lost Outcome = "lost"
)

// SettleState is the answer to a settle question.
type SettleState string

// The answers to a settle question.
const (
	Unknown   SettleState = "unknown"
	Forbidden SettleState = "forbidden"
	Running   SettleState = "running"
	Ran       SettleState = "ran"
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

// Table is the state of one incarnation of a guard. It is not safe for
// concurrent use; the zero value of Grace, Space and Quarantine works and
// means none.
type Table struct {
	// Incarnation is this start's number. It must not be zero.
	Incarnation uint64
	// Grace is how long an id is kept after its deadline.
	Grace time.Duration
	// MaxAnswerBytes bounds the bytes of kept answers.
	MaxAnswerBytes int
	// QuarantineUntil ends the time in which unknown keys are in doubt (rule 8).
	QuarantineUntil time.Time

	attempts    map[core.AttemptID]*attempt
	keys        map[string]*keyRecord
	expiries    expiryQueue
	answerBytes int
}

// Begin admits or refuses an attempt. With Replay it returns the kept answer.
func (ta *Table) Begin(now time.Time, ti Ticket) (Admission, any, *core.Error) {
	if ta.Incarnation == 0 || ti.Incarnation != ta.Incarnation { // rule 1
		return "", nil, core.Refuse(core.CodeOldIncarnation, "meant for incarnation %d, this is %d", ti.Incarnation, ta.Incarnation)
	}
	if !now.Before(ti.Deadline) { // rule 2
		return "", nil, core.Refuse(core.CodeDeadline, "arrived after its deadline")
	}
	if at, seen := ta.attempts[ti.ID]; seen { // rule 3
		if at.phase == forbidden {
			return "", nil, core.Refuse(core.CodeSettledNotRun, "settled as not run before it arrived")
		}
		return "", nil, core.InDoubt(core.CodeDuplicate, "this attempt arrived before")
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
			return "", nil, core.InDoubt(core.CodeKeyHomeRestarted, "the key's home restarted and cannot know it").
				WithRetryAfter(ta.QuarantineUntil.Sub(now))
		}
		ta.recordAttempt(ti)
		ta.recordKey(ti.Key, &keyRecord{digest: ti.Digest, phase: accepted, hold: ti.KeyHold, expiresAt: ti.Deadline.Add(ti.KeyHold)})
		return Run, nil, nil
	}
	return ta.beginKnownKey(ke, ti)
}

// beginKnownKey decides on an attempt whose key is known.
func (ta *Table) beginKnownKey(ke *keyRecord, ti Ticket) (Admission, any, *core.Error) {
	switch { // rule 6
	case ke.phase == forbidden:
		return "", nil, core.Refuse(core.CodeKeyMoved, "the key was handed to another home")
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
		return "", nil, &core.Error{Verdict: core.Ran, Code: core.CodeAnswerDropped, Text: "the key ran, its answer is no longer kept"}
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

// Commit is called right before the first byte goes to the target. It refuses
// an attempt whose deadline has passed since Begin (rule 2); the attempt is
// then finished as Undone.
func (ta *Table) Commit(now time.Time, id core.AttemptID) *core.Error {
	at, seen := ta.attempts[id]
	if !seen || at.phase != accepted {
		return core.Refuse(core.CodeSettledNotRun, "the attempt is not waiting to run")
	}
	if !now.Before(at.deadline) {
		ta.Finish(now, id, NotStarted, nil, 0)
		return core.Refuse(core.CodeDeadline, "its deadline passed before the target was given it")
	}
	at.phase = committed
	if ke := ta.keys[at.key]; ke != nil {
		ke.phase = committed
	}
	return nil
}

// Finish records how an attempt ended. The answer of a keyed one is kept if
// its size in bytes fits the space.
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

// Settle answers what became of an attempt, and forbids a never-seen one
// whose deadline is given (rules 3, 4 and 5).
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

// SettleKey answers what became of a key, and forbids a never-seen one for
// the hold so that another home may run it (rule 9).
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

// Sweep forgets what has lapsed, at most the given number, and returns how
// many attempts and keys remain. Runs in progress are never forgotten.
func (ta *Table) Sweep(now time.Time, most int) (attempts, keys int) {
	for range most {
		la, found := ta.expiries.pop(now)
		if !found {
			break
		}
		if la.key != "" {
			ta.sweepKey(now, la.key)
		} else {
			ta.sweepAttempt(now, la.id)
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

// DropAnswer drops the kept answer of a key whose receipt is confirmed. The key
// itself stays until it lapses.
func (ta *Table) DropAnswer(key string) {
	ke := ta.keys[key]
	if ke == nil {
		return
	}
	ta.answerBytes -= ke.size
	ke.answer, ke.size = nil, 0
}

// HasKey reports whether the key is remembered.
func (ta *Table) HasKey(key string) bool {
	_, known := ta.keys[key]
	return known
}

// HasAttempt reports whether the attempt is remembered.
func (ta *Table) HasAttempt(id core.AttemptID) bool {
	_, known := ta.attempts[id]
	return known
}
