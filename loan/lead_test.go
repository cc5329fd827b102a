package loan_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/loan"
)

var report = flag.Bool("report", false, "print the metrics of the simulation")

// simulation holds the totals over consecutive loans of one target, under which
// requests with heavy-tailed durations arrive until the loan ends.
type simulation struct {
	loans    int
	returned int
	late     time.Duration
	idle     time.Duration
}

const (
	simulatedLoans = 200
	maxRunning     = 16
	loanSpan       = 30 * time.Minute
	clockSkew      = 2 * time.Second
)

// simulateLoans simulates the loans one after the other. Requests are admitted in the
// same way as by a guard, with a lead time or, as the baseline, without one.
func simulateLoans(withLead bool) simulation {
	var (
		si     simulation
		random = rand.New(rand.NewPCG(11, 11))
	)
	for range simulatedLoans {
		var le loan.LeadEstimator
		lo := deskLoan()
		lo.From, lo.Until = noon, noon.Add(loanSpan)
		ends, lengths := make([]time.Time, maxRunning), make([]time.Duration, maxRunning)
		for at := range ends {
			ends[at] = noon
		}
		lastEnd, lastAdmitted := noon, noon
		for now := noon; now.Before(lo.Until); now = now.Add(time.Second) {
			le.Decay()
			lead := time.Duration(0)
			if withLead {
				lead = le.LeadTime()
			}
			for at := range ends {
				if ends[at].After(now) {
					continue
				}
				le.Observe(lengths[at])
				lengths[at] = 0
				if lo.Admit(now, lead, clockSkew) != nil {
					continue
				}
				took := time.Duration(float64(8*time.Second) * heavyTail(random))
				ends[at], lengths[at], lastAdmitted = now.Add(took), took, now
				if ends[at].After(lastEnd) {
					lastEnd = ends[at]
				}
			}
		}
		si.loans++
		if !lastEnd.After(lo.Until) {
			si.returned++
		} else {
			si.late += lastEnd.Sub(lo.Until)
		}
		si.idle += lo.Until.Sub(lastAdmitted)
	}
	return si
}

// heavyTail draws a factor from 1 to 40 with a heavy-tailed distribution.
func heavyTail(random *rand.Rand) float64 {
	return min(1/(1-random.Float64()*0.999), 40)
}

// With the lead time, more targets are returned by the end of their loan than
// without it. No admitted request is stopped in either case.
func TestLeadEstimatorReturnsTargetsOnTime(t *testing.T) {
	withLead, baseline := simulateLoans(true), simulateLoans(false)
	require.Greater(t, withLead.returned, baseline.returned)
	if *report {
		for name, si := range map[string]simulation{"early drain": withLead, "baseline": baseline} {
			t.Logf("%-12s returned by the end %d of %d, late by %v on average, no new requests for the last %v on average",
				name, si.returned, si.loans, (si.late / time.Duration(si.loans)).Round(time.Millisecond), (si.idle / time.Duration(si.loans)).Round(time.Second))
		}
	}
}
