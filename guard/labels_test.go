package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// P1: which versions a token may bear, by what was ordered and read back when
// it arrived.
func TestVersionCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		play func(la *versionCheck)
		sure bool
	}{
		{"the version in use", func(la *versionCheck) { la.observe(1, start) }, true},
		{"no version", func(la *versionCheck) { la.observe(0, start) }, false},
		{"a version that nobody ordered", func(la *versionCheck) { la.observe(2, start) }, false},
		{"a version ordered", func(la *versionCheck) {
			la.allow(2)
			la.observe(1, start)
			la.observe(2, start)
		}, true},
		{"a replaced version, still under way", func(la *versionCheck) {
			la.allow(2)
			la.retire(1, start)
			la.observe(1, start.Add(transitTime))
		}, true},
		{"a replaced version, named late", func(la *versionCheck) {
			la.allow(2)
			la.retire(1, start)
			la.observe(1, start.Add(transitTime+time.Millisecond))
		}, false},
		{"an engine that reports late", func(la *versionCheck) {
			la.markInDoubt()
			la.observe(1, start)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			la := &versionCheck{}
			la.allow(1)
			tc.play(la)
			require.Equal(t, tc.sure, la.certain())
		})
	}
}
