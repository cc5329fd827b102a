// Package loan holds the configuration that the morning sheet sets: which
// targets are lent to whom, when, and at which priority and limit.
package loan

import (
	"slices"
	"strings"
	"time"

	"bilberryshelf/core"
)

// CutOffPolicy says what a guard does with a loan when it has heard from no entry
// for its lost-contact span.
type CutOffPolicy string

// The choices for a guard that is cut off.
const (
	// KeepServing goes on serving the loan until its end.
	KeepServing CutOffPolicy = "keep"
	// RefuseNewWork refuses new work under the loan.
	RefuseNewWork CutOffPolicy = "stop"
)

// Target is one back end as the configuration knows it.
type Target struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Revision is the generation that last changed what this target does.
	Revision uint64 `cbor:"5,keyasint"`
}

// Loan is a grant of targets to a borrower. Limits of zero mean none.
type Loan struct {
	ID       string            `cbor:"1,keyasint" json:"id"`
	Lender   string            `cbor:"2,keyasint" json:"lender"`
	Service  string            `cbor:"3,keyasint" json:"service"`
	Targets  []string          `cbor:"4,keyasint" json:"targets"`
	Borrower string            `cbor:"5,keyasint" json:"borrower"`
	Kind     core.BorrowerKind `cbor:"6,keyasint" json:"kind"`
	From     time.Time         `cbor:"7,keyasint" json:"from"`
	Until    time.Time         `cbor:"8,keyasint" json:"until"`
	Priority core.Priority     `cbor:"9,keyasint" json:"priority"`
	// MaxInFlight bounds the requests in progress over all targets.
	MaxInFlight int          `cbor:"10,keyasint" json:"max-in-flight"`
	CutOff      CutOffPolicy `cbor:"11,keyasint" json:"cut-off"`
	// Recalled is when the lender asked for the targets back early.
	Recalled time.Time `cbor:"12,keyasint,omitzero" json:"recalled,omitzero"`
	// Revision is the generation that last changed the loan, ChangedBy the
	// operator who did.
	Revision  uint64 `cbor:"13,keyasint" json:"revision"`
	ChangedBy string `cbor:"14,keyasint" json:"changed-by"`
	// AcceptedAt is when the loan was accepted in this form.
	AcceptedAt time.Time `cbor:"15,keyasint" json:"since"`
}

// SameTerms reports whether two loans grant the same, whoever changed them.
func (lo Loan) SameTerms(other Loan) bool {
	return lo.Lender == other.Lender && lo.Service == other.Service &&
		slices.Equal(lo.Targets, other.Targets) &&
		lo.Borrower == other.Borrower && lo.Kind == other.Kind &&
		lo.From.Equal(other.From) && lo.Until.Equal(other.Until) &&
		lo.Priority == other.Priority && lo.MaxInFlight == other.MaxInFlight &&
		lo.CutOff == other.CutOff && lo.Recalled.Equal(other.Recalled)
}

// Version is the newest weights of a service.
type Version struct {
	Service   string    `cbor:"1,keyasint" json:"service"`
	Number    uint64    `cbor:"2,keyasint" json:"number"`
	Object    string    `cbor:"3,keyasint" json:"object"`
	Trainer   string    `cbor:"4,keyasint" json:"trainer"`
	Announced time.Time `cbor:"5,keyasint" json:"announced"`
}

// Book is the configuration of one generation. It is never changed in place;
// the With methods return a new one. Targets, loans and versions are sorted
// by name.
type Book struct {
	Generation uint64   `cbor:"1,keyasint"`
	Operation  string   `cbor:"2,keyasint"`
	Targets    []Target `cbor:"3,keyasint"`
	Loans      []Loan   `cbor:"4,keyasint"`
	// Superseded holds the loans that were changed or removed a short while ago, as
	// they were; they say where a key may have run.
	Superseded []Loan    `cbor:"6,keyasint"`
	Versions   []Version `cbor:"5,keyasint"`
}

// Loan finds a loan by its id.
func (bo Book) Loan(id string) (Loan, bool) {
	at, ok := slices.BinarySearchFunc(bo.Loans, id, func(lo Loan, id string) int { return strings.Compare(lo.ID, id) })
	if !ok {
		return Loan{}, false
	}
	return bo.Loans[at], true
}

// Target finds a target by its name.
func (bo Book) Target(name string) (Target, bool) {
	at, ok := slices.BinarySearchFunc(bo.Targets, name, func(ta Target, name string) int { return strings.Compare(ta.Name, name) })
	if !ok {
		return Target{}, false
	}
	return bo.Targets[at], true
}

