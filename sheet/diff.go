package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberryshelf/loan"
)

// Change is the difference of one loan between a book and a set of loans.
type Change struct {
	Loan string `json:"loan"`
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// String formats the change on one line: "+", "-" or "~" for added, removed or
// changed, then the loan and the text.
func (ch Change) String() string {
	sign := map[string]string{"added": "+", "removed": "-", "changed": "~"}[ch.Kind]
	return fmt.Sprintf("%s %s: %s", sign, ch.Loan, ch.Text)
}

// Diff returns the differences of a set of loans from a book, sorted by loan ID.
// It is empty if nothing changes.
func Diff(bo loan.Book, loans []loan.Loan) []Change {
	var changes []Change
	kept := map[string]bool{}
	for _, lo := range loans {
		kept[lo.ID] = true
		previous, found := bo.Loan(lo.ID)
		switch {
		case !found:
			changes = append(changes, Change{Loan: lo.ID, Kind: "added", Text: describe(lo)})
		case !previous.SameTerms(lo):
			changes = append(changes, Change{Loan: lo.ID, Kind: "changed", Text: describeChange(previous, lo)})
		}
	}
	for _, lo := range bo.Loans {
		if !kept[lo.ID] {
			changes = append(changes, Change{Loan: lo.ID, Kind: "removed", Text: describe(lo)})
		}
	}
	slices.SortFunc(changes, func(lhs, rhs Change) int { return strings.Compare(lhs.Loan, rhs.Loan) })
	return changes
}

func describe(lo loan.Loan) string {
	return fmt.Sprintf("%d targets of %s from %s to %s %s, %s to %s",
		len(lo.Targets), lo.Service, lo.Lender, lo.Kind, lo.Borrower,
		lo.From.Format(time.RFC3339), lo.Until.Format(time.RFC3339))
}

func describeChange(previous, lo loan.Loan) string {
	var parts []string
	compare := func(column string, before, after any) {
		if fmt.Sprint(before) != fmt.Sprint(after) {
			parts = append(parts, fmt.Sprintf("%s %v -> %v", column, before, after))
		}
	}
	compare("lender", previous.Lender, lo.Lender)
	compare("service", previous.Service, lo.Service)
	compare("targets", strings.Join(previous.Targets, " "), strings.Join(lo.Targets, " "))
	compare("borrower", previous.Borrower, lo.Borrower)
	compare("kind", previous.Kind, lo.Kind)
	compare("from", previous.From.Format(time.RFC3339), lo.From.Format(time.RFC3339))
	compare("until", previous.Until.Format(time.RFC3339), lo.Until.Format(time.RFC3339))
	compare("priority", previous.Priority, lo.Priority)
	compare("max-in-flight", previous.MaxInFlight, lo.MaxInFlight)
	compare("cut-off", previous.CutOff, lo.CutOff)
	if !previous.Recalled.Equal(lo.Recalled) {
		compare("recalled", formatTime(previous.Recalled), formatTime(lo.Recalled))
	}
	return strings.Join(parts, "; ")
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "no"
	}
	return at.Format(time.RFC3339)
}
