package quota

import (
	"time"

	"bilberryshelf/fleet"
)

const (
	// PermitTTL is how long a permit holds. It is above the time that an Ask takes over
	// the link between regions, and the pause between two passes that place items.
	PermitTTL = 400 * time.Millisecond
	// claimTTL is how long a claim stands without being renewed.
	claimTTL = 300 * time.Millisecond
	// askPause is the pause after an Ask that failed, askInterval the longest one between
	// two Asks while a claim stands.
	askPause    = 200 * time.Millisecond
	askInterval = 100 * time.Millisecond
)

// permits are permits that arrived together.
type permits struct {
	priority int
	count    int
	lapsesAt time.Time
}

// claim is the number of permits that a request or job waits for.
type claim struct {
	priority  int
	count     int
	renewedAt time.Time
}

// usable returns the position of the permits that a request of a priority may use, or -1:
// those of its own priority or else of a less urgent one.
func (st *state) usable(now time.Time, priority int) int {
	best := -1
	for at, pe := range st.permits {
		if pe.count > 0 && now.Before(pe.lapsesAt) && pe.priority >= priority && (best < 0 || pe.priority < st.permits[best].priority) {
			best = at
		}
	}
	return best
}

// Permits reports whether a target has a limit, and how many permits for it a request or
// job of a priority could use now.
func (ls *Limits) Permits(now time.Time, ta fleet.Target, priority int) (limited bool, count int) {
	if ls == nil {
		return false, 0
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.limited(ta)
	if st == nil {
		return false, 0
	}
	for _, pe := range st.permits {
		if now.Before(pe.lapsesAt) && pe.priority >= priority {
			count += pe.count
		}
	}
	return true, count
}

// Take takes a permit for a request that is sent now. It returns true for a target without
// a limit.
func (ls *Limits) Take(now time.Time, ta fleet.Target, priority int) bool {
	if ls == nil {
		return true
	}
	limited, taken := ls.take(now, ta, priority)
	if taken && ls.OnTake != nil {
		ls.OnTake(ta)
	}
	return taken || !limited
}

func (ls *Limits) take(now time.Time, ta fleet.Target, priority int) (limited, taken bool) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.limited(ta)
	if st == nil {
		return false, false
	}
	at := st.usable(now, priority)
	if at < 0 {
		return true, false
	}
	st.permits[at].count--
	return true, true
}

