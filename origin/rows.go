package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/batch"
	"bilberryshelf/table"
)

const (
	// PlaceTable has a row for each place, and one that says since when places are recorded.
	PlaceTable = "stream-place"
	// OriginTable has a row for each stream of a route with several places, in the parts of
	// batch.Parts.
	OriginTable = "stream-origin"
	// sinceKey is the key of the row in PlaceTable that is not a place; those have a slash.
	sinceKey = "since"
	// maxNameBytes bounds a name in a key: the store accepts keys of up to 200 bytes.
	maxNameBytes = 64
	// MaxIDBytes is the longest id of a stream whose origin is stored.
	MaxIDBytes = 200
)

// Storable reports whether the id of a stream, which its caller chose, can be the key of a
// row. The store rejects a transaction as a whole if one key is invalid.
func Storable(stream string) bool {
	return stream != "" && len(stream) <= MaxIDBytes && utf8.ValidString(stream)
}

// keyName returns a name, or its digest if it is too long for a key.
func keyName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	sum := sha256.Sum256([]byte(name))
	return hex.EncodeToString(sum[:])
}

// ID returns the id of the row of a place.
func (pa Place) ID() table.ID {
	return table.ID{Table: PlaceTable, Key: keyName(pa.Route) + "/" + keyName(pa.Service) + "/" + keyName(pa.Software)}
}

// Put returns the write of the row of a place.
func (pa Place) Put() (table.Put, error) {
	raw, err := cbor.Marshal(pa)
	return table.Put{ID: pa.ID(), Value: raw}, errors.Wrap(err, "encode a place")
}

// PlaceRange returns the range of the places of a route. It may contain places of others.
func PlaceRange(route string) table.Range {
	name := keyName(route)
	return table.Range{Table: PlaceTable, From: name + "/", To: name + "0"}
}

// DecodePlace decodes a row of PlaceTable. Ok is false for the row of Since.
func DecodePlace(ro table.Row) (pa Place, ok bool, err error) {
	if ro.ID.Key == sinceKey {
		return Place{}, false, nil
	}
	if err := cbor.Unmarshal(ro.Value, &pa); err != nil {
		return Place{}, false, errors.Wrapf(err, "decode the place %s", ro.ID.Key)
	}
	return pa, true, nil
}

// Since tells from when on places are recorded: always, or from a time by the store's clock.
type Since struct {
	Always bool          `cbor:"1,keyasint"`
	At     time.Duration `cbor:"2,keyasint"`
}

// SinceID returns the id of the row of Since.
func SinceID() table.ID { return table.ID{Table: PlaceTable, Key: sinceKey} }

// Put returns the write of the row.
func (si Since) Put() (table.Put, error) {
	raw, err := cbor.Marshal(si)
	return table.Put{ID: SinceID(), Value: raw}, errors.Wrap(err, "encode since when places are recorded")
}

// DecodeSince decodes the row of Since. Ok is false for the row of a place.
func DecodeSince(ro table.Row) (si Since, ok bool, err error) {
	if ro.ID.Key != sinceKey {
		return Since{}, false, nil
	}
	if err := cbor.Unmarshal(ro.Value, &si); err != nil {
		return Since{}, false, errors.Wrap(err, "decode since when places are recorded")
	}
	return si, true, nil
}

// For returns for how long places have been recorded.
func (si Since) For(now time.Duration) time.Duration {
	if si.Always {
		return Retention + 1
	}
	return now - si.At
}

// Stored is the origin of a stream in the store.
type Stored struct {
	Place Place `cbor:"1,keyasint"`
	// Expires is a Unix time in milliseconds by the writer's clock.
	Expires int64 `cbor:"2,keyasint"`
}

// ID returns the id of the row with the origin of a stream of a route.
func ID(route, stream string) table.ID {
	return table.ID{Table: OriginTable, Part: batch.Part(route), Key: stream}
}

// Put returns the write of the origin of a stream.
func (st Stored) Put(stream string) (table.Put, error) {
	raw, err := cbor.Marshal(st)
	return table.Put{ID: ID(st.Place.Route, stream), Value: raw}, errors.Wrap(err, "encode the origin of a stream")
}

// DecodeStored decodes a row of OriginTable.
func DecodeStored(ro table.Row) (st Stored, err error) {
	err = cbor.Unmarshal(ro.Value, &st)
	return st, errors.Wrapf(err, "decode the origin of stream %s", ro.ID.Key)
}
