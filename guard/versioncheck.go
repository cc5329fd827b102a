package guard

import (
	"sync"
	"time"
)

// versionCheck checks the weight versions that the engine reports for the tokens of one
// sample, at the time when each token arrives:
//
//  1. The version of a token is the one that the engine reports with it. If it reports
//     none, the sample is in doubt.
//  2. The version must be one that the engine may use at that time: the version that it
//     last reported in its health, or the version of an order that may still take effect.
//     Otherwise the sample is in doubt.
//  3. A replaced version stays allowed for transitTime, for tokens that were already on
//     their way to the guard.
//  4. For an engine that is known to report versions late, every sample that is in
//     progress while an order is, is in doubt.
//
// A sample in doubt gets no version labels.
type versionCheck struct {
	mutex sync.Mutex
	// allowed maps a permitted version to the end of its permission; zero means no end.
	allowed map[uint64]time.Time
	inDoubt bool
}

// transitTime is how long a replaced version stays allowed (rule 3).
const transitTime = 250 * time.Millisecond

// allow permits a version from now on.
func (vc *versionCheck) allow(version uint64) {
	vc.mutex.Lock()
	defer vc.mutex.Unlock()
	if vc.allowed == nil {
		vc.allowed = map[uint64]time.Time{}
	}
	vc.allowed[version] = time.Time{}
}

// retire ends the permission of a version after transitTime (rule 3).
func (vc *versionCheck) retire(version uint64, now time.Time) {
	vc.mutex.Lock()
	defer vc.mutex.Unlock()
	if _, known := vc.allowed[version]; known {
		vc.allowed[version] = now.Add(transitTime)
	}
}

// markInDoubt marks the sample as in doubt (rule 4).
func (vc *versionCheck) markInDoubt() {
	vc.mutex.Lock()
	defer vc.mutex.Unlock()
	vc.inDoubt = true
}

// observe checks the version of a token that arrives now.
func (vc *versionCheck) observe(version uint64, now time.Time) {
	vc.mutex.Lock()
	defer vc.mutex.Unlock()
	until, known := vc.allowed[version]
	if version == 0 || !known || (!until.IsZero() && now.After(until)) { // rules 1 to 3
		vc.inDoubt = true
	}
}

// certain reports whether the versions of all tokens so far are certain.
func (vc *versionCheck) certain() bool {
	vc.mutex.Lock()
	defer vc.mutex.Unlock()
	return !vc.inDoubt
}
