package loan

import "slices"

// Slice is the part of a book that concerns one target. Guards hold no more
// than this.
type Slice struct {
	Generation uint64 `cbor:"1,keyasint"`
	// Revision is the generation that last changed the target's loans.
	Revision uint64 `cbor:"2,keyasint"`
	Target   string `cbor:"3,keyasint"`
	Service  string `cbor:"4,keyasint"`
	// Loans have only this target in their list of targets.
	Loans []Loan `cbor:"5,keyasint"`
	// Shares are the parts of the loans' limits, in the order of Loans.
	Shares  []int   `cbor:"6,keyasint"`
	Version Version `cbor:"7,keyasint"`
	// Rank and Count place the target among those that load the version.
	Rank  int `cbor:"8,keyasint"`
	Count int `cbor:"9,keyasint"`
}

// TargetSlice cuts out the slice of one target. A target that the book does not name
// gets an empty slice, which lends it to nobody.
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

// Find returns a loan of the slice with its share of the limit.
func (sl Slice) Find(id string) (Loan, int, bool) {
	for at, lo := range sl.Loans {
		if lo.ID == id {
			return lo, sl.Shares[at], true
		}
	}
	return Loan{}, 0, false
}
