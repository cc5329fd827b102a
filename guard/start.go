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

// The row of the table service that leads from one incarnation of a guard to
// the next.
const (
	guardKeys       = "guard/"
	attrIncarnation = "incarnation"
	attrKeys        = "keys"
)

// start chooses the incarnation and takes over the keys of the former one.
//
// The incarnation is the time of the start in milliseconds, or one more than
// the former if that is higher. With the platform out the time alone must do;
// and as nothing is known of the former incarnation's keys, unknown keys are
// in doubt for as long as a key is held.
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
	if err := gu.succeed(ctx, &ta); err != nil {
		level.Warn(gu.logger).Log("event", "start-without-former-keys", "quarantine", hold, "err", err)
	}
	gu.loop.Do(func() {
		gu.table = ta
		gu.contact = now
		gu.orders = fence.Orders{
			Incarnation: ta.Incarnation,
			Fenced:      gu.settings.Engine.Fenced,
			MaxDuration: gu.settings.Timing.LongestOrder.Std(),
			Started:     now,
		}
	})
	level.Info(gu.logger).Log("event", "started", "incarnation", ta.Incarnation, "quarantine-until", ta.QuarantineUntil.Format(time.RFC3339))
}

// succeed reads the former incarnation's row, takes over its keys and writes
// the row of this one. The row is written before the table is trusted, on the
// condition that nobody else has succeeded in between.
func (gu *Guard) succeed(ctx context.Context, ta *fence.Table) error {
	key := guardKeys + gu.settings.Target
	row, err := gu.tables.Get(ctx, key)
	first := errors.Is(err, store.ErrNoRow)
	if err != nil && !first {
		return err
	}
	when := store.Absent()
	if !first {
		former, err := strconv.ParseUint(row[attrIncarnation], 10, 64)
		if err != nil {
			return errors.Wrap(err, "the former incarnation")
		}
		ta.Incarnation = max(ta.Incarnation, former+1)
		when = store.Equals(attrIncarnation, row[attrIncarnation])
	}
	mine := store.Row{attrIncarnation: strconv.FormatUint(ta.Incarnation, 10)}
	if err := gu.tables.Transact(ctx, []store.Put{{Key: key, Row: mine, When: when}}); err != nil {
		return err
	}
	if first {
		ta.QuarantineUntil = time.Time{}
		return nil
	}
	if row[attrKeys] == "" {
		return errors.New("the former incarnation ended without handing over its keys")
	}
	raw, err := gu.objects.Read(ctx, row[attrKeys])
	if err != nil {
		return err
	}
	return ta.Restore(raw)
}

// handOver leaves the keys to the next incarnation. Nothing runs any more and
// nothing is admitted.
func (gu *Guard) handOver(ctx context.Context) {
	var (
		raw         []byte
		err         error
		incarnation uint64
	)
	gu.loop.Do(func() {
		incarnation = gu.table.Incarnation
		if gu.clock.Now().Before(gu.table.QuarantineUntil) {
			err = errors.New("the keys of the former incarnation were never known")
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
		Key:  guardKeys + gu.settings.Target,
		Row:  store.Row{attrIncarnation: number, attrKeys: object},
		When: store.Equals(attrIncarnation, number),
	}})
}
