package guard

import (
	"sync"
	"time"
)

// versionCheck decides which version a token may bear, by the time at which it
// arrives from the engine:
//
//  1. A token bears the version that the engine reports with it. None means
//     doubt.
//  2. The version must be one that the guard's orders and read-backs allow at
//     that time: the one in use, or one that an order in progress may bring.
//  3. A version that was replaced stays allowed for a short while, for tokens
//     that were under way.
//  4. An engine that is known to report late leaves every sample in doubt that
//     an order met.
//
// A sample in doubt is never labelled.
type versionCheck struct {
	mutex   sync.Mutex
	allowed map[uint64]time.Time
	inDoubt bool
}

// transitTime is how long a replaced version stays allowed (rule 3).
const transitTime = 250 * time.Millisecond

// allow allows a version from now on.
func (la *versionCheck) allow(version uint64) {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	if la.allowed == nil {
		la.allowed = map[uint64]time.Time{}
	}
	la.allowed[version] = time.Time{}
}

// retire ends a version.
func (la *versionCheck) retire(version uint64, now time.Time) {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	if _, known := la.allowed[version]; known {
		la.allowed[version] = now.Add(transitTime)
	}
}

// markInDoubt leaves the sample in doubt (rule 4).
func (la *versionCheck) markInDoubt() {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	la.inDoubt = true
}

// observe takes in the version of a token that arrives now.
func (la *versionCheck) observe(version uint64, now time.Time) {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	until, known := la.allowed[version]
	if version == 0 || !known || (!until.IsZero() && now.After(until)) { // rules 1 to 3
		la.inDoubt = true
	}
}

// certain reports whether every token so far has a certain version.
func (la *versionCheck) certain() bool {
	la.mutex.Lock()
	defer la.mutex.Unlock()
	return !la.inDoubt
}
