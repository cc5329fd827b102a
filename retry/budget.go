package retry

// Budget keeps retries a set share of the load: every first attempt earns
// Share of a retry. Up to Most may be spent ahead, so that a quiet service can
// retry, too. The zero value allows none. It is not safe for concurrent use.
type Budget struct {
	// Share is the number of retries that one first attempt earns.
	Share float64
	// Most bounds the retries spent ahead.
	Most float64

	debt float64
}

// Earn counts a first attempt.
func (bu *Budget) Earn() { bu.debt = max(bu.debt-bu.Share, 0) }

// Spend takes one retry, if there is one.
func (bu *Budget) Spend() bool {
	if bu.debt+1 > bu.Most {
		return false
	}
	bu.debt++
	return true
}
