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
	// maxSlotHold is how long one holder may keep a slot: more than two loads at
	// full speed. A holder that is cut off from the store cannot release it.
	maxSlotHold = 2500 * time.Millisecond
	// maxSlotFailure is how long the guard of a stale engine tolerates store errors
	// before it loads without a slot.
	maxSlotFailure = 1500 * time.Millisecond
)

// slotState is the latest known row of a slot and when it was first seen.
type slotState struct {
	holder string
	// model is the model whose weights the holder loads.
	model   string
	version uint64
	seenAt  time.Time
}

// heldSlot is the slot that this guard holds and the version of its write.
type heldSlot struct {
	key     string
	version uint64
	since   time.Time
	// model and loadVersion are the weights that the slot was taken for.
	model       string
	loadVersion uint64
}

func (gu *Guard) applySlot(ro table.Row, re Row) {
	if have := gu.slots[ro.ID.Key]; ro.Version <= have.version {
		return
	}
	gu.slots[ro.ID.Key] = slotState{holder: re.Holder, model: re.Model, version: ro.Version, seenAt: gu.Clock.Now()}
}

// reclaim takes over a slot that an earlier process of this guard held when it died, or that
// a write took whose answer was lost. release then frees it at once: the other guards would
// wait for maxSlotHold.
func (gu *Guard) reclaim() {
	if gu.held.key != "" {
		return
	}
	gu.mutex.Lock()
	defer gu.mutex.Unlock()
	for key, sl := range gu.slots {
		if sl.holder == gu.Addr {
			gu.held = heldSlot{key: key, version: sl.version, since: sl.seenAt}
			logs.Info(gu.Logger, "slot of an earlier process", "slot", key)
			return
		}
	}
}

// acquire takes a free slot for an order, or one that its holder has kept for too long, and
// reports whether the guard may load. The guard of a stale engine may load without
// a slot after maxSlotFailure.
func (gu *Guard) acquire(ctx context.Context, count int, or Order, stale bool) bool {
	if gu.held.key != "" {
		return true
	}
	// Each guard starts at a different slot to reduce write conflicts.
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
		version, err := gu.writeSlot(ctx, key, Row{Holder: gu.Addr, Model: or.Model}, sl.version)
		if err == nil {
			gu.held, gu.slotFailingSince = heldSlot{key: key, version: version, since: gu.Clock.Now(), model: or.Model, loadVersion: or.Version}, time.Time{}
			return true
		}
		failed = failed || !errors.Is(err, table.ErrConflict)
	}
	return failed && stale && gu.storeFailing()
}

// storeFailing reports whether taking a slot has failed for too long.
func (gu *Guard) storeFailing() bool {
	now := gu.Clock.Now()
	if gu.slotFailingSince.IsZero() {
		gu.slotFailingSince = now
	}
	return now.Sub(gu.slotFailingSince) >= maxSlotFailure
}

// release frees the slot when the load has ended or the slot was held too long.
func (gu *Guard) release(ctx context.Context, re Report) {
	if gu.held.key == "" {
		return
	}
	now := gu.Clock.Now()
	ended := !re.Busy && (re.Versions[gu.held.model] >= gu.held.loadVersion || now.Sub(gu.held.since) > maxSlotHold)
	if !ended {
		return
	}
	_, err := gu.writeSlot(ctx, gu.held.key, Row{}, gu.held.version)
	if err == nil || errors.Is(err, table.ErrConflict) {
		gu.held = heldSlot{}
		return
	}
	logs.Warn(gu.Logger, "slot not released", "slot", gu.held.key, "err", err)
}

func (gu *Guard) writeSlot(ctx context.Context, key string, re Row, expect uint64) (uint64, error) {
	raw, err := re.Encode()
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
	gu.slots[key] = slotState{holder: re.Holder, model: re.Model, version: version, seenAt: gu.Clock.Now()}
	return version, nil
}
