package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

func ids(fl *fleet.Fleet) []string {
	out := []string{}
	for _, ta := range fl.All() {
		out = append(out, ta.ID)
	}
	return out
}

// Targets whose registration expires while the registry is unavailable stay usable
// until RecoveryWindow after the outage; those still missing then are removed.
func TestRegistryOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	var fl fleet.Fleet
	fl.Replace(now, []fleet.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	require.True(t, fl.Remove(now, "c"), "the registry is available, so it is removed at once")
	require.Equal(t, []string{"a", "b"}, ids(&fl))

	fl.RegistryDown()
	require.False(t, fl.Remove(now, "a"))
	require.Empty(t, fl.Sweep(now.Add(time.Hour)))
	now = now.Add(8 * time.Second)
	fl.RegistryUp(now)
	fl.Replace(now, nil)
	require.Equal(t, []string{"a", "b"}, ids(&fl))
	require.Empty(t, fl.Sweep(now.Add(fleet.RecoveryWindow-time.Millisecond)))
	fl.Put(fleet.Target{ID: "a"})
	require.Equal(t, []string{"b"}, fl.Sweep(now.Add(fleet.RecoveryWindow)))
	require.Equal(t, []string{"a"}, ids(&fl))
	require.True(t, fl.Remove(now.Add(fleet.RecoveryWindow), "a"))
	require.False(t, fl.Remove(now, "unknown"))
}
