package place

import "time"

const (
	// SharedPaceWindow is the time over which the pace of an engine on a shared host is
	// averaged: several of the periods of about 600 ms in which such a host is slow. With
	// 1 s runs move twice as often, and steps are as long.
	SharedPaceWindow = 2 * time.Second
	// sharedSlowdown is the factor by which a shared host is slower in such a period.
	sharedSlowdown = 2.5
	// moveCost is the time that a move takes: a connection and reading the text again.
	moveCost = 100 * time.Millisecond
)

// pace returns the pace by which an engine is compared to others: that of a longer time on
// a shared host (rule 7), the last measured one otherwise.
func (en Engine) pace() time.Duration {
	if en.SharedHost {
		return en.LongPace
	}
	return en.Pace
}

// scaleTimeout returns the timeout for events of an engine.
func (en Engine) scaleTimeout(timeout time.Duration) time.Duration {
	if en.SharedHost {
		return time.Duration(sharedSlowdown * float64(timeout))
	}
	return timeout
}

// endsEarlier reports whether an item that is to leave a slow engine on a shared host ends
// earlier on another engine by enough to be worth the move (rule 7), which must be faster by
// SlowFactor: one that is itself slower than most may be the next to be left. It is true for
// all other items.
func (sn *Snapshot) endsEarlier(it Item, other Engine) bool {
	if it.MoveReason != Slow {
		return true
	}
	at := sn.position(it.Avoid)
	if at < 0 || !sn.engines[at].SharedHost {
		return true
	}
	elsewhere := other.pace()
	if elsewhere == 0 {
		elsewhere = sn.median
	}
	here := sn.engines[at].pace()
	return float64(here) > SlowFactor*float64(elsewhere) && time.Duration(it.RemainingEvents)*(here-elsewhere) >= MinMoveGain+moveCost
}
