// Package core defines the types that the other packages share: verdicts,
// errors with a verdict, priorities, borrower kinds, the event loop and the
// clock.
package core

// Verdict states whether a request may have run on a target.
type Verdict string

// The verdicts, from certainly not run to certainly run.
const (
	// NotRun means that the request did not run and never will.
	NotRun Verdict = "not-run"
	// MayHaveRun means that it is not known whether the request ran.
	MayHaveRun Verdict = "may-have-run"
	// Ran means that the request ran, even if its answer was lost.
	Ran Verdict = "ran"
)

// Combine returns the verdict on two attempts of one request taken together. The
// zero verdict means no attempt.
//
//	             not-run       may-have-run  ran
//	not-run      not-run       may-have-run  ran
//	may-have-run may-have-run  may-have-run  ran
//	ran          ran           ran           ran
func (ve Verdict) Combine(other Verdict) Verdict {
	if ve.rank() >= other.rank() {
		return ve
	}
	return other
}

func (ve Verdict) rank() int {
	switch ve {
	case NotRun:
		return 1
	case MayHaveRun:
		return 2
	case Ran:
		return 3
	default:
		return 0
	}
}

// ParseVerdict reads a verdict from the wire. Unknown text becomes MayHaveRun,
// the only verdict that makes no claim.
func ParseVerdict(text string) Verdict {
	switch ve := Verdict(text); ve {
	case NotRun, Ran:
		return ve
	default:
		return MayHaveRun
	}
}
