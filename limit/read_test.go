package limit_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

// endless is content without end. It counts the bytes that were read.
type endless struct{ read int64 }

func (en *endless) Read(buf []byte) (int, error) {
	en.read += int64(len(buf))
	return len(buf), nil
}

func TestRead(t *testing.T) {
	full := errors.New("budget exhausted")
	for _, tc := range []struct {
		name         string
		text         string
		length, most int64
		budget       int64
		err          error
	}{
		{"length unknown", strings.Repeat("a", 100_000), -1, 100_000, 1 << 20, nil},
		{"length announced", strings.Repeat("a", 100_000), 100_000, 100_000, 100_001, nil},
		{"empty", "", 0, 10, 0, nil},
		{"empty, length unknown", "", -1, 10, 11, nil},
		{"a byte too many", strings.Repeat("a", 100_001), -1, 100_000, 1 << 20, limit.ErrTooLarge},
		{"a length too large", "", 11, 10, 0, limit.ErrTooLarge},
		{"longer than announced", strings.Repeat("a", 20), 10, 10, 11, limit.ErrTooLarge},
		{"budget exhausted", strings.Repeat("a", 100_000), -1, 100_000, 20_000, full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			left := tc.budget
			raw, err := limit.Read(strings.NewReader(tc.text), tc.length, tc.most, func(more int64) error {
				if left -= more; left < 0 {
					return full
				}
				return nil
			})
			require.ErrorIs(t, err, tc.err)
			if tc.err == nil {
				require.Equal(t, tc.text, string(raw))
			}
		})
	}
}

// TestReplayEndless replays a peer that never stops sending. The bytes that are read must
// be bounded by the limit and one buffer.
func TestReplayEndless(t *testing.T) {
	const most = 1 << 20
	en := &endless{}
	_, err := limit.ReadAll(en, most)
	require.ErrorIs(t, err, limit.ErrTooLarge)
	require.LessOrEqual(t, en.read, int64(2*most))

	_, err = limit.ReadAll(io.MultiReader(strings.NewReader("a"), brokenReader{}), most)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "content that breaks off is not complete")
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
