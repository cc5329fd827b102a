// Package poison finds requests that crash the targets that run them.
//
//  1. When a target dies, every request in progress on it becomes a suspect.
//  2. A suspect runs alone: nothing else is on the target at the same time.
//  3. A request that was alone on a target that died is condemned. It is
//     refused at once everywhere, with a final answer, until that lapses.
//  4. A suspect that ran alone and was answered is cleared.
//  5. Where two lists differ, condemned beats cleared and cleared beats
//     suspect; of two with the same state the later lapse counts. A death
//     after a clearance makes a suspect anew.
//
// So an innocent neighbour is never condemned, and a guilty request costs one
// target among neighbours and one alone.
package poison

import (
	"slices"
	"time"
)

// State is what is known of a request.
type State string

// The states. The zero value means that nothing is known against it.
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

// Report is what one list tells another of a request.
type Report struct {
	Digest  uint64
	State   State
	Expires time.Time
}

// List is what an entry knows of bad requests. It is not safe for concurrent
// use. The zero value remembers nothing; set Lapse.
type List struct {
	// TTL is how long a state is remembered.
	TTL time.Duration
	// Most bounds the number of requests remembered; zero means no bound.
	Most int

	reports map[uint64]Report
}

// Lookup tells what is known of a request.
func (li *List) Lookup(now time.Time, digest uint64) State {
	re, found := li.reports[digest]
	if !found || now.After(re.Expires) {
		return ""
	}
	return re.State
}

// Expires is when the state of a request lapses.
func (li *List) Expires(digest uint64) time.Time { return li.reports[digest].Expires }

// RecordDeath records that a target died with these requests in progress.
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

// Merge takes over what another list knows (rule 5) and returns how many
// reports were new.
func (li *List) Merge(now time.Time, reports []Report) int {
	news := 0
	for _, re := range reports {
		if now.After(re.Expires) || re.State.rank() == 0 {
			continue
		}
		mine, found := li.reports[re.Digest]
		if found && !now.After(mine.Expires) && !re.overrides(mine) {
			continue
		}
		li.put(re)
		news++
	}
	return news
}

func (re Report) overrides(other Report) bool {
	if re.State != other.State {
		return re.State.rank() > other.State.rank()
	}
	return re.Expires.After(other.Expires)
}

func (li *List) put(re Report) {
	if li.reports == nil {
		li.reports = map[uint64]Report{}
	}
	li.reports[re.Digest] = re
	if li.Most > 0 && len(li.reports) > li.Most {
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

// Reports lists what is known, the latest first, at most the given number.
func (li *List) Reports(now time.Time, most int) []Report {
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
	return reports[:min(most, len(reports))]
}
