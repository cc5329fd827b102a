// Package poison detects requests that crash the targets that run them.
//
//  1. When a target dies, every request in progress on it becomes a suspect.
//  2. A suspect runs alone: no other request is on the target at the same time.
//  3. A request that ran alone on a target that died is condemned: all entries refuse
//     it at once with a final error, until the state expires.
//  4. A suspect that ran alone and was answered is cleared.
//  5. If two lists differ, condemned overrides the other states. Of suspect and cleared,
//     the one that expires later counts, since it is newer, and cleared if both expire
//     at the same time. If a target dies with a cleared request in progress, the
//     request becomes a suspect again, in every list.
//  6. Samples are exempt: a step is owed until its trainer ends it, and its samples are in
//     flight at a crash by coincidence only.
//
// A harmless request that runs beside a crashing one is therefore never condemned, and
// a crashing request takes down two targets: one shared with other requests, then one
// that it has alone.
package poison

import (
	"slices"
	"time"
)

// State classifies a request.
type State string

// The states. The zero value means that the request is not under suspicion.
const (
	Suspect   State = "suspect"
	Condemned State = "condemned"
	Cleared   State = "cleared"
)

func (st State) rank() int {
	switch st {
	case Suspect:
		return 1
	case Cleared:
		return 2
	case Condemned:
		return 3
	default:
		return 0
	}
}

// Report is the state of a request, as exchanged between lists.
type Report struct {
	Digest  uint64
	State   State
	Expires time.Time
}

// List holds the states of requests at one entry. It is not safe for concurrent use.
// TTL must be set.
type List struct {
	// TTL is the time until a state expires.
	TTL time.Duration
	// Max is the maximum number of requests in the list; zero means no limit.
	Max int

	reports map[uint64]Report
}

// Lookup returns the state of a request.
func (li *List) Lookup(now time.Time, digest uint64) State {
	re, found := li.reports[digest]
	if !found || now.After(re.Expires) {
		return ""
	}
	return re.State
}

// Expires returns when the state of a request expires, the zero time if it has none.
func (li *List) Expires(digest uint64) time.Time { return li.reports[digest].Expires }

// RecordDeath records that a target died with these requests in progress. Alone means
// that it was reserved for a single suspect.
func (li *List) RecordDeath(now time.Time, digests []uint64, alone bool) {
	for _, di := range digests {
		state := Suspect
		if alone && len(digests) == 1 { // rule 3
			state = Condemned
		}
		if li.Lookup(now, di) == Condemned {
			continue
		}
		li.put(Report{Digest: di, State: state, Expires: now.Add(li.TTL)})
	}
}

// RecordSuccess records that a request ran alone and was answered (rule 4).
func (li *List) RecordSuccess(now time.Time, digest uint64) {
	if li.Lookup(now, digest) == Suspect {
		li.put(Report{Digest: digest, State: Cleared, Expires: now.Add(li.TTL)})
	}
}

// Merge adds the reports of another list (rule 5) and returns how many of them changed
// this list.
func (li *List) Merge(now time.Time, reports []Report) int {
	changed := 0
	for _, re := range reports {
		if now.After(re.Expires) || re.State.rank() == 0 {
			continue
		}
		own, found := li.reports[re.Digest]
		if found && !now.After(own.Expires) && !re.overrides(own) {
			continue
		}
		li.put(re)
		changed++
	}
	return changed
}

func (re Report) overrides(other Report) bool {
	switch {
	case (re.State == Condemned) != (other.State == Condemned):
		return re.State == Condemned
	case !re.Expires.Equal(other.Expires):
		return re.Expires.After(other.Expires)
	default:
		return re.State.rank() > other.State.rank()
	}
}

func (li *List) put(re Report) {
	if li.reports == nil {
		li.reports = map[uint64]Report{}
	}
	li.reports[re.Digest] = re
	if li.Max > 0 && len(li.reports) > li.Max {
		li.evictEarliest()
	}
}

func (li *List) evictEarliest() {
	var earliest Report
	for _, re := range li.reports {
		if earliest.Expires.IsZero() || re.Expires.Before(earliest.Expires) {
			earliest = re
		}
	}
	delete(li.reports, earliest.Digest)
}

// Reports returns up to limit states, those that expire last first.
func (li *List) Reports(now time.Time, limit int) []Report {
	var reports []Report
	for di, re := range li.reports {
		if now.After(re.Expires) {
			delete(li.reports, di)
			continue
		}
		reports = append(reports, re)
	}
	slices.SortFunc(reports, func(lhs, rhs Report) int {
		if order := rhs.Expires.Compare(lhs.Expires); order != 0 {
			return order
		}
		if lhs.Digest < rhs.Digest {
			return -1
		}
		return 1
	})
	return reports[:min(limit, len(reports))]
}
