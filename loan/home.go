package loan

import (
	"slices"
	"time"

	"bilberryshelf/core"
)

// The home of a key is the target that alone may run requests with that key:
// the rendezvous owner of the key among the targets that the borrower is lent
// at that moment. It moves when loans start, end or change, so a key that was
// used within its hold may be known to a former home.
//
//  1. A loan is in force from its start or its acceptance, whichever is later,
//     to its end. Loans that were changed or removed count until then.
//  2. Between two such moments the home of a key does not move.
//  3. The homes of a key are the present one and those before each moment
//     within the hold.

// lentTargets lists the targets that a borrower is lent at a time (rule 1).
func (bo Book) lentTargets(borrower, service string, at time.Time) []string {
	var names []string
	for _, loans := range [][]Loan{bo.Loans, bo.Superseded} {
		for _, lo := range loans {
			if lo.Borrower != borrower || lo.Service != service {
				continue
			}
			from, end := lo.activeSpan()
			if !at.Before(from) && at.Before(end) {
				names = append(names, lo.Targets...)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// activeSpan is the span in which the loan is in force.
func (lo Loan) activeSpan() (from, end time.Time) {
	if lo.From.After(lo.AcceptedAt) {
		return lo.From, lo.End()
	}
	return lo.AcceptedAt, lo.End()
}

// Homes lists the targets that may hold a key: the present home first, or ""
// if nothing is lent, then every other one of the time since the hold began.
func (bo Book) Homes(borrower, service, key string, now time.Time, hold time.Duration) []string {
	homes := []string{core.Owner(key, bo.lentTargets(borrower, service, now))}
	for _, loans := range [][]Loan{bo.Loans, bo.Superseded} {
		for _, lo := range loans {
			if lo.Borrower != borrower || lo.Service != service {
				continue
			}
			from, end := lo.activeSpan()
			for _, moment := range []time.Time{from, end} { // rule 3
				if moment.After(now) || moment.Before(now.Add(-hold)) {
					continue
				}
				former := core.Owner(key, bo.lentTargets(borrower, service, moment.Add(-time.Nanosecond)))
				if former != "" && !slices.Contains(homes, former) {
					homes = append(homes, former)
				}
			}
		}
	}
	return homes
}

// FindByTarget returns the loan with the highest priority under which a borrower
// may use one target now.
func (bo Book) FindByTarget(borrower, target string, now time.Time) (Loan, *core.Error) {
	var (
		best  Loan
		found bool
	)
	for _, lo := range bo.Loans {
		if lo.Borrower != borrower || lo.Admit(now, 0, 0) != nil || !slices.Contains(lo.Targets, target) {
			continue
		}
		if !found || lo.Priority.Rank() < best.Priority.Rank() {
			best, found = lo, true
		}
	}
	if !found {
		return best, core.Refuse(core.CodeNoLoan, "%s has no loan of target %s", borrower, target)
	}
	return best, nil
}
