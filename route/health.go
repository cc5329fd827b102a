package route

import (
	"time"
)

// Health tracks failures, latency and speed of one target and derives its TrafficShare.
//
//  1. A target is ejected after MaxFailures consecutive failures, or if its mean time to
//     the first byte exceeds SlowLatencyRatio times the typical time of its peers.
//  2. The time of an ejection doubles each time, from InitialEjection to MaxEjection.
//  3. After an ejection the traffic grows linearly over RampUp. A failure during RampUp
//     ejects the target again at once.
//  4. After full health for as long as the last ejection, the ejection time is reset.
//  5. A target that generates at less than SlowSpeedRatio of the typical speed of its
//     peers receives traffic in proportion to its relative speed.
//
// The zero value is a healthy target.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	latency      time.Duration
	speed        float64
}

// The thresholds and times of Health.
const (
	MaxFailures      = 3
	SlowLatencyRatio = 4
	InitialEjection  = 2 * time.Second
	MaxEjection      = 2 * time.Minute
	RampUp           = 10 * time.Second
	SlowSpeedRatio   = 0.6

	// latencyWeight is the weight of a new time to the first byte in the moving average.
	latencyWeight = 0.1
	// minSlowLatency is the mean time to the first byte below which no target counts
	// as slow; prompts that are not cached take a fraction of a second on any target.
	minSlowLatency = time.Second
	// speedWeight is the weight of a new speed in the moving average.
	speedWeight = 0.05
)

// RecordAnswer records a response and its time to the first byte. Typical is the typical
// time of the other targets, zero if unknown.
func (he *Health) RecordAnswer(now time.Time, took, typical time.Duration) {
	he.failures = 0
	if he.latency == 0 {
		he.latency = took
	}
	he.latency += time.Duration(latencyWeight * float64(took-he.latency))
	if typical > 0 && he.latency > minSlowLatency && he.latency > SlowLatencyRatio*typical { // rule 1
		he.latency = 0
		he.eject(now)
		return
	}
	if he.ejections > 0 && now.Sub(he.ejectedUntil) > RampUp+he.ejectionTime() { // rule 4
		he.ejections = 0
	}
}

// RecordFailure records a failed attempt.
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

// ejectionTime returns the length of the current or last ejection (rule 2).
func (he *Health) ejectionTime() time.Duration {
	ejectionTime := InitialEjection
	for range he.ejections - 1 {
		if ejectionTime *= 2; ejectionTime >= MaxEjection {
			return MaxEjection
		}
	}
	return ejectionTime
}

// Latency returns the mean time to the first byte, zero if unknown.
func (he *Health) Latency() time.Duration { return he.latency }

// RecordSpeed records the speed of a generation in tokens per second.
func (he *Health) RecordSpeed(speed float64) {
	if he.speed == 0 {
		he.speed = speed
	}
	he.speed += speedWeight * (speed - he.speed)
}

// Speed returns the mean speed of generations in tokens per second, zero if unknown.
func (he *Health) Speed() float64 { return he.speed }

// TrafficShare returns the share of its normal traffic that the target receives at
// present, from 0 to 1. Typical is the typical speed of the other targets in tokens per
// second, zero if unknown.
func (he *Health) TrafficShare(now time.Time, typical float64) float64 {
	if he.speed > 0 && typical > 0 && he.speed < SlowSpeedRatio*typical { // rule 5
		return he.rampShare(now) * he.speed / typical
	}
	return he.rampShare(now)
}

// rampShare returns the traffic share after ejections (rules 2 and 3).
func (he *Health) rampShare(now time.Time) float64 {
	if he.ejections == 0 {
		return 1
	}
	elapsed := now.Sub(he.ejectedUntil)
	switch {
	case elapsed < 0:
		return 0
	case elapsed >= RampUp:
		return 1
	default:
		return max(float64(elapsed)/float64(RampUp), initialShare)
	}
}

// initialShare is the traffic share at the start of RampUp. Without any traffic a target
// could not prove that it has recovered.
const initialShare = 0.05
