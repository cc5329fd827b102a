package guard

import (
	"time"

	"bilberryshelf/core"
)

// greeter is an entry as its hellos show it.
type greeter struct {
	last time.Time
	// told is how many hellos were answered with the news that the guard leaves.
	told int
}

// greeters is the entries that say hello, by name. The zero value is empty.
type greeters map[string]greeter

// enoughTold is the hellos after which an entry sends nothing new: with the
// second it shows that it has acted on the first's answer.
const enoughTold = 2

// greet counts a hello of an entry.
func (gr *greeters) greet(name string, now time.Time, phase core.State) {
	if *gr == nil {
		*gr = greeters{}
	}
	one := (*gr)[name]
	one.last = now
	if phase == core.Draining {
		one.told++
	}
	(*gr)[name] = one
}

// unaware counts the entries that were there when the guard began to leave, or
// came since, and may still send to it. One silent for longer than window
// before that is not waited for.
func (gr greeters) unaware(leaving time.Time, window time.Duration) int {
	count := 0
	for _, one := range gr {
		if one.told < enoughTold && leaving.Sub(one.last) <= window {
			count++
		}
	}
	return count
}
