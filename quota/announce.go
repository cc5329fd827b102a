package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"bilberryshelf/fleet"
)

const (
	// announceFor is how long an issuer announces a limit after it was last asked for
	// permits or told of it, and so for how long the end of one.
	announceFor = 10 * time.Second
	// maxAnnounced bounds the limits in one announcement, about 60 bytes each.
	maxAnnounced = 64
)

// announced is a limit in an announcement.
type announced struct {
	Target    string  `cbor:"1,keyasint"`
	StartedAt int64   `cbor:"2,keyasint"`
	Limit     float64 `cbor:"3,keyasint"`
	// AgeMillis is the time since the limit was read.
	AgeMillis int64 `cbor:"4,keyasint"`
}

// Announce encodes the limits of which this entry is the issuer, for the other entries: one
// that has sent nothing to a target yet does not exceed its limit with its first requests.
// The result is empty if there are none.
func (is *Issuer) Announce(now time.Time) ([]byte, error) {
	is.mutex.Lock()
	defer is.mutex.Unlock()
	var all []announced
	for key, bu := range is.buckets {
		if !key.deputy && now.Sub(bu.askedAt) <= announceFor {
			all = append(all, announced{key.target.ID, key.target.StartedAt, float64(bu.limit), now.Sub(bu.readAt).Milliseconds()})
		}
	}
	if len(all) == 0 {
		return nil, nil
	}
	slices.SortFunc(all, func(lhs, rhs announced) int { return cmp.Compare(lhs.Target, rhs.Target) })
	raw, err := cbor.Marshal(all[:min(len(all), maxAnnounced)])
	return raw, errors.Wrap(err, "encode limits")
}

// Adopt records the limits of an announcement that are newer than those known here.
func (ls *Limits) Adopt(now time.Time, raw []byte) error {
	var all []announced
	if err := cbor.Unmarshal(raw, &all); err != nil {
		return errors.Wrap(err, "decode limits")
	}
	for _, an := range all {
		li, ok := NewLimit(an.Limit)
		if !ok {
			return errors.Newf("limit of target %s: %v", an.Target, an.Limit)
		}
		if an.Limit == 0 {
			li = 0
		}
		ta := fleet.Target{ID: an.Target, StartedAt: an.StartedAt}
		if was, changed := ls.adopt(ta, li, now.Add(-time.Duration(an.AgeMillis)*time.Millisecond)); changed && ls.OnChange != nil {
			ls.OnChange(ta, was, li)
		}
	}
	return nil
}

// adopt replaces the limit of a target by another one that is newer. An equal limit keeps
// its own time: an echoed one would seem newer than it is.
func (ls *Limits) adopt(ta fleet.Target, li Limit, readAt time.Time) (was Limit, changed bool) {
	ls.mutex.Lock()
	defer ls.mutex.Unlock()
	if li == 0 && ls.limited(ta) == nil {
		return 0, false
	}
	st := ls.stateOf(ta)
	if li == st.limit || !readAt.After(st.readAt) {
		return st.limit, false
	}
	was, st.readAt = st.limit, readAt
	ls.setLimit(st, li)
	return was, true
}
