package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDrift is the largest drift of an instance's monotonic clock, as a share of the time.
	maxDrift = 200e-6
	// maxOutdated is the number of consecutive readings below the known bound after which the
	// platform's clock counts as restarted. Fewer are answers that were delayed by a pause.
	maxOutdated = 8
	// readingUnit is that of the readings, which are rounded down.
	readingUnit = time.Millisecond
	// minOffsets is the number of entries from which their median is used.
	minOffsets = 2
)

// Truth estimates the true time from readings of the platform's clock, which all entries
// share, and from the offsets of the entries' wall clocks. It is safe for concurrent use. The
// zero value uses the wall clock until it has readings and offsets.
//
// A reading bounds the platform's clock at the time of the answer: it shows at least the
// reading, and at most the reading plus the duration of the call. The lower bound always
// holds. The upper one does not if the process was suspended, as its monotonic clock stood
// still meanwhile. So of two readings that contradict each other, the later one on the
// platform's clock is right.
type Truth struct {
	mutex sync.Mutex
	// The platform's clock showed between low and high at the local time at.
	at        time.Time
	low, high time.Duration
	known     bool
	outdated  int
	// median is that of the offsets, if there are at least minOffsets.
	median    time.Duration
	hasMedian bool
}

// Observe records a reading of the platform's clock in an answer. Zero means that the answer
// had none.
func (tr *Truth) Observe(sent, received time.Time, reading time.Duration) {
	if reading == 0 {
		return
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	low, high := reading, reading+max(received.Sub(sent), 0)+readingUnit
	if !tr.known {
		tr.set(received, low, high)
		return
	}
	passed := received.Sub(tr.at)
	drift := time.Duration(maxDrift * float64(passed.Abs()))
	haveLow, haveHigh := tr.low+passed-drift, tr.high+passed+drift
	switch {
	case low > haveHigh: // this process was suspended
		tr.set(received, low, high)
	case high < haveLow:
		if tr.outdated++; tr.outdated >= maxOutdated {
			tr.set(received, low, high)
		}
	default:
		tr.set(received, max(low, haveLow), min(high, haveHigh))
	}
}

func (tr *Truth) set(at time.Time, low, high time.Duration) {
	tr.at, tr.low, tr.high, tr.known, tr.outdated = at, low, high, true, 0
}

// shared returns the platform's clock at a local time.
func (tr *Truth) shared(at time.Time) time.Duration {
	return tr.low + (tr.high-tr.low)/2 + at.Sub(tr.at)
}

// Offset returns by how much the wall clock is ahead of the platform's clock; ok is false
// without a reading.
func (tr *Truth) Offset(at time.Time) (offset time.Duration, ok bool) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	if !tr.known {
		return 0, false
	}
	return time.Duration(at.UnixNano()) - tr.shared(at), true
}

// SetOffsets replaces the offsets of the live entries, without those that are not known.
func (tr *Truth) SetOffsets(offsets []time.Duration) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	tr.median, tr.hasMedian = Median(offsets), len(offsets) >= minOffsets
}

// At returns the true time since the start of 1970 at a local time that has a monotonic
// clock reading.
func (tr *Truth) At(at time.Time) time.Duration {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	if !tr.known || !tr.hasMedian {
		return time.Duration(at.UnixNano())
	}
	return tr.shared(at) + tr.median
}

// Median returns the median, the mean of the middle two of an even number.
func Median(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	low, high := sorted[(len(sorted)-1)/2], sorted[len(sorted)/2]
	return low + (high-low)/2
}
