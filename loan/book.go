// Package loan holds the configuration that a sheet sets: which targets are lent
// to which borrower, when, and with which priority and limit.
package loan

import (
	"slices"
	"strings"
	"time"

	"bilberryshelf/core"
)

// CutOffPolicy defines what a guard does with a loan when no entry has contacted the
// guard for the time in the guard's setting lost-contact.
type CutOffPolicy string

// The policies for a guard without contact to any entry.
const (
	// KeepServing continues to serve the loan until its end.
	KeepServing CutOffPolicy = "keep"
	// RefuseNewWork refuses new work under the loan.
	RefuseNewWork CutOffPolicy = "stop"
)

// Target is a back end in the configuration.
type Target struct {
	Name    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Revision is the generation that last changed the target's service or loans.
	Revision uint64 `cbor:"5,keyasint"`
}

// Loan grants targets to a borrower for a time.
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
	// MaxInFlight limits the requests in flight over all targets; zero means no
	// limit.
	MaxInFlight int          `cbor:"10,keyasint" json:"max-in-flight"`
	CutOff      CutOffPolicy `cbor:"11,keyasint" json:"cut-off"`
	// Recalled is when a recall by the lender takes effect; zero without a recall.
	Recalled time.Time `cbor:"12,keyasint,omitzero" json:"recalled,omitzero"`
	// Revision is the generation that last changed the loan, and ChangedBy is the
	// operator who changed it.
	Revision  uint64 `cbor:"13,keyasint" json:"revision"`
	ChangedBy string `cbor:"14,keyasint" json:"changed-by"`
	// AcceptedAt is when this revision of the loan was accepted.
	AcceptedAt time.Time `cbor:"15,keyasint" json:"since"`
}

// SameTerms reports whether two loans grant the same. It ignores Revision,
// ChangedBy and AcceptedAt.
func (lo Loan) SameTerms(other Loan) bool {
	return lo.Lender == other.Lender && lo.Service == other.Service &&
		slices.Equal(lo.Targets, other.Targets) &&
		lo.Borrower == other.Borrower && lo.Kind == other.Kind &&
		lo.From.Equal(other.From) && lo.Until.Equal(other.Until) &&
		lo.Priority == other.Priority && lo.MaxInFlight == other.MaxInFlight &&
		lo.CutOff == other.CutOff && lo.Recalled.Equal(other.Recalled)
}

// Version describes the newest weights of a service.
type Version struct {
	Service   string    `cbor:"1,keyasint" json:"service"`
	Number    uint64    `cbor:"2,keyasint" json:"number"`
	Object    string    `cbor:"3,keyasint" json:"object"`
	Trainer   string    `cbor:"4,keyasint" json:"trainer"`
	Announced time.Time `cbor:"5,keyasint" json:"announced"`
}

// Book is an immutable snapshot of the configuration of one generation; the With
// methods return a new one. Targets are sorted by name, loans by ID and versions
// by service.
type Book struct {
	Generation uint64   `cbor:"1,keyasint"`
	Operation  string   `cbor:"2,keyasint"`
	Targets    []Target `cbor:"3,keyasint"`
	Loans      []Loan   `cbor:"4,keyasint"`
	// Superseded holds the previous state of loans that were changed or removed within
	// SupersededRetention. It shows on which targets a key may have run.
	Superseded []Loan    `cbor:"6,keyasint"`
	Versions   []Version `cbor:"5,keyasint"`
}

// Loan returns the loan with an ID.
func (bo Book) Loan(id string) (Loan, bool) {
	at, ok := slices.BinarySearchFunc(bo.Loans, id, func(lo Loan, id string) int { return strings.Compare(lo.ID, id) })
	if !ok {
		return Loan{}, false
	}
	return bo.Loans[at], true
}

// Target returns the target with a name.
func (bo Book) Target(name string) (Target, bool) {
	at, ok := slices.BinarySearchFunc(bo.Targets, name, func(ta Target, name string) int { return strings.Compare(ta.Name, name) })
	if !ok {
		return Target{}, false
	}
	return bo.Targets[at], true
}

// Version returns the newest weights of a service. Without weights, only Service
// is set.
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

// Members returns the names of the targets of a service, sorted.
func (bo Book) Members(service string) []string {
	var names []string
	for _, ta := range bo.Targets {
		if ta.Service == service {
			names = append(names, ta.Name)
		}
	}
	return names
}

// WithVersion returns a book with new weights of a service.
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

// WithRecall returns a book in which a loan is recalled at a time.
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

// SupersededRetention is how long the previous state of a changed or removed loan
// stays in the book after its end.
const SupersededRetention = time.Hour

// WithLoans returns a book with all loans replaced, as a sheet does. It sets the
// revision of every changed loan and target to the next generation. The targets
// are derived from the loans: a target belongs to a service as long as a loan of
// that service names it.
func (bo Book) WithLoans(loans []Loan, by string, now time.Time) Book {
	generation := bo.Generation + 1
	next := Book{Generation: bo.Generation, Operation: bo.Operation, Versions: bo.Versions}
	changed := map[string]bool{}
	for _, lo := range loans {
		previous, found := bo.Loan(lo.ID)
		if found && previous.SameTerms(lo) {
			lo.Revision, lo.ChangedBy, lo.AcceptedAt = previous.Revision, previous.ChangedBy, previous.AcceptedAt
		} else {
			lo.Revision, lo.ChangedBy, lo.AcceptedAt = generation, by, now
			markChanged(changed, lo.Targets)
		}
		next.Loans = append(next.Loans, lo)
	}
	slices.SortFunc(next.Loans, func(lhs, rhs Loan) int { return strings.Compare(lhs.ID, rhs.ID) })
	next.Superseded = bo.supersededBy(next, changed, now)
	next.Targets = bo.targetsOf(next.Loans, changed, generation)
	return next
}

func markChanged(changed map[string]bool, names []string) {
	for _, na := range names {
		changed[na] = true
	}
}

// supersededBy returns the previous state of the loans that the next book changes or
// removes, and the superseded loans that are still retained. It adds the targets
// of the changed and removed loans to changed.
func (bo Book) supersededBy(next Book, changed map[string]bool, now time.Time) []Loan {
	var superseded []Loan
	for _, lo := range bo.Superseded {
		if lo.Until.After(now.Add(-SupersededRetention)) {
			superseded = append(superseded, lo)
		}
	}
	for _, lo := range bo.Loans {
		if kept, found := next.Loan(lo.ID); found && kept.Revision == lo.Revision {
			continue
		}
		markChanged(changed, lo.Targets)
		if now.Before(lo.End()) {
			lo.Until = now
		}
		lo.Recalled = time.Time{}
		superseded = append(superseded, lo)
	}
	return superseded
}

func (bo Book) targetsOf(loans []Loan, changed map[string]bool, generation uint64) []Target {
	services := map[string]string{}
	for _, lo := range loans {
		for _, na := range lo.Targets {
			services[na] = lo.Service
		}
	}
	targets := make([]Target, 0, len(services))
	for na, service := range services {
		previous, found := bo.Target(na)
		if !found || changed[na] {
			previous = Target{Name: na, Service: service, Revision: generation}
		}
		targets = append(targets, previous)
	}
	slices.SortFunc(targets, func(lhs, rhs Target) int { return strings.Compare(lhs.Name, rhs.Name) })
	return targets
}
