package batch

import (
	"slices"
	"time"
)

// MaxResultWait bounds how long ready results wait for the last ones of a step: the
// pause between two looks of a trainer, by the platform's page.
const MaxResultWait = 500 * time.Millisecond

// NoBound is the time left of a group that no bound is known for.
const NoBound = time.Duration(1<<63 - 1)

// Progress is how far a step is.
type Progress struct {
	// Remaining holds for each group how long it takes at the latest until its last
	// item is decided: zero for a whole group, Unknown if there is no bound.
	Remaining []time.Duration
	// Required is how many whole groups the trainer waits for; zero for a job
	// without groups.
	Required int
	// Waited is how long the oldest ready result has waited.
	Waited time.Duration
}

// ShouldWait tells whether ready results should wait for the last ones of the
// step. The load pattern: the longest items of a step end within a third of a
// second of each other. A trainer looks twice a second and has at each look what
// was listed until the one before, so a part that is listed a moment before the
// rest makes it wait for one look more.
func (ou Progress) ShouldWait() bool {
	if ou.Required <= 0 || ou.Required > len(ou.Remaining) || ou.Waited >= MaxResultWait {
		return false
	}
	left := slices.Sorted(slices.Values(ou.Remaining))[ou.Required-1]
	return left > 0 && left <= MaxResultWait-ou.Waited
}
