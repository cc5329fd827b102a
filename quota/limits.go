package quota

import (
	"math"
	"strconv"
	"sync"
	"time"

	"bilberryshelf/fleet"
)

// Limit is the number of requests per second that a target accepts from all entries
// together. Zero means that it announced no limit.
type Limit float64

// minLimit is what a lower limit counts as: a request each five seconds shows whether the
// target has room again.
const minLimit Limit = 0.2

// NewLimit returns the limit for a number that a target announced. It returns ok false for
// a number that is not a rate: negative, infinite or not a number.
func NewLimit(perSecond float64) (li Limit, ok bool) {
	if math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false
	}
	return max(Limit(perSecond), minLimit), true
}

// every returns the time between two requests at the given share of the limit.
func (li Limit) every(share float64) time.Duration {
	return time.Duration(float64(time.Second) / (float64(li) * share))
}

// ParseReading decodes the text with which a target announces its limit. An empty text
// means that it announces none.
func ParseReading(text string) Reading {
	if text == "" {
		return Reading{}
	}
	number, err := strconv.ParseFloat(text, 64)
	li, ok := NewLimit(number)
	if err != nil || !ok {
		return Reading{Malformed: text}
	}
	return Reading{Limit: li}
}

// Reading is what the head of a response says about its target's limit.
type Reading struct {
	// Limit is zero if the response announces none.
	Limit Limit
	// Malformed is a text that is not a rate. Such a reading changes nothing.
	Malformed string
}

// Limits holds the limits of the targets as this entry knows them, and its permits. It is
// safe for concurrent use. The zero value is ready to use; a nil *Limits has no limits.
type Limits struct {
	// OnChange is called when the limit of a target changes, OnMalformed the first time
	// that an incarnation announces something that is not a rate, OnTake for each permit
	// that is taken. All may be nil; set them before use.
	OnChange    func(ta fleet.Target, was, is Limit)
	OnMalformed func(ta fleet.Target, text string)
	OnTake      func(ta fleet.Target)

	mutex   sync.Mutex
	targets map[fleet.Incarnation]*state
	// changed is closed when permits arrive or a limit changes; due has room for one and
	// gets a value when there may be something to ask.
	changed, due chan struct{}
}

// state is what is known about the limit of one incarnation.
type state struct {
	target fleet.Target
	limit  Limit
	// readAt is when the request was sent whose response the limit is from.
	readAt    time.Time
	malformed bool
	// unreported is set until the issuer has been told of the limit.
	unreported bool
	permits    []permits
	claims     map[string]claim
	// asking is set while an Ask is under way. None is sent before nextAskAt.
	asking    bool
	nextAskAt time.Time
	// permitAt is when the issuer expects to have a permit for this entry.
	permitAt time.Time
}

// init prepares the zero value.
func (ls *Limits) init() {
	if ls.targets == nil {
		ls.targets, ls.changed, ls.due = map[fleet.Incarnation]*state{}, make(chan struct{}), make(chan struct{}, 1)
	}
}

// stateOf returns the state of a target. It creates it if needed.
func (ls *Limits) stateOf(ta fleet.Target) *state {
	ls.init()
	st := ls.targets[ta.Incarnation()]
	if st == nil {
		st = &state{target: ta, claims: map[string]claim{}}
		ls.targets[ta.Incarnation()] = st
	}
	return st
}

// limited returns the state of a target that has a limit, or nil.
func (ls *Limits) limited(ta fleet.Target) *state {
	if st := ls.targets[ta.Incarnation()]; st != nil && st.limit > 0 {
		return st
	}
	return nil
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
	if ls.targets[ta.Incarnation()] == nil && re == (Reading{}) {
		return 0, false, false
	}
	st := ls.stateOf(ta)
	if re.Malformed != "" {
		malformed, st.malformed = !st.malformed, true
		return st.limit, false, malformed
	}
	if sentAt.Before(st.readAt) {
		return st.limit, false, false
	}
	st.readAt = sentAt
	if st.limit == re.Limit {
		return st.limit, false, false
	}
	was, st.unreported = st.limit, true
	ls.setLimit(st, re.Limit)
	return was, true, false
}

// setLimit replaces a limit. Permits were issued for the old one and lapse soon; those of
// a limit that has ended are not needed.
func (ls *Limits) setLimit(st *state, li Limit) {
	st.limit, st.nextAskAt = li, time.Time{}
	if li == 0 {
		st.permits, st.claims = nil, map[string]claim{}
	}
	ls.signal()
	ls.wake()
}

// signal wakes those that wait for a permit.
func (ls *Limits) signal() {
	close(ls.changed)
	ls.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of limits or permits.
func (ls *Limits) Changed() <-chan struct{} {
	if ls == nil {
		return nil
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	ls.init()
	return ls.changed
}

// Limit returns the limit of a target, zero if it announced none.
func (ls *Limits) Limit(ta fleet.Target) Limit {
	if ls == nil {
		return 0
	}
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if st := ls.limited(ta); st != nil {
		return st.limit
	}
	return 0
}
