package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/member"
	"bilberryshelf/table"
)

func row(t *testing.T, node string, re member.Record) table.Row {
	t.Helper()
	raw, err := re.Encode()
	require.NoError(t, err)
	return table.Row{ID: member.ID(node), Value: raw}
}

func TestLiveness(t *testing.T) {
	now := time.Unix(1000, 0)
	var vi member.View
	put := func(node string, re member.Record) {
		vi.Confirm(now)
		require.NoError(t, vi.Put(now, row(t, node, re)))
	}
	put("n1", member.Record{Name: "n1/a", Heartbeat: 1})
	put("n2", member.Record{Name: "n2/a", Heartbeat: 1})
	require.False(t, vi.Dead(now, "n1/a"))
	require.True(t, vi.Dead(now, ""), "a released job has no owner")
	require.True(t, vi.Dead(now, "n3/a"))

	now = now.Add(member.Expiry / 2)
	vi.Confirm(now)
	now = now.Add(member.Expiry / 2)
	put("n2", member.Record{Name: "n2/a", Heartbeat: 4})
	now = now.Add(time.Millisecond)
	put("n1", member.Record{Name: "n1/a", Heartbeat: 1}) // the same row again, not renewed
	require.True(t, vi.Dead(now, "n1/a"))
	require.False(t, vi.Dead(now, "n2/a"))

	put("n2", member.Record{Name: "n2/b", Heartbeat: 1})
	require.True(t, vi.Dead(now, "n2/a"), "an earlier start of the node")

	now = now.Add(time.Minute)
	require.False(t, vi.Dead(now, "n2/b"), "the rows are outdated, so no entry is declared dead")
	vi.Confirm(now)
	require.False(t, vi.Dead(now, "n2/b"), "after an outage an entry has time to renew its row")
	now = now.Add(member.Expiry / 2)
	vi.Confirm(now)
	now = now.Add(member.Expiry / 2)
	vi.Confirm(now)
	require.False(t, vi.Dead(now, "n2/b"))
	require.True(t, vi.Dead(now.Add(time.Millisecond), "n2/b"))
	require.Error(t, vi.Put(now, table.Row{ID: member.ID("n9"), Value: []byte("?")}))
}

// One entry adopts a job without an owner at once, the others one after another.
// Entries that are stopping or have a low capacity adopt none.
func TestAdoptDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	var vi member.View
	vi.Confirm(now)
	names := []string{"a", "b", "c", "d"}
	for _, na := range names {
		require.NoError(t, vi.Put(now, row(t, na, member.Record{Name: na, LowCapacity: na == "c", Stopping: na == "d"})))
	}
	waits := map[time.Duration]int{}
	for _, na := range names {
		if wait, ok := vi.AdoptDelay(now, "job", na); ok {
			waits[wait]++
		}
	}
	require.Equal(t, map[time.Duration]int{0: 1, member.AdoptStep: 1}, waits)
}

// The owner of a route is an entry near the store with a recent heartbeat. If no
// entry has one, the route has no owner.
func TestOwner(t *testing.T) {
	now := time.Unix(1000, 0)
	var vi member.View
	vi.Confirm(now)
	for _, na := range []string{"a", "b", "c", "d"} {
		require.NoError(t, vi.Put(now, row(t, na, member.Record{Name: na, Heartbeat: 1, NearStore: na == "c" || na == "d"})))
	}
	first, found := vi.Owner(now, "r")
	require.True(t, found)
	require.True(t, first.NearStore)
	now = now.Add(1700 * time.Millisecond)
	vi.Confirm(now)
	_, found = vi.Owner(now, "r")
	require.False(t, found, "no entry has a recent heartbeat")
	for _, na := range []string{"a", "b", "c", "d"} {
		if na != first.Name {
			require.NoError(t, vi.Put(now, row(t, na, member.Record{Name: na, Heartbeat: 2, NearStore: na == "c" || na == "d"})))
		}
	}
	second, found := vi.Owner(now, "r")
	require.True(t, found)
	require.NotEqual(t, first.Name, second.Name)
	require.True(t, second.NearStore)
}

// Each of the first two replicas is in another failure domain, and when the writer and one of
// them are lost, the other is among the first of the domains.
func TestReplicas(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(nodes ...int) *member.View {
		vi := &member.View{}
		for _, at := range nodes {
			name := fmt.Sprint("n", at)
			require.NoError(t, vi.Put(now, row(t, name, member.Record{Name: name, Domain: fmt.Sprint("d", at%2)})))
		}
		vi.Confirm(now)
		return vi
	}
	before, after := view(0, 1, 2, 3, 4, 5), view(1, 2, 3, 4, 5)
	for at := range 50 {
		id := fmt.Sprint("s", at)
		all := before.Replicas(now, id, "n0")
		require.Len(t, all, 5)
		require.NotEqual(t, all[0].Domain, all[1].Domain)
		for _, lost := range all[:2] {
			left := after.Replicas(now, id, lost.Name)
			require.Subset(t, append(left[:2], lost), all[:2])
		}
	}
}

// What an entry announces is bytes of any value; a row with them must stay readable.
func TestAnnouncements(t *testing.T) {
	now := time.Unix(1000, 0)
	var vi member.View
	rows := []table.Row{row(t, "n1", member.Record{Name: "n1", Limits: "\xff\x00"}), row(t, "n2", member.Record{Name: "n2"})}
	for _, ro := range rows {
		require.NoError(t, vi.Put(now, ro))
	}
	require.Equal(t, [][]byte{{0xff, 0}}, vi.Announcements(rows))
}

// A change of what ranks the entries counts as well as one of who lives: another entry may
// be first for some key, though the order for others is the same.
func TestChangedAt(t *testing.T) {
	now := time.Unix(1000, 0)
	var vi member.View
	put := func(re member.Record) { require.NoError(t, vi.Put(now, row(t, re.Name, re))) }
	put(member.Record{Name: "n1", Heartbeat: 1})
	vi.Confirm(now)
	began := now
	require.Equal(t, began, vi.ChangedAt(now))
	now = now.Add(time.Second)
	put(member.Record{Name: "n1", Heartbeat: 2})
	put(member.Record{Name: "n2", LowCapacity: true})
	require.Equal(t, began, vi.ChangedAt(now), "heartbeats and small entries change nothing")
	for _, re := range []member.Record{{Name: "n3"}, {Name: "n3", NearStore: true}, {Name: "n3", NearStore: true, Stopping: true}} {
		now = now.Add(time.Second)
		put(re)
		require.Equal(t, now, vi.ChangedAt(now), "%+v", re)
		require.Equal(t, now, vi.ChangedAt(now.Add(time.Millisecond)))
	}
}
