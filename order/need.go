package order

import "time"

// StalePriorityTimeout is how long an engine in need goes before the others: the time
// after which a slot may be taken from a holder that does not act.
const StalePriorityTimeout = maxSlotHold

// StalePriority remembers since when engines have been in need. It is not safe for
// concurrent use. The zero value knows of none.
type StalePriority struct {
	since map[string]time.Time
}

// Grants tells whether an engine goes before others, given whether it is in need
// at present (rule 4).
func (ne *StalePriority) Grants(now time.Time, id string, needy bool) bool {
	if !needy {
		delete(ne.since, id)
		return false
	}
	if ne.since == nil {
		ne.since = map[string]time.Time{}
	}
	since, found := ne.since[id]
	if !found {
		since = now
		ne.since[id] = now
	}
	return now.Sub(since) <= StalePriorityTimeout
}
