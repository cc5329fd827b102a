package order

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/table"
)

const (
	slotPrefix = "slot/"
	// maxSlotHold is how long a slot may stay with one holder: more than two loads
	// at full speed. A holder that is cut off from the store can't release it.
	maxSlotHold = 2500 * time.Millisecond
	// maxSlotFailure is how long an engine in need waits for a store that gives no
	// slots, before it loads without one.
	maxSlotFailure = 1500 * time.Millisecond
)

// slotState is a row of a slot as the feed told it, and when it was first seen so.
type slotState struct {
	holder  string
	version uint64
	seenAt  time.Time
}

// heldSlot is the slot that this guard holds, at the version of its write.
type heldSlot struct {
	key     string
	version uint64
	since   time.Time
	// loadVersion is the version that is loaded under the slot.
	loadVersion uint64
}

func (gu *Guard) applySlot(ro table.Row, re Row) {
	if have := gu.slots[ro.ID.Key]; ro.Version <= have.version {
		return
	}
	gu.slots[ro.ID.Key] = slotState{holder: re.Holder, version: ro.Version, seenAt: gu.Clock.Now()}
}

// acquire takes a free slot, or one whose holder is overdue.
func (gu *Guard) acquire(ctx context.Context, count int, target uint64, needy bool) bool {
	if gu.held.key != "" {
		return true
	}
	// Guards begin at different slots, so that they seldom want the same one.
	first := int(core.Rendezvous(slotPrefix, gu.Addr) % uint64(count))
	failed := false
	for at := range count {
		key := slotPrefix + strconv.Itoa((first+at)%count)
		gu.mutex.Lock()
		sl := gu.slots[key]
		gu.mutex.Unlock()
		if sl.holder != "" && gu.Clock.Now().Sub(sl.seenAt) < maxSlotHold {
			continue
		}
		version, err := gu.writeSlot(ctx, key, gu.Addr, sl.version)
		if err == nil {
			gu.held, gu.slotFailingSince = heldSlot{key: key, version: version, since: gu.Clock.Now(), loadVersion: target}, time.Time{}
			return true
		}
		failed = failed || !errors.Is(err, table.ErrConflict)
	}
	return failed && needy && gu.storeFailing()
}

// storeFailing tells whether the store has given no slot for too long.
func (gu *Guard) storeFailing() bool {
	now := gu.Clock.Now()
	if gu.slotFailingSince.IsZero() {
		gu.slotFailingSince = now
	}
	return now.Sub(gu.slotFailingSince) >= maxSlotFailure
}

// release gives the slot back once the load has ended.
func (gu *Guard) release(ctx context.Context, re Report) {
	if gu.held.key == "" {
		return
	}
	now := gu.Clock.Now()
	ended := !re.Busy && (re.Versions[gu.model] >= gu.held.loadVersion || now.Sub(gu.held.since) > maxSlotHold)
	if !ended {
		return
	}
	_, err := gu.writeSlot(ctx, gu.held.key, "", gu.held.version)
	if err == nil || errors.Is(err, table.ErrConflict) {
		gu.held = heldSlot{}
		return
	}
	logs.Warn(gu.Logger, "slot not released", "slot", gu.held.key, "err", err)
}

func (gu *Guard) writeSlot(ctx context.Context, key, holder string, expect uint64) (uint64, error) {
	raw, err := Row{Holder: holder}.Encode()
	if err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	id := table.ID{Table: Table, Key: key}
	version, err := gu.Store.Commit(call, table.Tx{
		Expect: []table.Expect{{ID: id, Version: expect}}, Puts: []table.Put{{ID: id, Value: raw}},
	})
	if err != nil {
		return 0, err
	}
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	gu.slots[key] = slotState{holder: holder, version: version, seenAt: gu.Clock.Now()}
	return version, nil
}
