package intake

import "time"

// confirmConfig records that the view of the operator's rows was complete at the given time.
func (en *Entry) confirmConfig(at time.Time) { en.configConfirmedAt.Store(&at) }

// configAge returns how long ago the view of the operator's rows was last known to be
// complete; known is false if it never was.
func (en *Entry) configAge(now time.Time) (age time.Duration, known bool) {
	at := en.configConfirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
