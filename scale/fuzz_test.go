package scale

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// A load that is accepted is never negative, or one entry would hide the load of others.
func FuzzDecodeReport(f *testing.F) {
	for _, re := range []Report{nil, {"lm": {InFlight: 3, Waiting: 1}}, {"lm": {InFlight: -1}}, {"lm": {InFlight: 1 << 62, Waiting: 1 << 62}}} {
		raw, err := re.Encode()
		require.NoError(f, err)
		f.Add([]byte(raw))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		re, err := DecodeReport(cbor.ByteString(raw))
		if err != nil {
			return
		}
		for name, bu := range re {
			require.GreaterOrEqual(t, bu.InFlight, 0, name)
			require.GreaterOrEqual(t, bu.Waiting, 0, name)
			require.GreaterOrEqual(t, bu.Total(), 0, name)
		}
		encoded, err := re.Encode()
		require.NoError(t, err)
		again, err := DecodeReport(encoded)
		require.NoError(t, err)
		require.Equal(t, len(re), len(again))
		for name, bu := range re {
			require.Equal(t, bu, again[name])
		}
	})
}
