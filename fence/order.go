package fence

import (
	"time"

	"bilberryshelf/core"
)

// Orders issues the fencing tokens of the orders to one target and allows one order
// at a time. The high bits of a token are the incarnation, which rises with every
// start, so the tokens of a later guard are higher than those of an earlier one.
type Orders struct {
	// Incarnation is the number of the guard's start.
	Incarnation uint64
	// Fenced is set if the target itself refuses lower tokens.
	Fenced bool
	// MaxDuration bounds the time until an order has taken effect.
	MaxDuration time.Duration
	// Started is when the guard started.
	Started time.Time

	issued uint64
	busy   bool
}

// orderBits is the number of low bits that count the orders of an incarnation.
const orderBits = 20

// Next returns the token of a new order. It refuses while another order is in
// progress. For a target that does not check tokens, it also refuses until every
// order of the previous guard has taken effect.
func (or *Orders) Next(now time.Time) (uint64, *core.Error) {
	if or.busy {
		return 0, core.Refuse(core.CodeConflict, "an order is in progress")
	}
	if wait := or.Started.Add(or.MaxDuration).Sub(now); !or.Fenced && wait > 0 {
		return 0, core.Refuse(core.CodeNotReady, "an order of the previous guard may still arrive").WithRetryAfter(wait)
	}
	or.busy = true
	or.issued++
	return or.Incarnation<<orderBits | or.issued, nil
}

// Done ends the order in progress.
func (or *Orders) Done() { or.busy = false }
