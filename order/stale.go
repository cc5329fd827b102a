package order

import "time"

// StalePriorityTimeout is how long a stale engine has priority over the others. It needs a
// report and a free slot; a stale engine with runs loads later.
const StalePriorityTimeout = 500 * time.Millisecond

// StalePriority records since when each engine has been stale. It is not safe for
// concurrent use. The zero value is ready to use.
type StalePriority struct {
	since map[string]time.Time
}

// Grants reports whether an engine has priority over the others, given whether it
// is stale now (rule 4).
func (sp *StalePriority) Grants(now time.Time, id string, stale bool) bool {
	if !stale {
		delete(sp.since, id)
		return false
	}
	if sp.since == nil {
		sp.since = map[string]time.Time{}
	}
	since, found := sp.since[id]
	if !found {
		since = now
		sp.since[id] = now
	}
	return now.Sub(since) <= StalePriorityTimeout
}
