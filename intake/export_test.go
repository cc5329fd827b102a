package intake

import (
	"time"

	"bilberryshelf/origin"
)

// ConfigAge is configAge for tests.
func (en *Entry) ConfigAge(now time.Time) (time.Duration, bool) { return en.configAge(now) }

// KeepsOrigin keeps the origin of a stream and reports whether it is found.
func KeepsOrigin(id string) bool {
	var or origins
	or.keep(time.Time{}, id, origin.Place{}, true)
	_, found := or.find(id)
	return found
}

// TextBytes returns the memory that is reserved for the texts of items.
func (en *Entry) TextBytes() int64 { return en.owner.Texts.InUse() }
