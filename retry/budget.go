package retry

// Budget keeps retries a set share of the load: every first attempt earns
// Share of a retry, up to Most. The zero value allows none. It is not safe
// for concurrent use.
type Budget struct {
	// Share is the number of retries that one first attempt earns.
	Share float64
	// Most bounds the retries saved up.
	Most float64

	saved float64
}

// Earn counts a first attempt.
func (bu *Budget) Earn() {
	bu.saved = min(bu.saved+bu.Share, bu.Most)
}

// Spend takes one retry, if there is one.
func (bu *Budget) Spend() bool {
	if bu.saved < 1 {
		return false
	}
	bu.saved--
	return true
}
