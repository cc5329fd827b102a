// Package core holds the words that every other package shares: verdicts,
// errors that carry one, priorities, kinds of borrower and the clock.
package core

// Verdict says whether a request may have run on a target.
type Verdict string

// The verdicts, from the most certain refusal to the most certain run.
const (
	// NotRun means that the request did not run and never will.
	NotRun Verdict = "not-run"
	// MayHaveRun means that it is not known whether the request ran.
	MayHaveRun Verdict = "may-have-run"
	// Ran means that the request ran, even if its answer is lost.
	Ran Verdict = "ran"
)

// Combine combines the verdicts of two attempts of one request. The zero verdict
// stands for no attempt.
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

// ParseVerdict reads a verdict from the wire. Anything unknown is taken for
// MayHaveRun, the only verdict that claims nothing.
func ParseVerdict(text string) Verdict {
	switch ve := Verdict(text); ve {
	case NotRun, Ran:
		return ve
	default:
		return MayHaveRun
	}
}
