package usage

import "time"

const (
	// DefaultSettle is the time after the end of a window for which the entries' counts are
	// awaited: their answers, a write each 500 ms, and one retry through a peer.
	DefaultSettle = 3 * time.Second
	// maxDue bounds the windows that are fixed in one pass, in case of a long outage.
	maxDue = 64
)

// Due returns the windows to fix at a true time, in order: those from next on that ended at
// least settle ago.
func Due(next uint64, now, settle, length time.Duration) []uint64 {
	var due []uint64
	ended := WindowAt(now-settle, length) // compared as a window: the end of a very late one overflows
	for window := next; window < ended && len(due) < maxDue; window++ {
		due = append(due, window)
	}
	return due
}

// First returns the first window to fix where none was: the oldest for which an entry stored
// counts, or the one in which the duty began, whichever is earlier.
func First(sums map[uint64]Sum, began uint64) uint64 {
	first := began
	for window := range sums {
		first = min(first, window)
	}
	return first
}
