package sample

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bilberryshelf/core"
)

// Take answers a trainer's request. It also returns the keys of the runs whose
// delivery is now confirmed, so that the guards can drop their results.
func (st *Step) Take(ta Take) (TakeResponse, []string, *core.Error) {
	unknown := ta.Token != st.token && ta.Token != st.prevToken
	if unknown && ta.Have == nil { // rule 3
		return TakeResponse{}, nil, core.Refuse(core.CodeConflict, "the token is unknown to this owner; name all slots that you have")
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

// unconfirmedPending returns the slots of the pending answer that have not been
// confirmed since.
func (st *Step) unconfirmedPending() []int {
	return slices.DeleteFunc(slices.Clone(st.pending), func(at int) bool { return st.slots[at].confirmed })
}

func (st *Step) selectSlots(limit int) []int {
	var selected []int
	for at := range st.slots {
		if limit > 0 && len(selected) >= limit {
			break
		}
		if ss := &st.slots[at]; ss.sample != nil && !ss.confirmed {
			selected = append(selected, at)
		}
	}
	return selected
}

// respond builds the answer from the samples that are within the staleness bound
// (rule 4).
func (st *Step) respond(ta Take, selected []int) TakeResponse {
	tr := TakeResponse{Samples: []Sample{}, Remaining: len(st.slots) - st.confirmed}
	st.pending = nil
	for _, at := range selected {
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
		tr.Samples = append(tr.Samples, *ss.sample)
		st.pending = append(st.pending, at)
	}
	if len(tr.Samples) == 0 {
		st.token, tr.Token = ta.Token, ta.Token
		return tr
	}
	st.token = st.makeToken()
	tr.Token = st.token
	return tr
}

// makeToken hashes the content of an answer, so that the same answer has the same
// token.
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
