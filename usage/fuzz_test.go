package usage

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bilberryshelf/table"
)

// Rows of counts are added up or named as malformed, each once.
func FuzzAddUp(f *testing.F) {
	tx, err := CountsTx("e1", map[uint64]Counts{7: {"red": 3}})
	require.NoError(f, err)
	f.Add(tx.Puts[0].ID.Key, tx.Puts[0].Value)
	f.Add("x/e1", []byte("\xa0"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		sums, malformed := AddUp([]table.Row{{ID: table.ID{Key: key}, Value: value}})
		require.Len(t, malformed, 1-len(sums))
		for window, sum := range sums {
			require.Equal(t, 1, sum.Rows)
			tx, err := CountsTx("e1", map[uint64]Counts{window: sum.Counts})
			require.NoError(t, err)
			again, malformed := AddUp([]table.Row{{ID: tx.Puts[0].ID, Value: tx.Puts[0].Value}})
			require.Empty(t, malformed)
			require.Equal(t, sum.Counts, again[window].Counts)
		}
	})
}

// A fixed report that is accepted is posted with the same counts by each holder.
func FuzzDecodeReport(f *testing.F) {
	put, err := Report{Counts: Counts{"red": 3}, Rows: 2, SentAt: 5}.put(7)
	require.NoError(f, err)
	f.Add(put.ID.Key, put.Value)
	f.Add("report/x", []byte("\xf6"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		window, re, err := decodeReport(table.Row{ID: table.ID{Key: key}, Value: value})
		if err != nil {
			return
		}
		require.NotNil(t, re.Counts, "posted as an object")
		put, err := re.put(window)
		require.NoError(t, err)
		window2, again, err := decodeReport(table.Row{ID: put.ID, Value: put.Value})
		require.NoError(t, err)
		require.Equal(t, window, window2)
		require.Equal(t, re, again)
		_, err = cbor.Marshal(again)
		require.NoError(t, err)
	})
}

// Whatever window the cursor names, only windows that ended are due.
func FuzzCursor(f *testing.F) {
	f.Add(windowKey(353445120))
	f.Add("18446744073709551615")
	f.Add("3689348814")
	f.Add("4000000000")
	f.Add("-1")
	f.Fuzz(func(t *testing.T, text string) {
		next, err := windowOf(table.Row{ID: table.ID{Key: text}})
		if err != nil {
			return
		}
		const now, length = 1767225600 * time.Second, 5 * time.Second
		for at, window := range Due(next, now, DefaultSettle, length) {
			require.Equal(t, next+uint64(at), window)
			require.Less(t, window, WindowAt(now-DefaultSettle, length))
		}
	})
}
