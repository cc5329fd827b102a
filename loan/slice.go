package loan

import "slices"

// Slice is the part of a book that concerns one target. A guard stores no other
// part of the book.
type Slice struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Revision is the generation that last changed the target's loans.
	Revision uint64 `cbor:"2,keyasint"`
	Target   string `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	// Loans holds the target's loans; each lists only this target in Targets.
	Loans []Loan `cbor:"5,keyasint"`
	// Shares holds the target's shares of the limits, in the order of Loans.
	Shares  []int   `cbor:"6,keyasint"`
	Version Version `cbor:"7,keyasint"`
	// Rank is the index of the target among the targets of the service, and Count is
	// their number. Guards use them to spread the loads of a version over time.
	Rank  int `cbor:"8,keyasint"`
	Count int `cbor:"9,keyasint"`
}

// TargetSlice returns the slice of one target. A target that is not in the book
// gets a slice without loans, so that it serves no borrower.
func (bo Book) TargetSlice(target string) Slice {
	ta, found := bo.Target(target)
	sl := Slice{Generation: bo.Generation, Target: target, Service: ta.Service, Revision: ta.Revision}
	if !found {
		sl.Revision = bo.Generation
		return sl
	}
	for _, lo := range bo.Loans {
		if !slices.Contains(lo.Targets, target) {
			continue
		}
		sl.Shares = append(sl.Shares, lo.Share(target))
		lo.Targets = []string{target}
		sl.Loans = append(sl.Loans, lo)
	}
	sl.Version = bo.Version(ta.Service)
	members := bo.Members(ta.Service)
	sl.Count = len(members)
	sl.Rank = slices.Index(members, target)
	return sl
}

// Find returns the loan with an ID and the target's share of its limit.
func (sl Slice) Find(id string) (Loan, int, bool) {
	for at, lo := range sl.Loans {
		if lo.ID == id {
			return lo, sl.Shares[at], true
		}
	}
	return Loan{}, 0, false
}
