package guard

import (
	"time"

	"bilberryshelf/core"
)

// entryRecord holds what the guard knows of an entry from its hellos.
type entryRecord struct {
	lastHello time.Time
	// drainReplies counts the hellos that were answered with state draining.
	drainReplies int
}

// entryRecords holds the entries that have sent a hello, by name. The zero value is
// ready to use.
type entryRecords map[string]entryRecord

// minDrainReplies is the number of draining answers after which an entry sends no new
// request: its second hello shows that it has processed the first answer.
const minDrainReplies = 2

// recordHello records a hello of an entry.
func (ers *entryRecords) recordHello(name string, now time.Time, phase core.State) {
	if *ers == nil {
		*ers = entryRecords{}
	}
	record := (*ers)[name]
	record.lastHello = now
	if phase == core.Draining {
		record.drainReplies++
	}
	(*ers)[name] = record
}

// unaware returns the number of entries that may still send requests because they do not
// know that the guard is draining. An entry whose last hello was longer than window before
// the start of the drain is not counted.
func (ers entryRecords) unaware(drainStart time.Time, window time.Duration) int {
	count := 0
	for _, record := range ers {
		if record.drainReplies < minDrainReplies && drainStart.Sub(record.lastHello) <= window {
			count++
		}
	}
	return count
}
