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
	strikes int
	rests   int
	until   time.Time
	latency time.Duration
	speed   float64
}

// The constants of Health.
const (
	Strikes    = 3
	SlowFactor = 4
	FirstRest  = 2 * time.Second
	LastRest   = 2 * time.Minute
	Ramp       = 10 * time.Second
	SlowSpeed  = 0.6

	// latencyShare is the weight of a new answer time in the mean.
	latencyShare = 0.1
	// slowFloor is the mean time to the first byte below which no target counts
	// as slow; prompts that are not cached take part of a second anywhere.
	slowFloor = time.Second
	// speedShare is the weight of a new speed in the mean.
	speedShare = 0.05
)

// Answered counts an answer and its time to the first byte. Peers is the
// typical time of the other targets, zero if not known.
func (he *Health) Answered(now time.Time, took, peers time.Duration) {
	he.strikes = 0
	if he.latency == 0 {
		he.latency = took
	}
	he.latency += time.Duration(latencyShare * float64(took-he.latency))
	if peers > 0 && he.latency > slowFloor && he.latency > SlowFactor*peers { // rule 1
		he.latency = 0
		he.rest(now)
		return
	}
	if he.rests > 0 && now.Sub(he.until) > Ramp+he.span() { // rule 4
		he.rests = 0
	}
}

// Failed counts a failure.
func (he *Health) Failed(now time.Time) {
	he.strikes++
	ramping := he.rests > 0 && now.After(he.until) && now.Sub(he.until) < Ramp
	if he.strikes >= Strikes || ramping { // rules 1 and 3
		he.rest(now)
	}
}

func (he *Health) rest(now time.Time) {
	if now.Before(he.until) {
		return
	}
	he.strikes = 0
	he.rests++
	he.until = now.Add(he.span())
}

// span is the length of the present rest (rule 2).
func (he *Health) span() time.Duration {
	span := FirstRest
	for range he.rests - 1 {
		if span *= 2; span >= LastRest {
			return LastRest
		}
	}
	return span
}

// Latency is the mean time to the first byte, zero if not known.
func (he *Health) Latency() time.Duration { return he.latency }

// Paced counts the speed of a generation in tokens a second.
func (he *Health) Paced(speed float64) {
	if he.speed == 0 {
		he.speed = speed
	}
	he.speed += speedShare * (speed - he.speed)
}

// Speed is the mean speed of generations in tokens a second, zero if not
// known.
func (he *Health) Speed() float64 { return he.speed }

// Share is the part of its traffic that the target gets at present. Peers is
// the typical speed of the other targets, zero if not known.
func (he *Health) Share(now time.Time, peers float64) float64 {
	if he.speed > 0 && peers > 0 && he.speed < SlowSpeed*peers { // rule 5
		return he.returned(now) * he.speed / peers
	}
	return he.returned(now)
}

// returned is the share that failures leave.
func (he *Health) returned(now time.Time) float64 {
	if he.rests == 0 {
		return 1
	}
	back := now.Sub(he.until)
	switch {
	case back < 0:
		return 0
	case back >= Ramp:
		return 1
	default:
		return max(float64(back)/float64(Ramp), firstShare)
	}
}

// firstShare is the share at the start of a return; without some traffic the
// target could not show that it is well.
const firstShare = 0.05
