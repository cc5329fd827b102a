package usage

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/table"
)

const (
	// Table is the table of the store with the counts of each entry, in parts, and the
	// reports, in the empty part.
	Table = "usage"
	// partCount spreads the writes of the entries.
	partCount    = 4
	reportPrefix = "report/"
	// reportEnd is the end of the range of the keys with reportPrefix.
	reportEnd = "report0"
	cursorKey = "cursor"
)

// cursorID is the row with the next window to fix. It is never deleted.
var cursorID = table.ID{Table: Table, Key: cursorKey}

// Parts returns the parts that hold the counts of the entries.
func Parts() []string {
	var parts []string
	for at := range partCount {
		parts = append(parts, partName(at))
	}
	return parts
}

func partName(at int) string { return Table + "/" + strconv.Itoa(at) }

// windowKey returns the key prefix of a window; keys sort as windows do.
func windowKey(window uint64) string { return fmt.Sprintf("%012d", window) }

// CountsID returns the id of the row with an entry's counts in a window.
func CountsID(window uint64, entry string) table.ID {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(entry)) // never fails
	return table.ID{Table: Table, Part: partName(int(sum.Sum32() % partCount)), Key: windowKey(window) + "/" + entry}
}

// ReportID returns the id of the row of a report.
func ReportID(window uint64) table.ID {
	return table.ID{Table: Table, Key: reportPrefix + windowKey(window)}
}

// CountsTx returns the transaction that stores an entry's counts.
func CountsTx(entry string, windows map[uint64]Counts) (table.Tx, error) {
	var tx table.Tx
	for window, counts := range windows {
		raw, err := cbor.Marshal(counts)
		if err != nil {
			return table.Tx{}, errors.Wrap(err, "encode counts")
		}
		tx.Puts = append(tx.Puts, table.Put{ID: CountsID(window, entry), Value: raw})
	}
	return tx, nil
}

// Sum is the sum of the rows of a window.
type Sum struct {
	Counts Counts
	Rows   int
}

// AddUp returns the sums of rows by window, and the keys of the rows that cannot be decoded.
func AddUp(rows []table.Row) (sums map[uint64]Sum, malformed []string) {
	sums = map[uint64]Sum{}
	for _, ro := range rows {
		window, err := windowOf(ro)
		var counts Counts
		if err == nil {
			err = cbor.Unmarshal(ro.Value, &counts)
		}
		if err != nil {
			malformed = append(malformed, ro.ID.Key)
			continue
		}
		sum := sums[window]
		if sum.Counts == nil {
			sum.Counts = Counts{}
		}
		for workspace, count := range counts {
			sum.Counts[workspace] += count
		}
		sum.Rows++
		sums[window] = sum
	}
	return sums, malformed
}

func windowOf(ro table.Row) (uint64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(ro.ID.Key, reportPrefix), "/")
	return strconv.ParseUint(text, 10, 64)
}

// Report is the fixed sum of a window.
type Report struct {
	Counts Counts `cbor:"1,keyasint"`
	// Rows is the number of rows that were added up.
	Rows int `cbor:"2,keyasint"`
	// SentAt is the true time since the start of 1970 at which the platform accepted the
	// report, in milliseconds; zero if it has not.
	SentAt int64 `cbor:"3,keyasint,omitempty"`
}

// put returns the write of a report.
func (re Report) put(window uint64) (table.Put, error) {
	raw, err := cbor.Marshal(re)
	return table.Put{ID: ReportID(window), Value: raw}, errors.Wrap(err, "encode a report")
}

func decodeReport(ro table.Row) (window uint64, re Report, err error) {
	if window, err = windowOf(ro); err != nil {
		return 0, Report{}, errors.Wrapf(err, "row key %q", ro.ID.Key)
	}
	err = cbor.Unmarshal(ro.Value, &re)
	if re.Counts == nil {
		re.Counts = Counts{}
	}
	return window, re, errors.Wrap(err, "decode a report")
}
