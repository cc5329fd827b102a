package place

import (
	"slices"
	"time"
)

const (
	// Stall is how long a run may make no event: about ten events at the usual
	// pace.
	Stall = 400 * time.Millisecond
	// FirstStall is the same before the first event, when a prompt is read and
	// the engine may be loading weights.
	FirstStall = 700 * time.Millisecond
)

// Reason is why a run should leave its engine.
type Reason string

// The reasons.
const (
	Silent   Reason = "silent"
	Emptied  Reason = "emptied"
	LoadsNow Reason = "loads"
	SlowNow  Reason = "slow"
)

// Run is an item in progress.
type Run struct {
	Engine string
	// Silent is how long ago the last event came, or the start.
	Silent time.Duration
	// Started tells whether an event has come.
	Started bool
}

// Leave tells why a run should go on at another engine; empty if it should not
// (rule 7). Whether another one has room is decided by Choose.
func (sc *Scene) Leave(ru Run) Reason {
	stall := FirstStall
	if ru.Started {
		stall = Stall
	}
	at := slices.IndexFunc(sc.engines, func(en Engine) bool { return en.ID == ru.Engine })
	switch {
	case ru.Silent > stall:
		return Silent
	case at < 0:
		return ""
	case sc.engines[at].Emptying:
		return Emptied
	case sc.engines[at].Loading:
		return LoadsNow
	case sc.slow(sc.engines[at]):
		return SlowNow
	default:
		return ""
	}
}
