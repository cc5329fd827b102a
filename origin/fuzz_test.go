package origin_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/origin"
	"bilberryshelf/table"
)

// Rows may come from another writer. What decodes must encode to a row that decodes to the
// same.
func FuzzRows(f *testing.F) {
	pu, err := first.Put()
	require.NoError(f, err)
	st, err := origin.Stored{Place: second, Expires: 7}.Put("id")
	require.NoError(f, err)
	si, err := origin.Since{At: 5}.Put()
	require.NoError(f, err)
	for _, value := range [][]byte{pu.Value, st.Value, si.Value, nil, {0xa1}, {0xff}} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if pa, ok, err := origin.DecodePlace(table.Row{ID: first.ID(), Value: value}); err == nil && ok {
			pu, err := pa.Put()
			require.NoError(t, err)
			again, _, err := origin.DecodePlace(table.Row{ID: pu.ID, Value: pu.Value})
			require.NoError(t, err)
			require.Equal(t, pa, again)
			require.LessOrEqual(t, len(pu.ID.Key), 200)
		}
		if since, ok, err := origin.DecodeSince(table.Row{ID: origin.SinceID(), Value: value}); err == nil && ok {
			since.For(0)
		}
		if st, err := origin.DecodeStored(table.Row{ID: origin.ID("chat", "id"), Value: value}); err == nil {
			_, err := st.Put("id")
			require.NoError(t, err)
		}
	})
}
