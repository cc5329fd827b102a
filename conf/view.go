package conf

import (
	"slices"
	"time"

	"bilberryshelf/table"
)

const (
	// StaleViewAge is how long after the store's last confirmation peers are asked for the
	// operator's rows: one watch of these rows, 500 ms, and the way to another region.
	StaleViewAge = 800 * time.Millisecond
	// AskInterval is the time between two rounds of questions to peers.
	AskInterval = 400 * time.Millisecond
)

// View holds the newest version of each of the operator's rows, and when they were last known
// to be complete. The rows fit on one page of the store, so those held are always the state
// of the table at Version.
//
//  1. A row replaces the one held only if its version is higher, whoever sent it.
//  2. Peers are asked from StaleViewAge after the last confirmation by the store until the
//     next one. Confirmations by peers make the view younger, but do not end the questions.
//  3. A peer's view that is confirmed counts as of the time of the question minus its age,
//     which includes the age of the views that it was taken from. Entries that only ask each
//     other thus never become fresh.
//  4. The view of a peer that holds an older row version is not used.
//  5. A process without rows takes them only from a view that was confirmed after its start.
//     An older one may lack what an earlier process of this node already had in force.
//
// It is not safe for concurrent use. The zero value is empty and ready to use.
type View struct {
	// Since is when the process started.
	Since time.Time

	rows    map[table.ID]table.Row
	version uint64
	// confirmedAt is when the rows were last known to be complete, storeAt when the store
	// said so itself.
	confirmedAt, storeAt time.Time
}

// Answer is what a peer says about its view.
type Answer struct {
	Confirmed bool
	// Age is how long before the answer the peer's view was confirmed.
	Age time.Duration
	// Version is the highest version of a row that the peer holds.
	Version uint64
	Rows    []table.Row
}

// Version returns the highest version of a row held, zero if there is none.
func (vi *View) Version() uint64 { return vi.version }

// Put records rows and returns those that are newer than the ones held (rule 1).
func (vi *View) Put(rows []table.Row) (newer []table.Row) {
	if vi.rows == nil {
		vi.rows = map[table.ID]table.Row{}
	}
	for _, ro := range rows {
		if have, found := vi.rows[ro.ID]; found && have.Version >= ro.Version {
			continue
		}
		vi.rows[ro.ID] = ro
		vi.version = max(vi.version, ro.Version)
		newer = append(newer, ro)
	}
	return newer
}

// Confirm records that the store confirmed the rows as complete at the given time.
func (vi *View) Confirm(at time.Time) {
	vi.storeAt = later(vi.storeAt, at)
	vi.confirmedAt = later(vi.confirmedAt, at)
}

// ConfirmThrough records that the rows were complete at the given time according to a peer.
func (vi *View) ConfirmThrough(at time.Time) { vi.confirmedAt = later(vi.confirmedAt, at) }

// Age returns how long ago the rows were last known to be complete; known is false if they
// never were.
func (vi *View) Age(now time.Time) (age time.Duration, known bool) {
	if vi.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(vi.confirmedAt), 0), true
}

// ConfirmedAt returns when the rows were last known to be complete.
func (vi *View) ConfirmedAt() time.Time { return vi.confirmedAt }

// AskIn returns the time until peers are to be asked, zero if that is now (rule 2).
func (vi *View) AskIn(now time.Time) time.Duration {
	return max(later(vi.storeAt, vi.Since).Add(StaleViewAge).Sub(now), 0)
}

// Judge decides about the answer to a question that was sent at askedAt (rules 3 to 5): use
// reports whether to take over its rows, and as of when the view is then confirmed.
func (vi *View) Judge(askedAt time.Time, an Answer) (at time.Time, use bool) {
	if !an.Confirmed || an.Age < 0 || an.Version < vi.version {
		return time.Time{}, false
	}
	at = askedAt.Add(-an.Age)
	if vi.version == 0 && at.Before(vi.Since) {
		return time.Time{}, false
	}
	return at, true
}

// Answer returns what to say to a peer that holds rows up to a version.
func (vi *View) Answer(now time.Time, after uint64) Answer {
	an := Answer{Version: vi.version}
	an.Age, an.Confirmed = vi.Age(now)
	for _, ro := range vi.rows {
		if ro.Version > after {
			an.Rows = append(an.Rows, ro)
		}
	}
	slices.SortFunc(an.Rows, func(lhs, rhs table.Row) int {
		if lhs.Version < rhs.Version {
			return -1
		}
		return 1
	})
	return an
}

func later(lhs, rhs time.Time) time.Time {
	if rhs.After(lhs) {
		return rhs
	}
	return lhs
}
