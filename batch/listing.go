package batch

import (
	"slices"
	"time"
)

// LastWait bounds how long ready results wait for the last ones of a step: the
// pause between two looks of a trainer, by the platform's page.
const LastWait = 500 * time.Millisecond

// Unknown is the time left of a group that no bound is known for.
const Unknown = time.Duration(1<<63 - 1)

// Outlook is how far a step is.
type Outlook struct {
	// Left holds for each group how long it takes at the latest until its last
	// item is decided: zero for a whole group, Unknown if there is no bound.
	Left []time.Duration
	// Wanted is how many whole groups the trainer waits for; zero for a job
	// without groups.
	Wanted int
	// Waited is how long the oldest ready result has waited.
	Waited time.Duration
}

// Together tells whether ready results should wait for the last ones of the
// step. The load pattern: the longest items of a step end within a third of a
// second of each other. A trainer looks twice a second and has at each look what
// was listed until the one before, so a part that is listed a moment before the
// rest makes it wait for one look more.
func (ou Outlook) Together() bool {
	if ou.Wanted <= 0 || ou.Wanted > len(ou.Left) || ou.Waited >= LastWait {
		return false
	}
	left := slices.Sorted(slices.Values(ou.Left))[ou.Wanted-1]
	return left > 0 && left <= LastWait-ou.Waited
}
