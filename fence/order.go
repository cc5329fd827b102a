package fence

import (
	"time"

	"bilberryshelf/core"
)

// Orders gives out the fencing numbers of the orders to one target and keeps
// them one at a time. Numbers start above the incarnation, which grows with
// every start, so a later guard always outbids an earlier one.
type Orders struct {
	// Incarnation is the guard's start number.
	Incarnation uint64
	// Fenced says that the target refuses lower numbers itself.
	Fenced bool
	// MaxDuration bounds the time an order may take to have its effect.
	MaxDuration time.Duration
	// Started is when the guard started.
	Started time.Time

	issued uint64
	busy   bool
}

// orderBits is the number of low bits that count orders inside an incarnation.
const orderBits = 20

// Next returns the number of a new order. It refuses while another order is
// in progress, and, for a target that ignores old numbers, until the longest
// order of a former guard has had its effect.
func (or *Orders) Next(now time.Time) (uint64, *core.Error) {
	if or.busy {
		return 0, core.Refuse(core.CodeConflict, "an order is in progress")
	}
	if wait := or.Started.Add(or.MaxDuration).Sub(now); !or.Fenced && wait > 0 {
		return 0, core.Refuse(core.CodeNotReady, "an order of the former guard may still arrive").WithRetryAfter(wait)
	}
	or.busy = true
	or.issued++
	return or.Incarnation<<orderBits | or.issued, nil
}

// Done ends the order in progress.
func (or *Orders) Done() { or.busy = false }
