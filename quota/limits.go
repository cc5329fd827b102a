package quota

import (
	"math"
	"sync"
	"time"

	"bilberryshelf/fleet"
)

// Limit is the number of requests per second that a target accepts from all entries
// together. Zero means that it named no limit.
type Limit float64

// minLimit is what a limit of zero or below it counts as. A request each five seconds
// shows when the target has room again.
const minLimit Limit = 0.2

// NewLimit returns the limit for a number that a target named. It returns ok false for a
// number that is no rate: negative, infinite or not a number.
func NewLimit(perSecond float64) (li Limit, ok bool) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false
	}
	return max(Limit(perSecond), minLimit), true
}

// Reading is what the head of a response says about its target's limit.
type Reading struct {
	// Limit is zero if the response names none.
	Limit Limit
	// Malformed is a text that names no rate. Such a reading changes nothing.
	Malformed string
}

// incarnation identifies one start of a target.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(ta fleet.Target) incarnation { return incarnation{ta.ID, ta.StartedAt} }

// Limits holds the limits of the targets as this entry knows them. It is safe for
// concurrent use. The zero value is ready to use; a nil *Limits has no limits.
type Limits struct {
	// OnChange is called when the limit of a target changes, OnMalformed the first time
	// that an incarnation names something that is no rate. Both may be nil; set them
	// before use.
	OnChange    func(ta fleet.Target, was, is Limit)
	OnMalformed func(ta fleet.Target, text string)

	mutex   sync.Mutex
	targets map[incarnation]*state
}

// state is what is known about the limit of one incarnation.
type state struct {
	limit Limit
	// readAt is when the request was sent whose response the limit is from.
	readAt    time.Time
	malformed bool
}

// Observe records what a response says about its target's limit. SentAt is when the request
// was sent: a response to an earlier request never overrides one to a later request.
func (ls *Limits) Observe(ta fleet.Target, sentAt time.Time, re Reading) {
	if ls == nil {
		return
	}
	if was, changed, malformed := ls.observe(ta, sentAt, re); malformed && ls.OnMalformed != nil {
		ls.OnMalformed(ta, re.Malformed)
	} else if changed && ls.OnChange != nil {
		ls.OnChange(ta, was, re.Limit)
	}
}

func (ls *Limits) observe(ta fleet.Target, sentAt time.Time, re Reading) (was Limit, changed, malformed bool) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	st := ls.targets[incarnationOf(ta)]
	if st == nil {
		if re == (Reading{}) {
			return 0, false, false
		}
		st = &state{}
		if ls.targets == nil {
			ls.targets = map[incarnation]*state{}
		}
		ls.targets[incarnationOf(ta)] = st
	}
	if re.Malformed != "" {
		malformed, st.malformed = !st.malformed, true
		return st.limit, false, malformed
	}
	if sentAt.Before(st.readAt) {
		return st.limit, false, false
	}
	was, st.limit, st.readAt = st.limit, re.Limit, sentAt
	return was, was != re.Limit, false
}

// Limit returns the limit of a target, zero if it named none.
func (ls *Limits) Limit(ta fleet.Target) Limit {
	if ls == nil {
		return 0
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if st := ls.targets[incarnationOf(ta)]; st != nil {
		return st.limit
	}
	return 0
}
