package duty

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A row that is accepted is the one that its encoding stands for: a changed token would
// break the order of the holders.
func FuzzDecodeRow(f *testing.F) {
	for _, ro := range []Row{{}, {Holder: "e1", Node: "n1", Token: 1 << 63, Renewals: 7, Cleared: true}} {
		raw, err := ro.Encode()
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Add([]byte("\xf6"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ro, err := DecodeRow(raw)
		if err != nil {
			return
		}
		encoded, err := ro.Encode()
		require.NoError(t, err)
		again, err := DecodeRow(encoded)
		require.NoError(t, err)
		require.Equal(t, ro, again)
	})
}
