package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"bilberryshelf/fleet"
)

// Role is why an entry is asked for permits.
type Role string

// The roles.
const (
	// Primary is the issuer of a target's permits.
	Primary Role = "primary"
	// Newcomer is an issuer that became it within TakeoverTime, so that some entries may
	// still ask another one.
	Newcomer Role = "newcomer"
	// Deputy is asked when the issuer does not respond.
	Deputy Role = "deputy"
)

const (
	// TakeoverTime is the time within which the entries' views of who lives differ: three
	// heartbeats.
	TakeoverTime = 3 * time.Second
	// burstTime is the time for which unused permits are kept.
	burstTime = 600 * time.Millisecond
	// fairTurn is the interval, in permits, at which a less urgent claim comes first.
	fairTurn = 4
	// minRetryAfter is the shortest estimate of when there is another permit.
	minRetryAfter = 20 * time.Millisecond
	// standingTTL is how long a claim stands after the last Ask for it: the longest pause
	// between two Asks, and the way over the link between regions.
	standingTTL = 250 * time.Millisecond
	// maxCount bounds the permits of one claim, and so the work of an Ask.
	maxCount = 64
)

// shares holds the share of the limit that may be issued (rule 4).
var shares = map[Role]float64{Primary: 1, Newcomer: 0.5, Deputy: 0.25}

// Issuer issues the permits of targets. It is safe for concurrent use. The zero value is
// ready to use.
type Issuer struct {
	mutex   sync.Mutex
	buckets map[bucketKey]*bucket
}

type bucketKey struct {
	target fleet.Incarnation
	deputy bool
}

// bucket holds the permits of one target that may be issued.
type bucket struct {
	limit    Limit
	readAt   time.Time
	tokens   float64
	filledAt time.Time
	askedAt  time.Time
	// issued counts the permits; turns maps a priority to the last one that it got.
	issued int
	turns  map[int]int
	claims map[claimKey]*standing
}

type claimKey struct {
	entry    string
	priority int
}

// standing is a claim of an entry. since is when it began or was last served.
type standing struct {
	claimKey
	count   int
	since   time.Time
	askedAt time.Time
}

// Issue answers an Ask of an entry.
func (is *Issuer) Issue(now time.Time, entry string, as Ask, ro Role) Grant {
	is.mutex.Lock()
	defer is.mutex.Unlock()
	bu := is.bucket(now, as, ro)
	bu.adopt(now, as)
	bu.fill(now, shares[ro])
	bu.stand(now, entry, as.Counts)
	gr := Grant{Limit: bu.limit, ReadAge: now.Sub(bu.readAt), Counts: map[int]int{}}
	if bu.limit == 0 {
		return gr
	}
	others := bu.serve(now, entry, gr.Counts)
	missing := others + 1 - bu.tokens
	gr.RetryAfter = max(time.Duration(missing*float64(bu.limit.every(shares[ro]))), minRetryAfter)
	return gr
}

// bucket returns the bucket of a target. It creates it if needed.
func (is *Issuer) bucket(now time.Time, as Ask, ro Role) *bucket {
	if is.buckets == nil {
		is.buckets = map[bucketKey]*bucket{}
	}
	key := bucketKey{as.Target.Incarnation(), ro == Deputy}
	bu := is.buckets[key]
	if bu == nil {
		bu = &bucket{filledAt: now, turns: map[int]int{}, claims: map[claimKey]*standing{}}
		is.buckets[key] = bu
	}
	bu.askedAt = now
	return bu
}

// adopt takes over the limit of an Ask if it is newer.
func (bu *bucket) adopt(now time.Time, as Ask) {
	if readAt := now.Add(-as.ReadAge); readAt.After(bu.readAt) && (as.Limit != bu.limit || bu.readAt.IsZero()) {
		bu.limit, bu.readAt = as.Limit, readAt
	}
}

// fill adds the permits of the time that has passed, up to a burst of burstTime.
func (bu *bucket) fill(now time.Time, share float64) {
	rate := float64(bu.limit) * share
	bu.tokens = min(bu.tokens+rate*now.Sub(bu.filledAt).Seconds(), 1+rate*burstTime.Seconds())
	bu.filledAt = now
}

// stand replaces the claims of an entry and drops those of entries that no longer ask.
func (bu *bucket) stand(now time.Time, entry string, counts map[int]int) {
	for key, sg := range bu.claims {
		if (key.entry == entry && counts[key.priority] == 0) || now.Sub(sg.askedAt) > standingTTL {
			delete(bu.claims, key)
		}
	}
	for priority, count := range counts {
		key := claimKey{entry, priority}
		if bu.claims[key] == nil {
			bu.claims[key] = &standing{claimKey: key, since: now}
		}
		bu.claims[key].count, bu.claims[key].askedAt = min(count, maxCount), now
	}
}

// serve divides the whole permits at hand among the claims (rule 5). It issues those of the
// entry and sets those of others aside until they ask. It returns how many permits others
// are to get before the next one of this entry.
func (bu *bucket) serve(now time.Time, entry string, issued map[int]int) (others float64) {
	queue := make([]standing, 0, len(bu.claims))
	for _, sg := range bu.claims {
		queue = append(queue, *sg)
	}
	turns := maps.Clone(bu.turns)
	for turn := bu.issued; len(queue) > 0 && bu.tokens >= others+1; turn++ {
		at := next(queue, turns, turn)
		sg := &queue[at]
		turns[sg.priority] = turn + 1
		if sg.entry == entry {
			bu.tokens--
			bu.issued++
			issued[sg.priority]++
			bu.turns[sg.priority] = bu.issued
			bu.claims[sg.claimKey].since = now
		} else {
			others++
		}
		sg.since = now.Add(time.Duration(turn)) // behind those that wait
		if sg.count--; sg.count == 0 {
			queue = slices.Delete(queue, at, at+1)
		}
	}
	return others + ahead(queue, entry)
}

// ahead returns the number of claims that come before the first one of an entry.
func ahead(queue []standing, entry string) (count float64) {
	first := slices.IndexFunc(queue, func(sg standing) bool { return sg.entry == entry })
	if first < 0 {
		return 0
	}
	for _, sg := range queue {
		if compare(sg, queue[first]) < 0 {
			count++
		}
	}
	return count
}

// next returns the position of the claim that gets the next permit: the most urgent one, or
// at each fairTurn-th permit one of the priority that was served longest ago.
func next(queue []standing, turns map[int]int, turn int) int {
	fair, best := turn%fairTurn == fairTurn-1, 0
	for at := range queue {
		lhs, rhs := queue[at], queue[best]
		if waited := cmp.Compare(turns[lhs.priority], turns[rhs.priority]); fair && waited != 0 {
			if waited < 0 {
				best = at
			}
		} else if compare(lhs, rhs) < 0 {
			best = at
		}
	}
	return best
}

func compare(lhs, rhs standing) int {
	return cmp.Or(cmp.Compare(lhs.priority, rhs.priority), lhs.since.Compare(rhs.since), cmp.Compare(lhs.entry, rhs.entry))
}

// Sweep forgets the targets for which nobody has asked for a while.
func (is *Issuer) Sweep(now time.Time) {
	is.mutex.Lock()
	defer is.mutex.Unlock()
	for key, bu := range is.buckets {
		if now.Sub(bu.askedAt) > forgetAfter {
			delete(is.buckets, key)
		}
	}
}
