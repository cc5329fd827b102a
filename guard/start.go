package guard

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"bilberryshelf/fence"
	"bilberryshelf/store"
)

// The row of the table service through which an incarnation of a guard hands over to the
// next.
const (
	guardRowPrefix  = "guard/"
	attrIncarnation = "incarnation"
	attrKeys        = "keys"
)

// start chooses the incarnation and restores the keys of the previous one.
//
// The incarnation is the start time in milliseconds, or the previous incarnation plus one
// if that is higher. During an outage of the platform the start time is used. If the keys
// of the previous incarnation cannot be restored, because of an outage or because it ended
// without handing them over, unknown keys are in quarantine for as long as keys are held.
func (gu *Guard) start(ctx context.Context) {
	now := gu.clock.Now()
	incarnation := uint64(now.UnixMilli())
	hold := gu.settings.Timing.KeyHold.Std()
	ta := fence.Table{
		Incarnation:     incarnation,
		Grace:           gu.settings.Timing.Grace.Std(),
		MaxAnswerBytes:  int(gu.settings.Limits.AnswerSpace),
		QuarantineUntil: now.Add(hold),
	}
	if err := gu.claimIncarnation(ctx, &ta); err != nil {
		level.Warn(gu.logger).Log("event", "start-without-former-keys", "quarantine", hold, "err", err)
	}
	gu.loop.Do(func() {
		gu.table = ta
		gu.lastContact = now
		gu.orders = fence.Orders{
			Incarnation: ta.Incarnation,
			Fenced:      gu.settings.Engine.Fenced,
			MaxDuration: gu.settings.Timing.LongestOrder.Std(),
			Started:     now,
		}
	})
	level.Info(gu.logger).Log("event", "started", "incarnation", ta.Incarnation, "quarantine-until", ta.QuarantineUntil.Format(time.RFC3339))
}

// claimIncarnation reads the row of the previous incarnation, writes the row of this one
// and restores the keys. The row is written before the table is used, on the condition
// that no other process has changed it in between.
func (gu *Guard) claimIncarnation(ctx context.Context, ta *fence.Table) error {
	key := guardRowPrefix + gu.settings.Target
	row, err := gu.tables.Get(ctx, key)
	first := errors.Is(err, store.ErrNoRow)
	if err != nil && !first {
		return err
	}
	when := store.Absent()
	if !first {
		previous, err := strconv.ParseUint(row[attrIncarnation], 10, 64)
		if err != nil {
			return errors.Wrap(err, "parse the previous incarnation")
		}
		ta.Incarnation = max(ta.Incarnation, previous+1)
		when = store.Equals(attrIncarnation, row[attrIncarnation])
	}
	own := store.Row{attrIncarnation: strconv.FormatUint(ta.Incarnation, 10)}
	if err := gu.tables.Transact(ctx, []store.Put{{Key: key, Row: own, When: when}}); err != nil {
		return err
	}
	if first {
		ta.QuarantineUntil = time.Time{}
		return nil
	}
	if row[attrKeys] == "" {
		return errors.New("the previous incarnation ended without handing over its keys")
	}
	raw, err := gu.objects.Read(ctx, row[attrKeys])
	if err != nil {
		return err
	}
	return ta.Restore(raw)
}

// handOver stores the keys for the next incarnation. It is called when no request is in
// flight and none is admitted.
func (gu *Guard) handOver(ctx context.Context) {
	var (
		raw         []byte
		err         error
		incarnation uint64
	)
	gu.loop.Do(func() {
		incarnation = gu.table.Incarnation
		if gu.clock.Now().Before(gu.table.QuarantineUntil) {
			err = errors.New("the keys of the previous incarnation are unknown")
			return
		}
		raw, err = gu.table.Pack()
	})
	if err == nil {
		err = gu.writeKeys(ctx, incarnation, raw)
	}
	if err != nil {
		level.Warn(gu.logger).Log("event", "keys-not-handed-over", "err", err)
		return
	}
	level.Info(gu.logger).Log("event", "keys-handed-over", "bytes", len(raw))
}

func (gu *Guard) writeKeys(ctx context.Context, incarnation uint64, raw []byte) error {
	object := fmt.Sprintf("keys/%s/%d", gu.settings.Target, incarnation)
	if err := gu.objects.Write(ctx, object, raw); err != nil {
		return err
	}
	number := strconv.FormatUint(incarnation, 10)
	return gu.tables.Transact(ctx, []store.Put{{
		Key:  guardRowPrefix + gu.settings.Target,
		Row:  store.Row{attrIncarnation: number, attrKeys: object},
		When: store.Equals(attrIncarnation, number),
	}})
}
