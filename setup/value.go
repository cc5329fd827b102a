package setup

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written as 250ms, 2s or 10m.
type Duration time.Duration

// UnmarshalText parses a duration, which must not be negative.
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms, 2s or 10m", text)
	}
	if parsed < 0 {
		return errors.Newf("%q is negative", text)
	}
	*du = Duration(parsed)
	return nil
}

// MarshalText formats the duration.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// Std returns the duration as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// Size is a number of bytes written as 512B, 64KiB, 8MiB or 1GiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// UnmarshalText parses a size, which must not be negative.
func (si *Size) UnmarshalText(text []byte) error {
	for _, un := range sizeUnits {
		digits, found := strings.CutSuffix(string(text), un.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/un.bytes {
			break
		}
		*si = Size(count * un.bytes)
		return nil
	}
	return errors.Newf("%q is not a size such as 512B, 64KiB or 8MiB", text)
}

// String formats the size in the largest unit that gives a whole number.
func (si Size) String() string {
	best := sizeUnits[len(sizeUnits)-1]
	for _, un := range sizeUnits {
		if un.bytes > best.bytes && si != 0 && int64(si)%un.bytes == 0 {
			best = un
		}
	}
	return strconv.FormatInt(int64(si)/best.bytes, 10) + best.suffix
}

// MarshalText formats the size as String does.
func (si Size) MarshalText() ([]byte, error) { return []byte(si.String()), nil }
