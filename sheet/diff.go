package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bilberryshelf/loan"
)

// Change is one line of the difference between two books.
type Change struct {
	Loan string `json:"loan"`
	// Kind is one of added, removed, changed.
	Kind string `json:"kind"`
	Text string `json:"text"`
}

// String gives the change on one line, with a sign in front.
func (ch Change) String() string {
	sign := map[string]string{"added": "+", "removed": "-", "changed": "~"}[ch.Kind]
	return fmt.Sprintf("%s %s: %s", sign, ch.Loan, ch.Text)
}

// Diff lists what a set of loans changes against a book, sorted by loan. It
// is empty for an unchanged sheet.
func Diff(bo loan.Book, loans []loan.Loan) []Change {
	var changes []Change
	kept := map[string]bool{}
	for _, lo := range loans {
		kept[lo.ID] = true
		former, found := bo.Loan(lo.ID)
		switch {
		case !found:
			changes = append(changes, Change{Loan: lo.ID, Kind: "added", Text: describe(lo)})
		case !former.SameTerms(lo):
			changes = append(changes, Change{Loan: lo.ID, Kind: "changed", Text: describeChange(former, lo)})
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

func describeChange(former, lo loan.Loan) string {
	var parts []string
	note := func(column string, was, is any) {
		if fmt.Sprint(was) != fmt.Sprint(is) {
			parts = append(parts, fmt.Sprintf("%s %v -> %v", column, was, is))
		}
	}
	note("lender", former.Lender, lo.Lender)
	note("service", former.Service, lo.Service)
	note("targets", strings.Join(former.Targets, " "), strings.Join(lo.Targets, " "))
	note("borrower", former.Borrower, lo.Borrower)
	note("kind", former.Kind, lo.Kind)
	note("from", former.From.Format(time.RFC3339), lo.From.Format(time.RFC3339))
	note("until", former.Until.Format(time.RFC3339), lo.Until.Format(time.RFC3339))
	note("priority", former.Priority, lo.Priority)
	note("max-in-flight", former.MaxInFlight, lo.MaxInFlight)
	note("cut-off", former.CutOff, lo.CutOff)
	if !former.Recalled.Equal(lo.Recalled) {
		note("recalled", formatTime(former.Recalled), formatTime(lo.Recalled))
	}
	return strings.Join(parts, "; ")
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "no"
	}
	return at.Format(time.RFC3339)
}
