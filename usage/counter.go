// Package usage counts, by workspace, the requests that began to run in each window of
// time, and reports the sums of all entries to the platform.
//
//  1. A request counts once per workspace and id, in the window of true time in which it
//     began to run (Counter).
//  2. True time is the platform's shared clock plus the median offset of the entries' wall
//     clocks from it, so that one wrong or jumping wall clock changes nothing (Truth).
//  3. Each entry stores its own absolute counts. Storing them again is harmless.
//  4. The sum of a window is fixed in the store before it is sent, once for ever: the write
//     raises a cursor by one and expects the version of the cursor that was read. Whoever
//     sends a window sends what is fixed, so two different reports of a window never exist
//     (Reporter).
//  5. A window is fixed only Settle after its end, when the entries have stored their counts.
//  6. Sending is repeated until the platform accepts the report. A window that fails does
//     not delay the next.
package usage

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bilberryshelf/table"
)

const (
	// DefaultLength is the length of a window if the settings have none.
	DefaultLength = 5 * time.Second
	// Retention is how long counts and reports are kept after they were stored or sent.
	Retention = time.Minute
)

// Counts maps workspaces to numbers of requests.
type Counts map[string]uint64

// Total returns the number of requests of all workspaces.
func (co Counts) Total() uint64 {
	var total uint64
	for _, count := range co {
		total += count
	}
	return total
}

// WindowAt returns the window of a time since the start of 1970.
func WindowAt(at, length time.Duration) uint64 { return uint64(max(at, 0) / length) }

// EndOf returns the end of a window as time since the start of 1970.
func EndOf(window uint64, length time.Duration) time.Duration {
	return time.Duration(window+1) * length
}

// requestKey identifies a request. Ids are chosen by callers, so that two workspaces may use
// the same.
type requestKey struct{ workspace, id string }

// Counter holds the counts of one entry. It is safe for concurrent use. The zero value is
// empty and ready to use.
type Counter struct {
	mutex   sync.Mutex
	windows map[uint64]Counts
	// written holds the totals that were stored last. A count never falls, so equal totals
	// mean equal counts.
	written map[uint64]uint64
	// seen maps the counted requests to their windows.
	seen map[requestKey]uint64
	// from is the first window that can still be counted.
	from uint64
}

// Count counts a request in a window, and reports whether it did: a request counts once
// (rule 1), and not in a window that was dropped.
func (co *Counter) Count(window uint64, workspace, id string) bool {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	if co.windows == nil {
		co.windows, co.written, co.seen = map[uint64]Counts{}, map[uint64]uint64{}, map[requestKey]uint64{}
	}
	key := requestKey{workspace, id}
	if _, found := co.seen[key]; (found && id != "") || window < co.from {
		return false
	}
	co.seen[key] = window
	if co.windows[window] == nil {
		co.windows[window] = Counts{}
	}
	co.windows[window][workspace]++
	return true
}

// Changed returns a copy of the counts of the windows that changed since they were stored, as
// many as fit one transaction, the oldest first.
func (co *Counter) Changed() map[uint64]Counts {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	changed := map[uint64]Counts{}
	for _, window := range slices.Sorted(maps.Keys(co.windows)) {
		if counts := co.windows[window]; counts.Total() != co.written[window] && len(changed) < table.MaxTxRows {
			changed[window] = maps.Clone(counts)
		}
	}
	return changed
}

// Written records that counts were stored.
func (co *Counter) Written(stored map[uint64]Counts) {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	for window, counts := range stored {
		co.written[window] = max(co.written[window], counts.Total())
	}
}

// Sweep drops the windows before the given one that are stored. Counting in a dropped window
// would store a lower count than before.
func (co *Counter) Sweep(before uint64) {
	co.mutex.Lock()
	defer co.mutex.Unlock()
	for window, counts := range co.windows {
		if window < before && counts.Total() == co.written[window] {
			delete(co.windows, window)
			delete(co.written, window)
		}
	}
	for key, window := range co.seen {
		if window < before {
			delete(co.seen, key)
		}
	}
	co.from = max(co.from, before)
}
