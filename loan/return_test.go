package loan_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/loan"
)

var report = flag.Bool("report", false, "print the measures of the hand-back")

// day is a recorded day in small: loans that end one after the other on one
// target, under which work of heavy-tailed length keeps coming.
type day struct {
	loans    int
	returned int
	late     time.Duration
	idle     time.Duration
}

const (
	dayLoans = 200
	dayPlace = 16
	daySpan  = 30 * time.Minute
	daySkew  = 2 * time.Second
)

// replayDay plays the loans one by one. Work is admitted as the guard does it,
// with a lead or, as the baseline, without one.
func replayDay(early bool) day {
	var (
		da     day
		random = rand.New(rand.NewPCG(11, 11))
	)
	for range dayLoans {
		var wo loan.LeadEstimator
		lo := deskLoan()
		lo.From, lo.Until = noon, noon.Add(daySpan)
		ends, lengths := make([]time.Time, dayPlace), make([]time.Duration, dayPlace)
		for at := range ends {
			ends[at] = noon
		}
		last, lastAdmitted := noon, noon
		for now := noon; now.Before(lo.Until); now = now.Add(time.Second) {
			wo.Decay()
			lead := time.Duration(0)
			if early {
				lead = wo.LeadTime()
			}
			for at := range ends {
				if ends[at].After(now) {
					continue
				}
				wo.Observe(lengths[at])
				lengths[at] = 0
				if lo.Admit(now, lead, daySkew) != nil {
					continue
				}
				took := time.Duration(float64(8*time.Second) * heavy(random))
				ends[at], lengths[at], lastAdmitted = now.Add(took), took, now
				if ends[at].After(last) {
					last = ends[at]
				}
			}
		}
		da.loans++
		if !last.After(lo.Until) {
			da.returned++
		} else {
			da.late += last.Sub(lo.Until)
		}
		da.idle += lo.Until.Sub(lastAdmitted)
	}
	return da
}

// heavy draws a length with a heavy tail, at most forty times the least.
func heavy(random *rand.Rand) float64 {
	return min(1/(1-random.Float64()*0.999), 40)
}

// Lenders get their targets back by the end of the loan, and no work is cut
// for it: nothing that was admitted is stopped in either way.
func TestLeadEstimatorReturnsTargetsOnTime(t *testing.T) {
	ours, baseline := replayDay(true), replayDay(false)
	require.Greater(t, ours.returned, baseline.returned)
	if *report {
		for name, da := range map[string]day{"early drain": ours, "baseline": baseline} {
			t.Logf("%-12s returned by the end %d of %d, late by %v on the mean, no new work for the last %v on the mean",
				name, da.returned, da.loans, (da.late / time.Duration(da.loans)).Round(time.Millisecond), (da.idle / time.Duration(da.loans)).Round(time.Second))
		}
	}
}
