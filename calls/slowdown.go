package calls

import (
	"time"

	"bilberryshelf/fleet"
)

const (
	// maxSlowdownAge is the age from which a reported slowdown says nothing: shared hosts
	// are slow for about this long at a time.
	maxSlowdownAge = 600 * time.Millisecond
	// usualSlowdown is the value that a target reports while it is as fast as usual.
	usualSlowdown = 100
)

// slowdowns is what the responses of a target on a shared host say about its speed. The
// zero value is that of a target that reports no slowdown.
type slowdowns struct {
	newest int
	at     time.Time
	// latency is the mean latency of the responses, measured at the mean slowdown mean.
	latency time.Duration
	mean    float64
}

// add adds a response with a slowdown.
func (sl slowdowns) add(now time.Time, took time.Duration, slowdown int) slowdowns {
	if sl.mean == 0 {
		return slowdowns{newest: slowdown, at: now, latency: took, mean: float64(slowdown)}
	}
	return slowdowns{
		newest: slowdown, at: now,
		latency: sl.latency + time.Duration(latencyWeight*float64(took-sl.latency)),
		mean:    sl.mean + latencyWeight*(float64(slowdown)-sl.mean),
	}
}

// known reports whether the target reports its slowdown.
func (sl slowdowns) known() bool { return sl.mean > 0 }

// factor returns how many times as long as usual work takes at the target now.
func (sl slowdowns) factor(now time.Time) float64 {
	if !sl.known() || now.Sub(sl.at) > maxSlowdownAge {
		return 1
	}
	return float64(sl.newest) / usualSlowdown
}

// expected returns the expected latency of a request that begins now.
func (sl slowdowns) expected(now time.Time) float64 {
	return float64(sl.latency) * sl.factor(now) * usualSlowdown / sl.mean
}

// slowedLoad returns the load of a target for its class: that at which a target of usual
// speed would take as long.
func (ba *Balancer) slowedLoad(now time.Time, ta fleet.Target) float64 {
	load := ba.load(ta)
	if sl := ba.stats[ta.ID].slowdowns; sl.known() {
		return (load+1)*sl.factor(now) - 1
	}
	return load
}

// better returns the target of which a response is expected earlier, by load and slowdown,
// or the less loaded one unless both report their slowdowns.
func (ba *Balancer) better(now time.Time, lhs, rhs fleet.Target) fleet.Target {
	left, right := ba.stats[lhs.ID].slowdowns, ba.stats[rhs.ID].slowdowns
	if !left.known() || !right.known() {
		return ba.lessLoaded(lhs, rhs)
	}
	if (ba.load(rhs)+1)*right.expected(now) < (ba.load(lhs)+1)*left.expected(now) {
		return rhs
	}
	return lhs
}
