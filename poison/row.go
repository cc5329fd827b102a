package poison

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/table"
)

// Table is the name of the table with one row for each loss that has not expired.
const Table = "poison"

type lossRow struct {
	// Expires is a Unix time in milliseconds by the writer's clock.
	Expires int64 `cbor:"1,keyasint"`
}

// ID returns the row id of a loss. Its key is digest/attempt/target, with digest and
// attempt in hexadecimal.
func (lo Loss) ID() table.ID {
	return table.ID{Table: Table, Key: fmt.Sprintf("%016x/%016x/%s", lo.Digest, lo.Attempt, lo.Target)}
}

// Put returns the write of the row of a loss.
func (lo Loss) Put() (table.Put, error) {
	raw, err := cbor.Marshal(lossRow{Expires: lo.Expires.UnixMilli()})
	return table.Put{ID: lo.ID(), Value: raw}, errors.Wrap(err, "encode a loss")
}

// DecodeRow decodes a row of Table that is not deleted. It returns an error if the key
// or the value is malformed.
func DecodeRow(ro table.Row) (Loss, error) {
	parts := strings.SplitN(ro.ID.Key, "/", 3)
	if len(parts) != 3 {
		return Loss{}, errors.Newf("row key %q is not of the form digest/attempt/target", ro.ID.Key)
	}
	digest, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return Loss{}, errors.Wrapf(err, "row key %q", ro.ID.Key)
	}
	attempt, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Loss{}, errors.Wrapf(err, "row key %q", ro.ID.Key)
	}
	var row lossRow
	if err := cbor.Unmarshal(ro.Value, &row); err != nil {
		return Loss{}, errors.Wrapf(err, "decode loss %s", ro.ID.Key)
	}
	return Loss{Digest: digest, Target: parts[2], Attempt: attempt, Expires: time.UnixMilli(row.Expires)}, nil
}
