// Package member tells which entries are alive, from rows that each entry
// renews in the platform's store.
//
//  1. An entry's name is its node with a number that is new at each start, so
//     an earlier start of the same node is another entry, and known to be dead.
//  2. An entry lives while its row changed within Expiry, as seen here. Nobody
//     else's clock is asked.
//  3. While the rows are not fresh, nobody is found dead; and once they are fresh
//     again, each entry has Expiry to renew its row.
//  4. The jobs of a route belong to one entry: the live one with the highest
//     rendezvous weight for the route, of those near the store if there are any.
//     So it knows the load of its engines, and its connections to them are used
//     again by the next step.
//  5. An orphan is adopted by that entry; each further one waits AdoptStep longer,
//     so that one that does not act is passed over.
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/core"
	"bilberryshelf/table"
)

const (
	// Table holds a row for each node that runs an entry.
	Table = "member"
	// RenewInterval is the time between two renewals of a row.
	RenewInterval = time.Second
	// Expiry is three renewals: one may be lost and one may be late.
	Expiry = 3 * time.Second
	// staleAfter is how long ago the rows may have been confirmed: a watch and
	// one retry.
	staleAfter = 2500 * time.Millisecond
	// AdoptStep is the head start of the better placed entry: a read, a write and
	// a feed's turn.
	AdoptStep = 700 * time.Millisecond
)

// Record is the row of an entry.
type Record struct {
	Name      string `cbor:"1,keyasint"`
	Addr      string `cbor:"2,keyasint"`
	Heartbeat uint64 `cbor:"3,keyasint"`
	// LowCapacity entries take jobs but leave them to others.
	LowCapacity bool `cbor:"4,keyasint"`
	// Leaving entries are about to stop.
	Leaving bool   `cbor:"5,keyasint"`
	Domain  string `cbor:"6,keyasint"`
	// NearStore entries reach the store fast, as they measured it.
	NearStore bool   `cbor:"7,keyasint"`
	Region    string `cbor:"8,keyasint"`
}

// Encode turns a record into the value of a row.
func (re Record) Encode() ([]byte, error) { return cbor.Marshal(re) }

// ID is the row of a node.
func ID(node string) table.ID { return table.ID{Table: Table, Key: node} }

type observation struct {
	record Record
	at     time.Time
}

// View is what is known of the entries. It is not safe for concurrent use. The
// zero value knows none.
type View struct {
	byNode      map[string]observation
	confirmedAt time.Time
	// freshSince is when the rows became fresh after they had not been.
	freshSince time.Time
}

// Put takes a row; a value that cannot be decoded is an error and is ignored.
func (vi *View) Put(now time.Time, row table.Row) error {
	if vi.byNode == nil {
		vi.byNode = map[string]observation{}
	}
	if row.Dropped {
		delete(vi.byNode, row.ID.Key)
		return nil
	}
	var re Record
	if err := cbor.Unmarshal(row.Value, &re); err != nil {
		return err
	}
	if have, found := vi.byNode[row.ID.Key]; found && have.record == re {
		return nil
	}
	vi.byNode[row.ID.Key] = observation{record: re, at: now}
	return nil
}

// Confirm records that the rows were complete at a moment.
func (vi *View) Confirm(now time.Time) {
	if !vi.isFresh(now) {
		vi.freshSince = now
	}
	vi.confirmedAt = now
}

// Live lists the entries that are alive, by name.
func (vi *View) Live(now time.Time) []Record {
	var live []Record
	for _, se := range vi.byNode {
		if now.Sub(se.at) <= Expiry || now.Sub(vi.freshSince) <= Expiry || !vi.isFresh(now) {
			live = append(live, se.record)
		}
	}
	slices.SortFunc(live, func(lhs, rhs Record) int { return cmp.Compare(lhs.Name, rhs.Name) })
	return live
}

// Regions maps the failure domains of the entries to their regions.
func (vi *View) Regions() map[string]string {
	regions := make(map[string]string, len(vi.byNode))
	for _, se := range vi.byNode {
		regions[se.record.Domain] = se.record.Region
	}
	return regions
}

func (vi *View) isFresh(now time.Time) bool { return now.Sub(vi.confirmedAt) <= staleAfter }

// Find returns the record of a live entry.
func (vi *View) Find(now time.Time, name string) (Record, bool) {
	for _, re := range vi.Live(now) {
		if re.Name == name {
			return re, true
		}
	}
	return Record{}, false
}

// Dead tells whether an entry is known to be gone (rules 1 to 3).
func (vi *View) Dead(now time.Time, name string) bool {
	if name == "" {
		return true
	}
	if !vi.isFresh(now) {
		return false
	}
	_, alive := vi.Find(now, name)
	return !alive
}

// ranked lists the entries that run jobs, best placed for a route first.
func (vi *View) ranked(now time.Time, route string) []Record {
	var ranked []Record
	for _, re := range vi.Live(now) {
		if !re.Leaving && !re.LowCapacity {
			ranked = append(ranked, re)
		}
	}
	slices.SortFunc(ranked, func(lhs, rhs Record) int {
		if lhs.NearStore != rhs.NearStore {
			if lhs.NearStore {
				return -1
			}
			return 1
		}
		return cmp.Compare(core.Rendezvous(route, rhs.Name), core.Rendezvous(route, lhs.Name))
	})
	return ranked
}

// maxRowAge is how long ago an entry must have renewed its row to be handed a
// new job: one renewal and a feed's turn.
const maxRowAge = 1600 * time.Millisecond

// Owner is the entry that runs the jobs of a route (rule 4); found is false if
// there is none that surely lives.
func (vi *View) Owner(now time.Time, route string) (re Record, found bool) {
	if !vi.isFresh(now) {
		return Record{}, false
	}
	for _, re := range vi.ranked(now, route) {
		for _, se := range vi.byNode {
			if se.record.Name == re.Name && now.Sub(se.at) <= maxRowAge {
				return re, true
			}
		}
	}
	return Record{}, false
}

// AdoptDelay is how long after the owner's death an entry adopts a job of a route
// (rule 5); ok is false for one that adopts none.
func (vi *View) AdoptDelay(now time.Time, route, name string) (wait time.Duration, ok bool) {
	ranked := vi.ranked(now, route)
	at := slices.IndexFunc(ranked, func(re Record) bool { return re.Name == name })
	return time.Duration(at) * AdoptStep, at >= 0
}
