// Package member tracks which entries are alive. Each entry renews a row in the
// platform's store as its heartbeat.
//
//  1. The name of an entry is its node and a number that is new at each start. An
//     earlier start of the same node is therefore another entry, and it is dead.
//  2. An entry is alive while its row has changed within Expiry, measured with the
//     local clock only.
//  3. While the rows are outdated, no entry is declared dead. When they are fresh
//     again, each entry has Expiry to renew its row.
//  4. The jobs of a route have one owner: the live entry with the highest rendezvous
//     weight for the route, among the entries near the store if there are any. The
//     owner thus knows the load of the route's engines, and the next step reuses
//     its connections to them.
//  5. If the owner of a job dies, the new owner of the route adopts the job. Each
//     entry that ranks lower waits AdoptStep longer, in case those before it fail
//     to adopt.
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
	// Table is the table of the store with a row for each node that runs an entry.
	Table = "member"
	// RenewInterval is the time between two heartbeats of an entry.
	RenewInterval = time.Second
	// Expiry is three heartbeats: one may be lost and one may be late.
	Expiry = 3 * time.Second
	// staleAfter is the age of the last confirmation from which the rows count as
	// outdated: one watch and one retry.
	staleAfter = 2500 * time.Millisecond
	// AdoptStep is the delay between the adoption attempts of two entries: one read,
	// one write and one poll of a feed.
	AdoptStep = 700 * time.Millisecond
)

// Record is the row of an entry.
type Record struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Heartbeat counts the renewals of the row.
	Heartbeat uint64 `cbor:"3,keyasint"`
	// LowCapacity entries accept jobs but leave it to other entries to run them.
	LowCapacity bool `cbor:"4,keyasint"`
	// Stopping is set before the entry stops.
	Stopping bool   `cbor:"5,keyasint"`
	Domain   string `cbor:"6,keyasint"`
	// NearStore is set if the entry measured a short latency to the store.
	NearStore bool   `cbor:"7,keyasint"`
	Region    string `cbor:"8,keyasint"`
	// Limits are those of the targets whose permits the entry issues, encoded by quota.
	Limits cbor.ByteString `cbor:"9,keyasint,omitempty"`
	// Load is what runs and waits at the entry, by service, encoded by scale. It is present
	// only where a service is scaled.
	Load cbor.ByteString `cbor:"10,keyasint,omitempty"`
	// Offset is by how much the entry's wall clock is ahead of the platform's clock; zero if
	// it is not measured.
	Offset time.Duration `cbor:"11,keyasint,omitempty"`
}

// Encode returns the stored value of a record.
func (re Record) Encode() ([]byte, error) { return cbor.Marshal(re) }

// ID returns the id of the row of a node.
func ID(node string) table.ID { return table.ID{Table: Table, Key: node} }

// observation is a record and when it last changed, by the local clock.
type observation struct {
	record Record
	at     time.Time
}

// View holds the known entries. It is not safe for concurrent use. The zero value is
// empty and ready to use.
type View struct {
	byNode map[string]observation
	// confirmedAt is when the rows were last known to be complete.
	confirmedAt time.Time
	// freshSince is when the rows last became fresh after they had been outdated.
	freshSince time.Time
	// lastEligible are the eligible entries when they last changed, at changedAt.
	lastEligible []Record
	changedAt    time.Time
}

