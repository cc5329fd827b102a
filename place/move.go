package place

import "time"

const (
	// StallTimeout is the longest time between two events of a run: about ten
	// events at the usual pace.
	StallTimeout = 400 * time.Millisecond
	// FirstEventTimeout is the longest time until the first event. It includes
	// reading the prompt and possibly a load of weights.
	FirstEventTimeout = 700 * time.Millisecond
	// AbandonTimeout is the time without an event after which a run ends even if no
	// other engine has a free slot: twice the longest load of weights.
	AbandonTimeout = 9 * time.Second
)

// Reason is why a run should move to another engine.
type Reason string

// The reasons for a move.
const (
	Stalled Reason = "silent"
	Emptied Reason = "emptied"
	Loading Reason = "loads"
	Slow    Reason = "slow"
)

// Run is an item that runs on an engine.
type Run struct {
	Engine string
	// SinceLastEvent is the time since the last event, or since the start if there
	// is none.
	SinceLastEvent time.Duration
	// Started is set once the first event has arrived.
	Started bool
	// RemainingEvents is the estimated number of events that it still lacks.
	RemainingEvents int
	// Slack is the time in which it must end for its step to be in time.
	Slack time.Duration
}

// MinMoveGain is the time by which a run must end earlier on another engine to be worth
// the move. The move itself takes about a tenth of a second.
const MinMoveGain = 400 * time.Millisecond

// estimateError is the factor by which an output may exceed its estimated length and still
// end in time on an engine that it does not leave.
const estimateError = 3

// slowsRun reports whether a run should leave its slow engine (rule 7).
func (sn *Snapshot) slowsRun(en Engine, ru Run) bool {
	if !sn.slow(en) {
		return false
	}
	here, elsewhere := time.Duration(ru.RemainingEvents)*en.pace(), time.Duration(ru.RemainingEvents)*sn.median
	return here-elsewhere >= MinMoveGain && here > ru.Slack/estimateError
}

// delaysLoad reports whether a run would not end within what is left of EmptyPatience.
func (sn *Snapshot) delaysLoad(en Engine, ru Run) bool {
	return time.Duration(ru.RemainingEvents)*max(en.pace(), sn.median) > EmptyPatience-en.EmptyingFor
}

// MoveReason returns why a run should move to another engine, or an empty Reason
// if it should stay (rule 7). Choose decides whether another engine has a free slot.
func (sn *Snapshot) MoveReason(ru Run) Reason {
	timeout := FirstEventTimeout
	if ru.Started {
		timeout = StallTimeout
	}
	at := sn.position(ru.Engine)
	if at >= 0 {
		timeout = sn.engines[at].scaleTimeout(timeout)
	}
	switch {
	case ru.SinceLastEvent > timeout:
		return Stalled
	case at < 0:
		return ""
	case sn.engines[at].Emptying && sn.delaysLoad(sn.engines[at], ru):
		return Emptied
	case sn.engines[at].Loading:
		return Loading
	case sn.slowsRun(sn.engines[at], ru):
		return Slow
	default:
		return ""
	}
}