// Version finds the newest weights of a service; the zero Version for none.
func (bo Book) Version(service string) Version {
	for _, ve := range bo.Versions {
		if ve.Service == service {
			return ve
		}
	}
	return Version{Service: service}
}

// Serves reports whether any target belongs to the service.
func (bo Book) Serves(service string) bool {
	return slices.ContainsFunc(bo.Targets, func(ta Target) bool { return ta.Service == service })
}

// Members lists the targets of a service.
func (bo Book) Members(service string) []string {
	var names []string
	for _, ta := range bo.Targets {
		if ta.Service == service {
			names = append(names, ta.Name)
		}
	}
	return names
}

// WithVersion announces new weights of a service.
func (bo Book) WithVersion(ve Version) Book {
	bo.Versions = slices.Clone(bo.Versions)
	for at := range bo.Versions {
		if bo.Versions[at].Service == ve.Service {
			bo.Versions[at] = ve
			return bo
		}
	}
	bo.Versions = append(bo.Versions, ve)
	slices.SortFunc(bo.Versions, func(lhs, rhs Version) int { return strings.Compare(lhs.Service, rhs.Service) })
	return bo
}

// WithRecall asks for a loan back at a time.
func (bo Book) WithRecall(id, by string, at time.Time) (Book, *core.Error) {
	lo, found := bo.Loan(id)
	if !found {
		return bo, core.Refuse(core.CodeNoLoan, "there is no loan %q", id)
	}
	lo.Recalled = at
	loans := slices.Clone(bo.Loans)
	loans[slices.IndexFunc(loans, func(other Loan) bool { return other.ID == id })] = lo
	return bo.WithLoans(loans, by, at), nil
}

// supersededRetention is how long a changed or removed loan stays in the book.
const supersededRetention = time.Hour

// WithLoans replaces all loans, as a sheet does, and stamps what changed with
// the coming generation. Targets follow from the loans: a target belongs to
// its service as long as some loan names it.
func (bo Book) WithLoans(loans []Loan, by string, now time.Time) Book {
	coming := bo.Generation + 1
	next := Book{Generation: bo.Generation, Operation: bo.Operation, Versions: bo.Versions}
	touched := map[string]bool{}
	for _, lo := range loans {
		former, found := bo.Loan(lo.ID)
		if found && former.SameTerms(lo) {
			lo.Revision, lo.ChangedBy, lo.AcceptedAt = former.Revision, former.ChangedBy, former.AcceptedAt
		} else {
			lo.Revision, lo.ChangedBy, lo.AcceptedAt = coming, by, now
			markChanged(touched, lo.Targets)
		}
		next.Loans = append(next.Loans, lo)
	}
	slices.SortFunc(next.Loans, func(lhs, rhs Loan) int { return strings.Compare(lhs.ID, rhs.ID) })
	next.Superseded = bo.supersededBy(next, touched, now)
	next.Targets = bo.targetsOf(next.Loans, touched, coming)
	return next
}

func markChanged(touched map[string]bool, names []string) {
	for _, na := range names {
		touched[na] = true
	}
}

// supersededBy keeps the loans that the next book changes or removes.
func (bo Book) supersededBy(next Book, touched map[string]bool, now time.Time) []Loan {
	var past []Loan
	for _, lo := range bo.Superseded {
		if lo.Until.After(now.Add(-supersededRetention)) {
			past = append(past, lo)
		}
	}
	for _, lo := range bo.Loans {
		if kept, found := next.Loan(lo.ID); found && kept.Revision == lo.Revision {
			continue
		}
		markChanged(touched, lo.Targets)
		if now.Before(lo.End()) {
			lo.Until = now
		}
		lo.Recalled = time.Time{}
		past = append(past, lo)
	}
	return past
}

func (bo Book) targetsOf(loans []Loan, touched map[string]bool, coming uint64) []Target {
	services := map[string]string{}
	for _, lo := range loans {
		for _, na := range lo.Targets {
			services[na] = lo.Service
		}
	}
	targets := make([]Target, 0, len(services))
	for na, service := range services {
		former, found := bo.Target(na)
		if !found || touched[na] {
			former = Target{Name: na, Service: service, Revision: coming}
		}
		targets = append(targets, former)
	}
	slices.SortFunc(targets, func(lhs, rhs Target) int { return strings.Compare(lhs.Name, rhs.Name) })
	return targets
}
