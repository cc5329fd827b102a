package guard

import (
	"time"

	"bilberryshelf/core"
)

// entryRecord is an entry as its hellos show it.
type entryRecord struct {
	lastHello time.Time
	// drainReplies is how many hellos were answered with the news that the guard leaves.
	drainReplies int
}

// entryRecords is the entries that say hello, by name. The zero value is empty.
type entryRecords map[string]entryRecord

// minDrainReplies is the hellos after which an entry sends nothing new: with the
// second it shows that it has acted on the first's answer.
const minDrainReplies = 2

// recordHello counts a hello of an entry.
func (gr *entryRecords) recordHello(name string, now time.Time, phase core.State) {
	if *gr == nil {
		*gr = entryRecords{}
	}
	one := (*gr)[name]
	one.lastHello = now
	if phase == core.Draining {
		one.drainReplies++
	}
	(*gr)[name] = one
}

// unaware counts the entries that were there when the guard began to leave, or
// came since, and may still send to it. One silent for longer than window
// before that is not waited for.
func (gr entryRecords) unaware(leaving time.Time, window time.Duration) int {
	count := 0
	for _, one := range gr {
		if one.drainReplies < minDrainReplies && leaving.Sub(one.lastHello) <= window {
			count++
		}
	}
	return count
}