// Put updates the view from a row. A value that cannot be decoded is ignored and
// returned as an error.
func (vi *View) Put(now time.Time, row table.Row) error {
	if vi.byNode == nil {
		vi.byNode = map[string]observation{}
	}
	if row.Deleted {
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

// Announcements returns the limits that the entries of these rows announce.
func (vi *View) Announcements(rows []table.Row) [][]byte {
	var texts [][]byte
	for _, ro := range rows {
		if ob, found := vi.byNode[ro.ID.Key]; found && !ro.Deleted && ob.record.Limits != "" {
			texts = append(texts, []byte(ob.record.Limits))
		}
	}
	return texts
}

// Confirm records that the rows were complete at the given time.
func (vi *View) Confirm(now time.Time) {
	if !vi.isFresh(now) {
		vi.freshSince = now
	}
	vi.confirmedAt = now
}

// Live returns the entries that are alive, sorted by name.
func (vi *View) Live(now time.Time) []Record {
	var live []Record
	for _, ob := range vi.byNode {
		if now.Sub(ob.at) <= Expiry || now.Sub(vi.freshSince) <= Expiry || !vi.isFresh(now) {
			live = append(live, ob.record)
		}
	}
	slices.SortFunc(live, func(lhs, rhs Record) int { return cmp.Compare(lhs.Name, rhs.Name) })
	return live
}

// Known returns all entries with a row, also those that are dead, in any order.
func (vi *View) Known() []Record {
	known := make([]Record, 0, len(vi.byNode))
	for _, ob := range vi.byNode {
		known = append(known, ob.record)
	}
	return known
}

// Regions returns the region of each failure domain that has an entry.
func (vi *View) Regions() map[string]string {
	regions := make(map[string]string, len(vi.byNode))
	for _, ob := range vi.byNode {
		regions[ob.record.Domain] = ob.record.Region
	}
	return regions
}

func (vi *View) isFresh(now time.Time) bool { return now.Sub(vi.confirmedAt) <= staleAfter }

// Find returns the record of a live entry by name.
func (vi *View) Find(now time.Time, name string) (Record, bool) {
	for _, re := range vi.Live(now) {
		if re.Name == name {
			return re, true
		}
	}
	return Record{}, false
}

// Dead reports whether an entry is known to be dead (rules 1 to 3). The empty name
// means that there is no owner; it counts as dead.
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

// eligible returns the live entries that can own jobs and issue permits, sorted by name.
func (vi *View) eligible(now time.Time) []Record {
	return slices.DeleteFunc(vi.Live(now), func(re Record) bool { return re.Stopping || re.LowCapacity })
}

// ranked returns the entries that can own the jobs of a route, in the order of rule 4.
func (vi *View) ranked(now time.Time, route string) []Record {
	ranked := vi.eligible(now)
	slices.SortFunc(ranked, func(lhs, rhs Record) int {
		if lhs.NearStore != rhs.NearStore {
			if lhs.NearStore {
				return -1
			}
			return 1
		}
		return compareWeights(route, lhs, rhs)
	})
	return ranked
}

// compareWeights orders entries by their rendezvous weight for a key, the highest first.
func compareWeights(key string, lhs, rhs Record) int {
	return cmp.Compare(core.Rendezvous(key, rhs.Name), core.Rendezvous(key, lhs.Name))
}

// issuerCount is the number of entries that may issue the permits of a target: the issuer
// and its deputy.
const issuerCount = 2

// Issuers returns the entry that issues the permits of a target, and its deputy.
func (vi *View) Issuers(now time.Time, target string) []Record {
	ranked := vi.ranked(now, "permits/"+target)
	if len(ranked) == 0 { // all are small or stopping
		ranked = vi.Live(now)
	}
	return ranked[:min(len(ranked), issuerCount)]
}

// Replicas returns the live entries but one, in the order in which they keep what is known
// about an id: first the entry of each failure domain with the highest rendezvous weight,
// then the second of each, and so on. So the loss of one of the first two leaves the other
// among the first of the domains.
func (vi *View) Replicas(now time.Time, id, except string) []Record {
	all := slices.DeleteFunc(vi.Live(now), func(re Record) bool { return re.Stopping || re.Name == except })
	slices.SortFunc(all, func(lhs, rhs Record) int { return compareWeights(id, lhs, rhs) })
	perDomain, rank := map[string]int{}, map[string]int{}
	for _, re := range all {
		rank[re.Name] = perDomain[re.Domain]
		perDomain[re.Domain]++
	}
	slices.SortStableFunc(all, func(lhs, rhs Record) int { return cmp.Compare(rank[lhs.Name], rank[rhs.Name]) })
	return all
}

// ChangedAt returns when the live entries, or what ranks them, last changed.
func (vi *View) ChangedAt(now time.Time) time.Time {
	eligible := vi.eligible(now)
	same := func(lhs, rhs Record) bool { return lhs.Name == rhs.Name && lhs.NearStore == rhs.NearStore }
	if !slices.EqualFunc(eligible, vi.lastEligible, same) {
		vi.lastEligible, vi.changedAt = eligible, now
	}
	return vi.changedAt
}

// maxRowAge is the largest age of a heartbeat with which an entry gets new jobs: one
// heartbeat interval and one poll of a feed.
const maxRowAge = 1600 * time.Millisecond

// Owner returns the entry that runs the jobs of a route (rule 4); found is false if
// no entry is certain to be alive.
func (vi *View) Owner(now time.Time, route string) (re Record, found bool) {
	if !vi.isFresh(now) {
		return Record{}, false
	}
	for _, re := range vi.ranked(now, route) {
		for _, ob := range vi.byNode {
			if ob.record.Name == re.Name && now.Sub(ob.at) <= maxRowAge {
				return re, true
			}
		}
	}
	return Record{}, false
}

// AdoptDelay returns how long an entry waits after the death of the owner before it
// adopts a job of a route (rule 5); ok is false for an entry that adopts none.
func (vi *View) AdoptDelay(now time.Time, route, name string) (wait time.Duration, ok bool) {
	ranked := vi.ranked(now, route)
	at := slices.IndexFunc(ranked, func(re Record) bool { return re.Name == name })
	return time.Duration(at) * AdoptStep, at >= 0
}
