package intake

import (
	"context"

	"bilberryshelf/logs"
	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// maxQueuedLosses bounds the losses that wait to be shared: those of some seconds in
// which every target is lost. More are known here only.
const maxQueuedLosses = 256

// enqueueLoss hands a loss to the writer.
func (en *Entry) enqueueLoss(lo poison.Loss) {
	select {
	case en.losses <- lo:
	default:
		en.meters.Count("losses-not-shared", "queue", 1)
	}
}

// shareLosses writes losses to the store, where the other entries read them. A
// loss that can't be written counts here only.
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

// applyLosses takes rows of losses that any entry wrote.
func (en *Entry) applyLosses(rows []table.Row) {
	for _, ro := range rows {
		if ro.Dropped {
			continue // it lapses here by itself
		}
		lo, err := poison.DecodeRow(ro)
		if err != nil {
			logs.Warn(en.logger, "row of a loss not readable", "row", ro.Version, "err", err)
			continue
		}
		en.caller.Losses.Add(lo)
	}
}

// deleteLapsedLosses drops losses that lapsed. The home of the table's name drops their
// rows.
func (en *Entry) deleteLapsedLosses(ctx context.Context) {
	lapsed := en.caller.Losses.Sweep(en.clock.Now())
	if len(lapsed) == 0 || en.home(poison.Table).Name != en.name {
		return
	}
	ids := make([]table.ID, len(lapsed))
	for at, lo := range lapsed {
		ids[at] = lo.ID()
	}
	if err := en.ledger.DeleteRows(ctx, ids); err != nil {
		logs.Warn(en.logger, "lapsed losses not dropped", "count", len(ids), "err", err)
	}
}

// write writes rows without a condition.
func (en *Entry) write(ctx context.Context, tx table.Tx) error {
	call, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := en.store.Commit(call, tx)
	return err
}
