// Package scale decides how many targets of a service to order in each failure domain.
//
//  1. The need is what runs and waits, with a headroom of a third, in slots. It is divided
//     evenly among the failure domains in which the service has targets, and clamped to the
//     bounds of the service. A failure domain whose targets are all gone counts as lost: its
//     share goes to the others, and nothing is ordered there until it has targets again. So
//     at least one target is ordered, even where the lower bound is zero.
//  2. The wanted number is the highest need within the boot time and HoldTime. A higher need
//     raises it at once; a lower one lowers it only after it was lower for all that time. A
//     step that comes each few seconds thus keeps its engines.
//  3. A failure domain that was not observed before needs at least the targets that it has.
//     So a new holder of the duty does not lower at once what an earlier one ordered.
//  4. There is at most one order per OrderInterval and subject, and one at a time. There is
//     none while the wanted number equals the one acknowledged last with the same token.
//  5. An order without an acknowledgement may have taken effect, so it is sent again until
//     one is acknowledged.
package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bilberryshelf/conf"
)

const (
	// headroom is the ratio of the ordered slots to the needed ones. New targets serve only
	// after the boot time; until then the headroom takes what comes.
	headroom = 4.0 / 3
	// HoldTime is how long, besides the boot time, the need must be lower before the wanted
	// number is lowered. It is several times the interval of 4 s between steps.
	HoldTime = 10 * time.Second
	// OrderInterval is the shortest time between two orders for one subject.
	OrderInterval = time.Second
)

// Subject is what an order is for: a service in a failure domain.
type Subject struct {
	Service, Domain string
}

// Domain is a failure domain in which a service has targets.
type Domain struct {
	Name string
	// Targets is the number of targets that serve, Slots the sum of their slots.
	Targets, Slots int
}

// Load is the load of a service in all failure domains together.
type Load struct {
	Service conf.Service
	// Busy is the number of requests and items that run or wait.
	Busy    int
	Domains []Domain
}

// WithTarget returns the load with another target that serves.
func (lo Load) WithTarget(domain string, slots int) Load {
	domains := slices.Clone(lo.Domains)
	at := slices.IndexFunc(domains, func(do Domain) bool { return do.Name == domain })
	if at < 0 {
		at = len(domains)
		domains = append(domains, Domain{Name: domain})
	}
	domains[at].Targets++
	domains[at].Slots += slots
	lo.Domains = domains
	return lo
}

// Need returns the number of targets that a failure domain needs for the load (rule 1).
func (lo Load) Need(do Domain) int {
	slots := float64(lo.Service.Slots)
	if do.Slots > 0 && do.Targets > 0 {
		slots = float64(do.Slots) / float64(do.Targets)
	}
	share := float64(lo.Busy) * headroom / float64(max(len(lo.Domains), 1))
	return lo.clamp(int(math.Ceil(share / max(slots, 1))))
}

func (lo Load) clamp(count int) int { return lo.Service.Scale.Clamp(max(count, 1)) }

// Order is an order for a number of targets.
type Order struct {
	Subject
	Targets int
}

// need is a need and when it was observed last.
type need struct {
	targets int
	at      time.Time
}

type state struct {
	// needs are those within the hold time that no later one reached, the highest first.
	needs  []need
	wanted int
	// observedAt is when the subject was last observed.
	observedAt time.Time
	sentAt     time.Time
	pending    bool
	// acknowledged is the number in the last order, zero if it is not acknowledged.
	acknowledged int
}

// Plan holds the wanted numbers and the orders. It is not safe for concurrent use. The zero
// value is empty and ready to use.
type Plan struct {
	states map[Subject]*state
	// observedAt is when the loads were last observed.
	observedAt time.Time
	// token is that of the last orders.
	token uint64
}

// Observe updates the wanted numbers from the loads of all services that are scaled.
func (pl *Plan) Observe(now time.Time, loads []Load) {
	if pl.states == nil {
		pl.states = map[Subject]*state{}
	}
	pl.observedAt = now
	for _, lo := range loads {
		for _, do := range lo.Domains {
			su := Subject{lo.Service.Name, do.Name}
			st := pl.states[su]
			if st == nil {
				st = &state{}
				pl.states[su] = st
			}
			st.observe(now, lo, do)
		}
	}
}

func (st *state) observe(now time.Time, lo Load, do Domain) {
	hold := lo.Service.Scale.Boot + HoldTime
	st.needs = slices.DeleteFunc(st.needs, func(ne need) bool { return now.Sub(ne.at) >= hold })
	targets := lo.Need(do)
	if now.Sub(st.observedAt) >= hold { // rule 3
		targets = max(targets, lo.clamp(do.Targets))
	}
	for len(st.needs) > 0 && st.needs[len(st.needs)-1].targets <= targets {
		st.needs = st.needs[:len(st.needs)-1]
	}
	st.needs = append(st.needs, need{targets, now})
	st.wanted, st.observedAt = lo.clamp(st.needs[0].targets), now
}

// Wanted returns the wanted number of targets of a subject, zero if it is not known or was
// not observed last time.
func (pl *Plan) Wanted(su Subject) int {
	st := pl.states[su]
	if st == nil || !st.observedAt.Equal(pl.observedAt) {
		return 0
	}
	return st.wanted
}

// Due returns the orders that a holder with this token should send now, sorted by subject.
func (pl *Plan) Due(now time.Time, token uint64) []Order {
	if token != pl.token {
		pl.token = token
		for _, st := range pl.states {
			st.acknowledged = 0 // another holder may have ordered since
		}
	}
	var due []Order
	for su, st := range pl.states {
		wanted := pl.Wanted(su)
		if wanted == 0 || wanted == st.acknowledged || st.pending || now.Sub(st.sentAt) < OrderInterval {
			continue
		}
		due = append(due, Order{su, wanted})
	}
	slices.SortFunc(due, func(lhs, rhs Order) int {
		return cmp.Or(cmp.Compare(lhs.Service, rhs.Service), cmp.Compare(lhs.Domain, rhs.Domain))
	})
	return due
}

// Sent records that an order is being sent.
func (pl *Plan) Sent(now time.Time, or Order) {
	if st := pl.states[or.Subject]; st != nil {
		st.sentAt, st.pending, st.acknowledged = now, true, 0
	}
}

// Answered records the end of an order that was sent with this token.
func (pl *Plan) Answered(or Order, token uint64, acknowledged bool) {
	st := pl.states[or.Subject]
	if st == nil {
		return
	}
	st.pending = false
	if acknowledged && token == pl.token {
		st.acknowledged = or.Targets
	}
}
