package batch

import (
	"slices"
	"time"
)

// MaxResultWait limits how long results are held back for the last ones of a step.
// It is the interval at which a trainer polls, according to the platform's
// documentation.
const MaxResultWait = 500 * time.Millisecond

// NoBound is the remaining time of a group for which no upper bound is known.
const NoBound = time.Duration(1<<63 - 1)

// Progress is the progress of a step.
type Progress struct {
	// Remaining holds for each group an upper bound of the time until its last item
	// is decided: zero for a complete group, NoBound if there is none.
	Remaining []time.Duration
	// Required is the number of complete groups that the trainer waits for; zero for
	// a job without groups.
	Required int
	// Waited is how long the oldest result that is not listed has waited.
	Waited time.Duration
}

// ShouldWait reports whether results should be held back and listed together with
// the last ones of the step. The longest items of a step end within a third of a
// second of each other. A trainer polls twice a second, and each poll returns what
// was listed by the time of the poll before. So results that are listed shortly
// before the last ones delay the trainer by one poll.
func (pr Progress) ShouldWait() bool {
	if pr.Required <= 0 || pr.Required > len(pr.Remaining) || pr.Waited >= MaxResultWait {
		return false
	}
	remaining := slices.Sorted(slices.Values(pr.Remaining))[pr.Required-1]
	return remaining > 0 && remaining <= MaxResultWait-pr.Waited
}
