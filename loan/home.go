package loan

import (
	"slices"
	"time"

	"bilberryshelf/core"
)

// The home of a key is the only target that may run requests with that key: the
// rendezvous owner of the key among the targets lent to the borrower at that time.
// It moves when loans start, end or change. Targets store a key for a time, the hold,
// so a key that was used within the hold may be stored at a previous home.
//
//  1. A loan is in force from its start or its acceptance, whichever is later,
//     to its end. A loan that was changed or removed is in force until that
//     change.
//  2. The home of a key moves only when a loan starts or stops being in force.
//  3. The homes of a key are the current one and the one before each such time
//     within the hold.

// lentTargets returns the targets lent to a borrower at a time (rule 1).
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

// activeSpan returns the time span in which the loan is in force (rule 1).
func (lo Loan) activeSpan() (from, end time.Time) {
	if lo.From.After(lo.AcceptedAt) {
		return lo.From, lo.End()
	}
	return lo.AcceptedAt, lo.End()
}

// Homes returns the targets that may hold a key: first the current home, or "" if
// no target is lent, then the previous homes within the hold.
func (bo Book) Homes(borrower, service, key string, now time.Time, hold time.Duration) []string {
	homes := []string{core.Owner(key, bo.lentTargets(borrower, service, now))}
	for _, loans := range [][]Loan{bo.Loans, bo.Superseded} {
		for _, lo := range loans {
			if lo.Borrower != borrower || lo.Service != service {
				continue
			}
			from, end := lo.activeSpan()
			for _, boundary := range []time.Time{from, end} { // rule 3
				if boundary.After(now) || boundary.Before(now.Add(-hold)) {
					continue
				}
				previous := core.Owner(key, bo.lentTargets(borrower, service, boundary.Add(-time.Nanosecond)))
				if previous != "" && !slices.Contains(homes, previous) {
					homes = append(homes, previous)
				}
			}
		}
	}
	return homes
}

// FindByTarget returns the loan with the highest priority under which a borrower
// may use a target now.
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
