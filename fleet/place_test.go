package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

func TestDistance(t *testing.T) {
	pl := fleet.Location{Region: "r", Domain: "a", Regions: map[string]string{"a": "r", "b": "r", "c": "s"}}
	require.Equal(t, fleet.SameDomain, pl.Distance("a"))
	require.Equal(t, fleet.SameRegion, pl.Distance("b"))
	require.Equal(t, fleet.OtherRegion, pl.Distance("c"))
	require.Equal(t, fleet.SameRegion, pl.Distance("unknown"))
}
