package fence

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// storedKey is a key as one incarnation of a guard hands it over to the next.
// Answers are not included: the next incarnation knows only that the key ran.
type storedKey struct {
	Key     string    `cbor:"1,keyasint"`
	Digest  uint64    `cbor:"2,keyasint"`
	Phase   phase     `cbor:"3,keyasint"`
	Outcome Outcome   `cbor:"4,keyasint"`
	Until   time.Time `cbor:"5,keyasint"`
}

// Pack encodes the keys for the next incarnation. It fails while a keyed run is in
// progress, since the outcome is not known yet.
func (ta *Table) Pack() ([]byte, error) {
	stored := make([]storedKey, 0, len(ta.keys))
	for na, ke := range ta.keys {
		if ke.phase != finished && ke.phase != forbidden {
			return nil, errors.Newf("key %q is still running", na)
		}
		stored = append(stored, storedKey{Key: na, Digest: ke.digest, Phase: ke.phase, Outcome: ke.outcome, Until: ke.expiresAt})
	}
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(stored)
}

// Restore adds the keys that the previous incarnation packed and ends the
// quarantine.
func (ta *Table) Restore(raw []byte) error {
	var stored []storedKey
	if err := cbor.Unmarshal(raw, &stored); err != nil {
		return errors.Wrap(err, "decode the keys of the previous incarnation")
	}
	for _, sk := range stored {
		ta.recordKey(sk.Key, &keyRecord{digest: sk.Digest, phase: sk.Phase, outcome: sk.Outcome, expiresAt: sk.Until})
	}
	ta.QuarantineUntil = time.Time{}
	return nil
}
