package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// P1: a reported version is accepted only if the orders and health reports up to the
// token's arrival permit it.
func TestVersionCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name    string
		run     func(vc *versionCheck)
		certain bool
	}{
		{"the current version", func(vc *versionCheck) { vc.observe(1, start) }, true},
		{"no version", func(vc *versionCheck) { vc.observe(0, start) }, false},
		{"a version that nobody ordered", func(vc *versionCheck) { vc.observe(2, start) }, false},
		{"the version of an order", func(vc *versionCheck) {
			vc.allow(2)
			vc.observe(1, start)
			vc.observe(2, start)
		}, true},
		{"a replaced version within the transit time", func(vc *versionCheck) {
			vc.allow(2)
			vc.retire(1, start)
			vc.observe(1, start.Add(transitTime))
		}, true},
		{"a replaced version after the transit time", func(vc *versionCheck) {
			vc.allow(2)
			vc.retire(1, start)
			vc.observe(1, start.Add(transitTime+time.Millisecond))
		}, false},
		{"an engine that reports late", func(vc *versionCheck) {
			vc.markInDoubt()
			vc.observe(1, start)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vc := &versionCheck{}
			vc.allow(1)
			tc.run(vc)
			require.Equal(t, tc.certain, vc.certain())
		})
	}
}

// P1: an engine that reports versions late may name the old version for tokens of the new
// one, also in a sample that begins while the order is in progress.
func TestLateReports(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ve      versions
		late    bool
		certain bool
	}{
		{"no order", versions{current: 1}, true, true},
		{"during an order", versions{current: 1, pending: 2}, true, false},
		{"during an order, reports in time", versions{current: 1, pending: 2}, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vc := tc.ve.versionCheck(tc.late)
			vc.observe(1, time.Unix(1000, 0))
			require.Equal(t, tc.certain, vc.certain())
		})
	}
}
