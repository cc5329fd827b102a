package sample

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
)

// Take answers a trainer. It returns the keys of the runs whose receipt is
// now confirmed, so that the guards may drop them.
func (st *Step) Take(ta Take) (TakeResponse, []string, *core.Error) {
	unknown := ta.Token != st.token && ta.Token != st.prevToken
	if unknown && ta.Have == nil { // rule 3
		return TakeResponse{}, nil, core.Refuse(core.CodeConflict, "the token is unknown here; name all slots that you have")
	}
	st.version = max(st.version, ta.Version)
	var released []string
	for _, sl := range ta.Have { // rules 1 and 3
		if st.valid(sl) {
			released = st.confirm(st.slotIndex(sl), released)
		}
	}
	switch {
	case ta.Token == st.token: // rule 1
		for _, at := range st.pending {
			released = st.confirm(at, released)
		}
	case ta.Token == st.prevToken && len(st.pending) > 0: // rule 2
		return st.respond(ta, st.unconfirmedPending()), released, nil
	}
	st.prevToken = ta.Token
	return st.respond(ta, st.selectSlots(ta.MaxSamples)), released, nil
}

// unconfirmedPending is the pending answer without what has been confirmed since.
func (st *Step) unconfirmedPending() []int {
	return slices.DeleteFunc(slices.Clone(st.pending), func(at int) bool { return st.slots[at].confirmed })
}

func (st *Step) selectSlots(most int) []int {
	var chosen []int
	for at := range st.slots {
		if most > 0 && len(chosen) >= most {
			break
		}
		if ss := &st.slots[at]; ss.sample != nil && !ss.confirmed {
			chosen = append(chosen, at)
		}
	}
	return chosen
}

// respond makes the answer of what is fresh enough (rule 4).
func (st *Step) respond(ta Take, chosen []int) TakeResponse {
	gi := TakeResponse{Samples: []Sample{}, Remaining: len(st.slots) - st.confirmed}
	st.pending = nil
	for _, at := range chosen {
		ss := &st.slots[at]
		if ss.sample == nil {
			continue
		}
		if st.version > ss.sample.OldestVersion()+st.Spec.Staleness {
			st.counts.TooOld++
			st.counts.WastedTokens += ss.sample.Tokens()
			ss.sample = nil
			continue
		}
		gi.Samples = append(gi.Samples, *ss.sample)
		st.pending = append(st.pending, at)
	}
	if len(gi.Samples) == 0 {
		st.token, gi.Token = ta.Token, ta.Token
		return gi
	}
	st.token = st.makeToken()
	gi.Token = st.token
	return gi
}

// makeToken names an answer by its content, so that the same answer has the
// same token.
func (st *Step) makeToken() string {
	ha := xxhash.New()
	_, _ = ha.WriteString(st.prevToken)
	for _, at := range st.pending {
		_, _ = ha.Write(binary.LittleEndian.AppendUint64(nil, uint64(at)))
		_, _ = ha.Write(binary.LittleEndian.AppendUint64(nil, uint64(st.slots[at].sample.Run)))
	}
	return strconv.FormatUint(ha.Sum64(), 36)
}

func (st *Step) confirm(at int, released []string) []string {
	ss := &st.slots[at]
	if ss.confirmed {
		return released
	}
	ss.confirmed = true
	st.confirmed++
	st.counts.Delivered++
	if ss.sample != nil {
		released = append(released, st.Spec.Key(Job{Slot: st.slotAt(at), Run: ss.sample.Run}))
		ss.sample = nil
	}
	return released
}
