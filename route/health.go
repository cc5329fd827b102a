package route

import (
	"time"
)

// Health watches one target and says which share of its traffic it gets.
//
//  1. Strikes failures in a row, or an answer time above SlowFactor times that
//     of the peers, take the target out.
//  2. It is out for a span that doubles each time, from FirstRest to LastRest.
//  3. Then it returns gradually over Ramp. A failure in that time takes it out
//     again at once.
//  4. A span of full health as long as the last rest forgets the doubling.
//  5. A target whose generations come at less than SlowSpeed of the speed of
//     its peers gets the share that its speed is of theirs.
//
// The zero value is a healthy target.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	latency      time.Duration
	speed        float64
}

// The constants of Health.
const (
	MaxFailures      = 3
	SlowLatencyRatio = 4
	InitialEjection  = 2 * time.Second
	MaxEjection      = 2 * time.Minute
	RampUp           = 10 * time.Second
	SlowSpeedRatio   = 0.6

	// latencyWeight is the weight of a new answer time in the mean.
	latencyWeight = 0.1
	// minSlowLatency is the mean time to the first byte below which no target counts
	// as slow; prompts that are not cached take part of a second anywhere.
	minSlowLatency = time.Second
	// speedWeight is the weight of a new speed in the mean.
	speedWeight = 0.05
)

// RecordAnswer counts an answer and its time to the first byte. Peers is the
// typical time of the other targets, zero if not known.
func (he *Health) RecordAnswer(now time.Time, took, peers time.Duration) {
	he.failures = 0
	if he.latency == 0 {
		he.latency = took
	}
	he.latency += time.Duration(latencyWeight * float64(took-he.latency))
	if peers > 0 && he.latency > minSlowLatency && he.latency > SlowLatencyRatio*peers { // rule 1
		he.latency = 0
		he.eject(now)
		return
	}
	if he.ejections > 0 && now.Sub(he.ejectedUntil) > RampUp+he.ejectionTime() { // rule 4
		he.ejections = 0
	}
}

// RecordFailure counts a failure.
func (he *Health) RecordFailure(now time.Time) {
	he.failures++
	ramping := he.ejections > 0 && now.After(he.ejectedUntil) && now.Sub(he.ejectedUntil) < RampUp
	if he.failures >= MaxFailures || ramping { // rules 1 and 3
		he.eject(now)
	}
}

func (he *Health) eject(now time.Time) {
	if now.Before(he.ejectedUntil) {
		return
	}
	he.failures = 0
	he.ejections++
	he.ejectedUntil = now.Add(he.ejectionTime())
}

// ejectionTime is the length of the present rest (rule 2).
func (he *Health) ejectionTime() time.Duration {
	span := InitialEjection
	for range he.ejections - 1 {
		if span *= 2; span >= MaxEjection {
			return MaxEjection
		}
	}
	return span
}

// Latency is the mean time to the first byte, zero if not known.
func (he *Health) Latency() time.Duration { return he.latency }

// RecordSpeed counts the speed of a generation in tokens a second.
func (he *Health) RecordSpeed(speed float64) {
	if he.speed == 0 {
		he.speed = speed
	}
	he.speed += speedWeight * (speed - he.speed)
}

// Speed is the mean speed of generations in tokens a second, zero if not
// known.
func (he *Health) Speed() float64 { return he.speed }

// TrafficShare is the part of its traffic that the target gets at present. Peers is
// the typical speed of the other targets, zero if not known.
func (he *Health) TrafficShare(now time.Time, peers float64) float64 {
	if he.speed > 0 && peers > 0 && he.speed < SlowSpeedRatio*peers { // rule 5
		return he.rampShare(now) * he.speed / peers
	}
	return he.rampShare(now)
}

// rampShare is the share that failures leave.
func (he *Health) rampShare(now time.Time) float64 {
	if he.ejections == 0 {
		return 1
	}
	back := now.Sub(he.ejectedUntil)
	switch {
	case back < 0:
		return 0
	case back >= RampUp:
		return 1
	default:
		return max(float64(back)/float64(RampUp), initialShare)
	}
}

// initialShare is the share at the start of a return; without some traffic the
// target could not show that it is well.
const initialShare = 0.05
