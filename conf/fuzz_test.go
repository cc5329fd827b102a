package conf_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bilberryshelf/conf"
	"bilberryshelf/table"
	"bilberryshelf/wire"
)

// No answer of a peer takes a row back to an earlier version, makes the view younger than
// the question, or adds rows that the next answer would not tell again.
func FuzzViewAnswer(f *testing.F) {
	for _, res := range []*wire.FindConfigResponse{
		{Confirmed: true, AgeNanos: 5, RowVersion: 6, Rows: []*wire.TableRow{{Id: &wire.RowID{Table: "op", Key: "config"}, Value: []byte("a"), Version: 6}}},
		{Confirmed: true, AgeNanos: -1 << 63, RowVersion: 1<<64 - 1, Rows: []*wire.TableRow{nil, {Version: 1<<64 - 1, Deleted: true}}},
		{Confirmed: true, AgeNanos: 1<<63 - 1, RowVersion: 5},
	} {
		raw, err := proto.Marshal(res)
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var res wire.FindConfigResponse
		if proto.Unmarshal(raw, &res) != nil {
			return
		}
		an := conf.Answer{Confirmed: res.GetConfirmed(), Age: time.Duration(res.GetAgeNanos()), Version: res.GetRowVersion()}
		for _, ro := range res.GetRows() {
			id := ro.GetId()
			an.Rows = append(an.Rows, table.Row{
				ID:    table.ID{Table: id.GetTable(), Part: id.GetPart(), Key: id.GetKey()},
				Value: ro.GetValue(), Version: ro.GetVersion(), Deleted: ro.GetDeleted(),
			})
		}
		now := time.Unix(1767225600, 0)
		vi := conf.View{Since: now.Add(-time.Minute)}
		vi.Put([]table.Row{{ID: table.ID{Table: "op", Key: "config"}, Value: []byte("old"), Version: 5}})
		at, use := vi.Judge(now, an)
		if !use {
			return
		}
		require.True(t, an.Confirmed)
		require.False(t, at.After(now), "a view is not younger than the question")
		require.GreaterOrEqual(t, an.Version, uint64(5))
		vi.Put(an.Rows)
		vi.ConfirmThrough(at)
		require.GreaterOrEqual(t, vi.Version(), uint64(5))
		require.Empty(t, vi.Put(an.Rows), "a repeated answer changes nothing")
		told := vi.Answer(now, 0)
		seen := map[table.ID]bool{}
		for _, ro := range told.Rows {
			require.False(t, seen[ro.ID])
			require.LessOrEqual(t, ro.Version, told.Version)
			if ro.ID == (table.ID{Table: "op", Key: "config"}) {
				require.GreaterOrEqual(t, ro.Version, uint64(5))
			}
			seen[ro.ID] = true
		}
		require.Zero(t, vi.AskIn(now), "peers never end the questions")
	})
}