// Claim asks for permits on behalf of a request or job, named by key. A claim stands for
// claimTTL; a later one with the same key replaces it. It returns when the issuer expects
// to have a permit, as far as known.
func (ls *Limits) Claim(now time.Time, ta fleet.Target, key string, priority, count int) (permitAt time.Time) {
	if ls == nil {
		return now
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.limited(ta)
	if st == nil {
		return now
	}
	first := len(st.claims) == 0
	st.claims[key] = claim{priority: priority, count: count, renewedAt: now}
	if !st.asking && (first || !now.Before(st.nextAskAt)) {
		ls.wake()
	}
	return st.permitAt
}

// PermitAt returns when the issuer expects to have a permit, now if nothing is known.
func (ls *Limits) PermitAt(now time.Time, ta fleet.Target) time.Time {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if st := ls.limited(ta); st != nil && st.permitAt.After(now) {
		return st.permitAt
	}
	return now
}

// Withdraw ends a claim.
func (ls *Limits) Withdraw(ta fleet.Target, key string) {
	if ls == nil {
		return
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if st := ls.limited(ta); st != nil {
		delete(st.claims, key)
	}
}

// wake has the goroutine that asks for permits look for what is due.
func (ls *Limits) wake() {
	select {
	case ls.due <- struct{}{}:
	default:
	}
}

// Due returns a channel that gets a value when Asks may have to be sent.
func (ls *Limits) Due() <-chan struct{} {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.init()
	return ls.due
}

// Ask tells the issuer of a target's permits of its limit and asks for permits.
type Ask struct {
	Target  fleet.Target
	Limit   Limit
	ReadAge time.Duration
	// Counts maps a priority to the number of permits.
	Counts map[int]int
	SentAt time.Time
}

// Grant is the response to an Ask.
type Grant struct {
	// Limit is the limit as the issuer knows it, read ReadAge ago.
	Limit   Limit
	ReadAge time.Duration
	// Counts maps a priority to the number of permits issued.
	Counts map[int]int
	// RetryAfter is when the issuer expects to have another permit for the entry.
	RetryAfter time.Duration
}

// Asks returns the Asks to send now, at most one per target at a time, and when to look
// again, zero if nothing is known to become due. Each must be followed by Granted or
// Failed.
func (ls *Limits) Asks(now time.Time) (asks []Ask, next time.Time) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	for _, st := range ls.targets {
		counts := st.claimed(now)
		if st.asking || (len(counts) == 0 && !st.unreported) {
			continue
		}
		if now.Before(st.nextAskAt) {
			if next.IsZero() || st.nextAskAt.Before(next) {
				next = st.nextAskAt
			}
			continue
		}
		st.asking = true
		asks = append(asks, Ask{Target: st.target, Limit: st.limit, ReadAge: now.Sub(st.readAt), Counts: counts, SentAt: now})
	}
	return asks, next
}

// claimed returns the number of permits that standing claims lack, by priority.
func (st *state) claimed(now time.Time) map[int]int {
	counts := map[int]int{}
	for key, cl := range st.claims {
		if now.Sub(cl.renewedAt) > claimTTL {
			delete(st.claims, key)
			continue
		}
		counts[cl.priority] += cl.count
	}
	for _, pe := range st.permits {
		if now.Before(pe.lapsesAt) && counts[pe.priority] > 0 {
			counts[pe.priority] -= min(pe.count, counts[pe.priority])
		}
	}
	for priority, count := range counts {
		if count == 0 {
			delete(counts, priority)
		}
	}
	return counts
}

// Granted records the response to an Ask.
func (ls *Limits) Granted(now time.Time, as Ask, gr Grant) {
	ls.addGrant(now, as, gr)
	if was, changed := ls.adopt(as.Target, gr.Limit, now.Add(-gr.ReadAge)); changed && ls.OnChange != nil {
		ls.OnChange(as.Target, was, gr.Limit)
	}
}

func (ls *Limits) addGrant(now time.Time, as Ask, gr Grant) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.stateOf(as.Target)
	st.asking, st.unreported = false, st.unreported && st.limit != as.Limit
	st.nextAskAt, st.permitAt = now.Add(min(gr.RetryAfter, askInterval)), now.Add(gr.RetryAfter)
	st.addPermits(now, as.SentAt, gr.Counts)
	ls.signal()
	ls.wake()
}

// addPermits adds permits that were asked for at askedAt, and drops those that have lapsed.
func (st *state) addPermits(now, askedAt time.Time, counts map[int]int) {
	kept := st.permits[:0]
	for _, pe := range st.permits {
		if pe.count > 0 && now.Before(pe.lapsesAt) {
			kept = append(kept, pe)
		}
	}
	st.permits = kept
	for priority, count := range counts {
		st.permits = append(st.permits, permits{priority: priority, count: count, lapsesAt: askedAt.Add(PermitTTL)})
	}
}

// Failed records that an Ask got no response.
func (ls *Limits) Failed(now time.Time, as Ask) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.stateOf(as.Target)
	st.asking, st.nextAskAt = false, now.Add(askPause)
	ls.wake()
}

// forgetAfter is how long a target is kept after its limit was last read.
const forgetAfter = 10 * time.Minute

// Sweep forgets the targets whose limit was read long ago.
func (ls *Limits) Sweep(now time.Time) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	for in, st := range ls.targets {
		if now.Sub(st.readAt) > forgetAfter && !st.asking {
			delete(ls.targets, in)
		}
	}
}
