package fence

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// storedKey is the form of a key that is handed from one incarnation of a guard
// to the next. Answers are left behind: the successor knows that the key ran
// and says so.
type storedKey struct {
	Key     string    `cbor:"1,keyasint"`
	Digest  uint64    `cbor:"2,keyasint"`
	Phase   phase     `cbor:"3,keyasint"`
	Outcome Outcome   `cbor:"4,keyasint"`
	Until   time.Time `cbor:"5,keyasint"`
}

// Pack encodes the keys for the next incarnation. It fails while a keyed run
// is in progress, since its outcome is not known yet.
func (ta *Table) Pack() ([]byte, error) {
	kept := make([]storedKey, 0, len(ta.keys))
	for na, ke := range ta.keys {
		if ke.phase != finished && ke.phase != forbidden {
			return nil, errors.Newf("key %q is still running", na)
		}
		kept = append(kept, storedKey{Key: na, Digest: ke.digest, Phase: ke.phase, Outcome: ke.outcome, Until: ke.expiresAt})
	}
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(kept)
}

// Restore takes over the keys of the former incarnation and ends the
// quarantine.
func (ta *Table) Restore(raw []byte) error {
	var kept []storedKey
	if err := cbor.Unmarshal(raw, &kept); err != nil {
		return errors.Wrap(err, "keys of the former incarnation")
	}
	for _, kk := range kept {
		ta.recordKey(kk.Key, &keyRecord{digest: kk.Digest, phase: kk.Phase, outcome: kk.Outcome, expiresAt: kk.Until})
	}
	ta.QuarantineUntil = time.Time{}
	return nil
}
