package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

// A version counts until SoftwareRetention after its last target was listed, however long
// ago the list changed before.
func TestSoftwareHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	var sh fleet.SoftwareHistory
	_, only := sh.Only("s")
	require.False(t, only)
	one, two := fleet.Target{Service: "s", Software: "v1"}, fleet.Target{Service: "s", Software: "v2"}
	sh.Update(now, []fleet.Target{one, {Service: "t", Software: "v9"}})
	software, only := sh.Only("s")
	require.True(t, only)
	require.Equal(t, "v1", software)
	now = now.Add(time.Hour)
	sh.Update(now, []fleet.Target{one, two})
	_, only = sh.Only("s")
	require.False(t, only)
	now = now.Add(time.Hour)
	sh.Update(now, []fleet.Target{two})
	_, only = sh.Only("s")
	require.False(t, only, "streams of the old version may still be resumed")
	sh.Update(now.Add(fleet.SoftwareRetention+1), []fleet.Target{two})
	software, only = sh.Only("s")
	require.True(t, only)
	require.Equal(t, "v2", software)
}
