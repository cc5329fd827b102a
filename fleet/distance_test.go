package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

func TestDistance(t *testing.T) {
	lo := fleet.Location{Region: "r", Domain: "a", Regions: map[string]string{"a": "r", "b": "r", "c": "s"}}
	require.Equal(t, fleet.SameDomain, lo.Distance("a"))
	require.Equal(t, fleet.SameRegion, lo.Distance("b"))
	require.Equal(t, fleet.OtherRegion, lo.Distance("c"))
	require.Equal(t, fleet.SameRegion, lo.Distance("unknown"))
}
