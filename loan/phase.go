package loan

import (
	"time"

	"bilberryshelf/core"
)

// Phase is the lifecycle phase of a loan.
type Phase string

// The phases of a loan.
const (
	Future   Phase = "future"
	Active   Phase = "active"
	Draining Phase = "draining"
	Returned Phase = "returned"
	Recalled Phase = "recalled"
)

// End returns when the targets are returned to the lender: at Until or at an
// earlier recall.
func (lo Loan) End() time.Time {
	if !lo.Recalled.IsZero() && lo.Recalled.Before(lo.Until) {
		return lo.Recalled
	}
	return lo.Until
}

// Phase returns the phase at a time. lead is how long before the end new requests
// are refused, so that requests in flight can finish.
func (lo Loan) Phase(now time.Time, lead time.Duration) Phase {
	recalled := !lo.Recalled.IsZero() && lo.Recalled.Before(lo.Until)
	switch {
	case now.Before(lo.From):
		return Future
	case !now.Before(lo.End()) && recalled:
		return Recalled
	case !now.Before(lo.End()):
		return Returned
	case !now.Before(lo.End().Add(-lead)):
		return Draining
	default:
		return Active
	}
}

// Admit refuses new requests under the loan unless it is active. skew is the
// maximum difference between the clocks of two instances; the loan ends earlier by
// that much.
func (lo Loan) Admit(now time.Time, lead, skew time.Duration) *core.Error {
	switch ph := lo.Phase(now, lead+skew); ph {
	case Active:
		return nil
	case Future:
		return core.Refuse(core.CodeNoLoan, "loan %s starts at %s", lo.ID, lo.From.Format(time.RFC3339)).
			WithRetryAfter(lo.From.Sub(now))
	case Draining:
		return core.Refuse(core.CodeLoanEnding, "loan %s ends at %s, too soon for new work", lo.ID, lo.End().Format(time.RFC3339))
	default:
		return core.Refuse(core.CodeNoLoan, "loan %s is %s", lo.ID, ph)
	}
}

// Share returns the part of a loan's limit that one of its targets enforces. The
// shares add up to the limit exactly; the first targets get the remainder. It
// returns 0 if the loan has no limit, and -1 if the target may run no request.
func (lo Loan) Share(target string) int {
	if lo.MaxInFlight == 0 {
		return 0
	}
	for at, na := range lo.Targets {
		if na != target {
			continue
		}
		share := lo.MaxInFlight / len(lo.Targets)
		if at < lo.MaxInFlight%len(lo.Targets) {
			share++
		}
		if share == 0 {
			return -1
		}
		return share
	}
	return -1
}

// Find returns the loan with the highest priority under which a borrower may use a
// service now, or a refusal with the reason why there is none. Loans that are not
// active only provide that reason.
func (bo Book) Find(borrower, service string, now time.Time) (Loan, *core.Error) {
	var (
		best    Loan
		found   bool
		refusal = core.Refuse(core.CodeNoLoan, "%s has no loan of %s", borrower, service)
	)
	for _, lo := range bo.Loans {
		if lo.Borrower != borrower || lo.Service != service {
			continue
		}
		if er := lo.Admit(now, 0, 0); er != nil {
			refusal = er
			continue
		}
		if !found || lo.Priority.Rank() < best.Priority.Rank() {
			best, found = lo, true
		}
	}
	if !found {
		return Loan{}, refusal
	}
	return best, nil
}
