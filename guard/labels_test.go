package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// P1: which versions a token may bear, by what was ordered and read back when
// it arrived.
func TestLabels(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name string
		play func(la *labels)
		sure bool
	}{
		{"the version in use", func(la *labels) { la.check(1, start) }, true},
		{"no version", func(la *labels) { la.check(0, start) }, false},
		{"a version that nobody ordered", func(la *labels) { la.check(2, start) }, false},
		{"a version ordered", func(la *labels) {
			la.open(2)
			la.check(1, start)
			la.check(2, start)
		}, true},
		{"a replaced version, still under way", func(la *labels) {
			la.open(2)
			la.retire(1, start)
			la.check(1, start.Add(underWay))
		}, true},
		{"a replaced version, named late", func(la *labels) {
			la.open(2)
			la.retire(1, start)
			la.check(1, start.Add(underWay+time.Millisecond))
		}, false},
		{"an engine that reports late", func(la *labels) {
			la.suspect()
			la.check(1, start)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			la := &labels{}
			la.open(1)
			tc.play(la)
			require.Equal(t, tc.sure, la.sure())
		})
	}
}
