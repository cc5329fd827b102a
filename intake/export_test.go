package intake

import "time"

// ConfigAge is configAge for tests.
func (en *Entry) ConfigAge(now time.Time) (time.Duration, bool) { return en.configAge(now) }
