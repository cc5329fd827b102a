package retry

// Budget limits retries to a fixed share of the load: every first attempt earns
// Share of a retry. Up to Max retries may be spent before they are earned, so that
// a service with little load can retry, too. The zero value allows no retries. It
// is not safe for concurrent use.
type Budget struct {
	// Share is the number of retries that one first attempt earns.
	Share float64
	// Max is the largest number of retries that are spent before they are earned.
	Max float64

	// debt is the number of retries spent before they were earned.
	debt float64
}

// Earn counts a first attempt.
func (bu *Budget) Earn() { bu.debt = max(bu.debt-bu.Share, 0) }

// Spend takes one retry and reports whether the budget had one.
func (bu *Budget) Spend() bool {
	if bu.debt+1 > bu.Max {
		return false
	}
	bu.debt++
	return true
}
