package loan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/loan"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func deskLoan() loan.Loan {
	return loan.Loan{
		ID: "desk", Lender: "lab", Service: "ink-desk", Targets: []string{"ink-1", "ink-2", "ink-3"},
		Borrower: "sales", Kind: core.Caller, From: noon, Until: noon.Add(time.Hour), Priority: core.High,
		MaxInFlight: 7, CutOff: loan.KeepServing,
	}
}

func TestPhases(t *testing.T) {
	recalled := deskLoan()
	recalled.Recalled = noon.Add(30 * time.Minute)
	for _, tc := range []struct {
		name  string
		loan  loan.Loan
		after time.Duration
		phase loan.Phase
	}{
		{"before", deskLoan(), -time.Second, loan.Future},
		{"at the start", deskLoan(), 0, loan.Active},
		{"before the lead time", deskLoan(), 54 * time.Minute, loan.Active},
		{"in the lead time", deskLoan(), 55 * time.Minute, loan.Draining},
		{"at the end", deskLoan(), time.Hour, loan.Returned},
		{"recalled, in the lead time", recalled, 25 * time.Minute, loan.Draining},
		{"recalled", recalled, 30 * time.Minute, loan.Recalled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ph := tc.loan.Phase(noon.Add(tc.after), 5*time.Minute)
			require.Equal(t, tc.phase, ph)
			er := tc.loan.Admit(noon.Add(tc.after), 5*time.Minute, 0)
			require.Equal(t, ph == loan.Active, er == nil)
			if er != nil {
				require.Equal(t, core.NotRun, er.Verdict)
			}
		})
	}
}

// An instance whose clock is behind by up to the skew must not admit requests
// after the end of a loan.
func TestSkewShortensLoan(t *testing.T) {
	lo := deskLoan()
	require.Nil(t, lo.Admit(noon.Add(time.Hour-3*time.Second), 0, 2*time.Second))
	require.NotNil(t, lo.Admit(noon.Add(time.Hour-2*time.Second), 0, 2*time.Second))
}

// The shares of the targets must add up to the limit for limits below, at and
// above the number of targets.
func TestSharesAddUp(t *testing.T) {
	for limit := 1; limit < 20; limit++ {
		lo := deskLoan()
		lo.MaxInFlight = limit
		total := 0
		for _, ta := range lo.Targets {
			total += max(lo.Share(ta), 0)
		}
		require.Equal(t, limit, total)
	}
	require.Equal(t, -1, deskLoan().Share("other"))
}

func TestWithLoansSetsRevisionOfChanges(t *testing.T) {
	first := loan.Book{}.WithLoans([]loan.Loan{deskLoan()}, "ana", noon)
	first.Generation = 1
	require.Equal(t, uint64(1), first.Loans[0].Revision)
	require.Len(t, first.Targets, 3)

	same := first.WithLoans([]loan.Loan{deskLoan()}, "rui", noon.Add(time.Minute))
	require.Equal(t, "ana", same.Loans[0].ChangedBy, "an unchanged loan keeps its operator")
	require.Equal(t, first.Targets, same.Targets)

	changed := deskLoan()
	changed.Targets = []string{"ink-2", "ink-3", "ink-4"}
	next := first.WithLoans([]loan.Loan{changed}, "rui", noon.Add(time.Minute))
	next.Generation = 2
	require.Equal(t, "rui", next.Loans[0].ChangedBy)
	_, found := next.Target("ink-1")
	require.False(t, found)
	require.Len(t, next.Superseded, 1)
	require.Equal(t, noon.Add(time.Minute), next.Superseded[0].Until)
	sl := next.TargetSlice("ink-1")
	require.Empty(t, sl.Loans, "a target that no loan names is not lent")
	require.Equal(t, uint64(2), sl.Revision)
}

// The home that a key had before a change must be among its homes until the hold
// has passed.
func TestHomesIncludePreviousHomes(t *testing.T) {
	first := loan.Book{}.WithLoans([]loan.Loan{deskLoan()}, "ana", noon)
	first.Generation = 1
	changed := deskLoan()
	changed.Targets = []string{"ink-4", "ink-5"}
	when := noon.Add(time.Minute)
	next := first.WithLoans([]loan.Loan{changed}, "ana", when)
	for nu := range 50 {
		key := fmt.Sprintf("sales/%d", nu)
		before := first.Homes("sales", "ink-desk", key, when.Add(-time.Second), time.Second)
		require.Len(t, before, 1)
		soon := next.Homes("sales", "ink-desk", key, when.Add(time.Second), 10*time.Minute)
		require.Equal(t, core.Owner(key, changed.Targets), soon[0])
		require.Contains(t, soon, before[0])
		late := next.Homes("sales", "ink-desk", key, when.Add(11*time.Minute), 10*time.Minute)
		require.Equal(t, soon[:1], late)
	}
}

func TestFindReturnsHighestPriority(t *testing.T) {
	low := deskLoan()
	low.ID, low.Priority = "desk-low", core.Low
	bo := loan.Book{}.WithLoans([]loan.Loan{low, deskLoan()}, "ana", noon)
	lo, er := bo.Find("sales", "ink-desk", noon)
	require.Nil(t, er)
	require.Equal(t, "desk", lo.ID)
	_, er = bo.Find("sales", "ink-desk", noon.Add(2*time.Hour))
	require.Equal(t, core.CodeNoLoan, er.Code)
	_, er = bo.Find("sales", "ink-desk", noon.Add(-time.Minute))
	require.Equal(t, time.Minute, er.RetryAfter)
}

func TestRecall(t *testing.T) {
	bo := loan.Book{}.WithLoans([]loan.Loan{deskLoan()}, "ana", noon)
	bo.Generation = 1
	next, er := bo.WithRecall("desk", "rui", noon.Add(time.Minute))
	require.Nil(t, er)
	require.Equal(t, noon.Add(time.Minute), next.Loans[0].End())
	require.Equal(t, uint64(2), next.Targets[0].Revision, "the change must reach its guards")
	_, er = bo.WithRecall("none", "rui", noon)
	require.Equal(t, core.CodeNoLoan, er.Code)
}

func TestCodec(t *testing.T) {
	bo := loan.Book{}.WithLoans([]loan.Loan{deskLoan()}, "ana", noon)
	bo = bo.WithVersion(loan.Version{Service: "ink-desk", Number: 3, Announced: noon})
	raw, err := bo.Encode()
	require.NoError(t, err)
	again, err := loan.DecodeBook(raw)
	require.NoError(t, err)
	require.Equal(t, bo, again)
	_, err = loan.DecodeBook(raw[:len(raw)/2])
	require.Error(t, err)
	sl := bo.TargetSlice("ink-2")
	raw, err = sl.Encode()
	require.NoError(t, err)
	back, err := loan.DecodeSlice(raw)
	require.NoError(t, err)
	require.Equal(t, sl, back)
	require.Equal(t, 2, sl.Shares[0])
	require.Equal(t, uint64(3), sl.Version.Number)
}

func ExampleLoan_Phase() {
	lo := loan.Loan{From: noon, Until: noon.Add(time.Hour)}
	fmt.Println(lo.Phase(noon.Add(58*time.Minute), 5*time.Minute))
	// Output: draining
}
