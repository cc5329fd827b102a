package place

import (
	"slices"
	"time"
)

const (
	// StallTimeout is how long a run may make no event: about ten events at the usual
	// pace.
	StallTimeout = 400 * time.Millisecond
	// FirstEventTimeout is the same before the first event, when a prompt is read and
	// the engine may be loading weights.
	FirstEventTimeout = 700 * time.Millisecond
)

// Reason is why a run should leave its engine.
type Reason string

// The reasons.
const (
	Stalled Reason = "silent"
	Emptied Reason = "emptied"
	Loading Reason = "loads"
	Slow    Reason = "slow"
)

// Run is an item in progress.
type Run struct {
	Engine string
	// SinceLastEvent is how long ago the last event came, or the start.
	SinceLastEvent time.Duration
	// Started tells whether an event has come.
	Started bool
}

// MoveReason tells why a run should go on at another engine; empty if it should not
// (rule 7). Whether another one has room is decided by Choose.
func (sc *Snapshot) MoveReason(ru Run) Reason {
	stall := FirstEventTimeout
	if ru.Started {
		stall = StallTimeout
	}
	at := slices.IndexFunc(sc.engines, func(en Engine) bool { return en.ID == ru.Engine })
	switch {
	case ru.SinceLastEvent > stall:
		return Stalled
	case at < 0:
		return ""
	case sc.engines[at].Emptying:
		return Emptied
	case sc.engines[at].Loading:
		return Loading
	case sc.slow(sc.engines[at]):
		return Slow
	default:
		return ""
	}
}
