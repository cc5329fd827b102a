package intake

import (
	"context"

	"bilberryshelf/logs"
	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// maxQueuedLosses bounds the queue of losses to share: those of a few seconds in
// which every target is lost. Losses beyond it count at this entry only.
const maxQueuedLosses = 256

// enqueueLoss queues a loss for shareLosses, or drops it if the queue is full.
func (en *Entry) enqueueLoss(lo poison.Loss) {
	select {
	case en.losses <- lo:
	default:
		en.meters.Count("losses-not-shared", "queue", 1)
	}
}

// shareLosses writes losses to the store, from which the other entries read them.
// A loss that cannot be written counts at this entry only.
func (en *Entry) shareLosses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case lo := <-en.losses:
			if err := en.shareLoss(ctx, lo); err != nil && ctx.Err() == nil {
				en.meters.Count("losses-not-shared", "store", 1)
				logs.Warn(en.logger, "loss not shared", "digest", lo.Digest, "target", lo.Target, "err", err)
			}
		}
	}
}

func (en *Entry) shareLoss(ctx context.Context, lo poison.Loss) error {
	pu, err := lo.Put()
	if err != nil {
		return err
	}
	return en.write(ctx, table.Tx{Puts: []table.Put{pu}})
}

// applyLosses counts losses from rows that any entry wrote.
func (en *Entry) applyLosses(rows []table.Row) {
	for _, ro := range rows {
		if ro.Deleted {
			continue // each entry expires its losses itself
		}
		lo, err := poison.DecodeRow(ro)
		if err != nil {
			logs.Warn(en.logger, "cannot decode the row of a loss", "row", ro.Version, "err", err)
			continue
		}
		en.forwarder.Losses.Add(lo)
	}
}

// deleteExpiredLosses removes expired losses from memory. One entry, the owner of
// the table's name as if it were a route, also deletes their rows.
func (en *Entry) deleteExpiredLosses(ctx context.Context) {
	expired := en.forwarder.Losses.Sweep(en.clock.Now())
	if len(expired) == 0 || en.routeOwner(poison.Table).Name != en.name {
		return
	}
	ids := make([]table.ID, len(expired))
	for at, lo := range expired {
		ids[at] = lo.ID()
	}
	if err := en.ledger.DeleteRows(ctx, ids); err != nil {
		logs.Warn(en.logger, "expired losses not deleted", "count", len(ids), "err", err)
	}
}

// write commits a transaction within writeTimeout.
func (en *Entry) write(ctx context.Context, tx table.Tx) error {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := en.store.Commit(call, tx)
	return err
}
