package setup

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a span written as 250ms, 2s or 10m.
type Duration time.Duration

// UnmarshalText reads the span.
func (du *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a span such as 250ms, 2s or 10m", text)
	}
	if span < 0 {
		return errors.Newf("%q is negative", text)
	}
	*du = Duration(span)
	return nil
}

// MarshalText writes the span.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// Std is the span as the standard library has it.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// Size is a number of bytes written as 512B, 64KiB, 8MiB or 1GiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText reads the size.
func (si *Size) UnmarshalText(text []byte) error {
	for _, un := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), un.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 {
			break
		}
		*si = Size(count * un.bytes)
		return nil
	}
	return errors.Newf("%q is not a size such as 512B, 64KiB or 8MiB", text)
}

// MarshalText writes the size.
func (si Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(si), 10) + "B"), nil
}
